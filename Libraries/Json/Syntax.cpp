#include "Libraries/Json/Syntax.h"

#include <vector>

namespace lavender::json {
namespace {

/** A text and how far it has been read. */
struct cursor
{
  std::string_view mText;
  std::size_t mAt = 0;

  bool IsAtEnd() const { return mAt >= mText.size(); }
  char Next() const { return IsAtEnd() ? '\0' : mText[mAt]; }
  bool Take(char aExpected)
  {
    if (IsAtEnd() || mText[mAt] != aExpected) {
      return false;
    }
    ++mAt;
    return true;
  }
  bool Take(std::string_view aWord)
  {
    if (mText.substr(mAt, aWord.size()) != aWord) {
      return false;
    }
    mAt += aWord.size();
    return true;
  }
};

bool
IsDigit(char aCharacter)
{
  return aCharacter >= '0' && aCharacter <= '9';
}

bool
IsHexadecimal(char aCharacter)
{
  return IsDigit(aCharacter) || (aCharacter >= 'a' && aCharacter <= 'f') ||
         (aCharacter >= 'A' && aCharacter <= 'F');
}

void
SkipSpace(cursor& aCursor)
{
  while (aCursor.Next() == ' ' || aCursor.Next() == '\t' ||
         aCursor.Next() == '\n' || aCursor.Next() == '\r') {
    ++aCursor.mAt;
  }
}

bool
TakeDigits(cursor& aCursor)
{
  const auto start = aCursor.mAt;
  while (IsDigit(aCursor.Next())) {
    ++aCursor.mAt;
  }
  return aCursor.mAt > start;
}

bool
TakeNumber(cursor& aCursor)
{
  aCursor.Take('-');
  if (!aCursor.Take('0') && !TakeDigits(aCursor)) {
    return false;
  }
  if (aCursor.Take('.') && !TakeDigits(aCursor)) {
    return false;
  }
  if (aCursor.Take('e') || aCursor.Take('E')) {
    if (!aCursor.Take('+')) {
      aCursor.Take('-');
    }
    return TakeDigits(aCursor);
  }
  return true;
}

bool
TakeEscape(cursor& aCursor)
{
  if (aCursor.Take('u')) {
    for (int i = 0; i < 4; ++i) {
      if (!IsHexadecimal(aCursor.Next())) {
        return false;
      }
      ++aCursor.mAt;
    }
    return true;
  }
  const bool isKnown = std::string_view("\"\\/bfnrt").find(aCursor.Next()) !=
                         std::string_view::npos &&
                       !aCursor.IsAtEnd();
  ++aCursor.mAt;
  return isKnown;
}

bool
TakeString(cursor& aCursor)
{
  if (!aCursor.Take('"')) {
    return false;
  }
  while (!aCursor.IsAtEnd()) {
    const char next = aCursor.mText[aCursor.mAt];
    if (static_cast<unsigned char>(next) < 0x20) {
      return false;
    }
    ++aCursor.mAt;
    if (next == '"') {
      return true;
    }
    if (next == '\\' && !TakeEscape(aCursor)) {
      return false;
    }
  }
  return false;
}

bool
TakeScalar(cursor& aCursor)
{
  if (aCursor.Next() == '"') {
    return TakeString(aCursor);
  }
  return aCursor.Take("true") || aCursor.Take("false") ||
         aCursor.Take("null") || TakeNumber(aCursor);
}

bool
TakeName(cursor& aCursor)
{
  SkipSpace(aCursor);
  if (!TakeString(aCursor)) {
    return false;
  }
  SkipSpace(aCursor);
  return aCursor.Take(':');
}

std::string
FaultAt(const cursor& aCursor, const char* aFault)
{
  return std::string(aFault) + " at byte " + std::to_string(aCursor.mAt);
}

/** Opens a container, or takes a scalar. Sets whether a value has ended. */
std::string
TakeValue(cursor& aCursor,
          std::vector<char>& aOpen,
          int aMaximumNesting,
          bool& aHasEnded)
{
  SkipSpace(aCursor);
  const char next = aCursor.Next();
  if (next != '{' && next != '[') {
    aHasEnded = true;
    return TakeScalar(aCursor) ? "" : FaultAt(aCursor, "no value");
  }
  ++aCursor.mAt;
  const char end = next == '{' ? '}' : ']';
  SkipSpace(aCursor);
  if (aCursor.Take(end)) {
    aHasEnded = true;
    return {};
  }
  aOpen.push_back(end);
  if (aOpen.size() > static_cast<std::size_t>(aMaximumNesting)) {
    return FaultAt(aCursor, "nested too deeply");
  }
  aHasEnded = false;
  return end == '}' && !TakeName(aCursor) ? FaultAt(aCursor, "no member name")
                                          : "";
}

} // namespace

std::string
FindSyntaxFault(std::string_view aText, int aMaximumNesting)
{
  cursor cursor{ aText };
  // Ends of the containers that are open, innermost last.
  std::vector<char> open;
  bool hasEnded = false;
  do {
    if (auto fault = TakeValue(cursor, open, aMaximumNesting, hasEnded);
        !fault.empty()) {
      return fault;
    }
    while (hasEnded && !open.empty()) {
      SkipSpace(cursor);
      if (cursor.Take(open.back())) {
        open.pop_back();
        continue;
      }
      if (!cursor.Take(',')) {
        return FaultAt(cursor, "no comma or end");
      }
      if (open.back() == '}' && !TakeName(cursor)) {
        return FaultAt(cursor, "no member name");
      }
      hasEnded = false;
    }
  } while (!hasEnded);
  SkipSpace(cursor);
  return cursor.IsAtEnd() ? "" : FaultAt(cursor, "bytes after the document");
}

} // namespace lavender::json
