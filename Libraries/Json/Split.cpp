#include "Libraries/Json/Split.h"

#include <algorithm>

namespace lavender::json {

namespace {

bool
IsSpace(char aCharacter)
{
  return aCharacter == ' ' || aCharacter == '\t' || aCharacter == '\n' ||
         aCharacter == '\r';
}

/** Reads a document from its front. */
struct cursor
{
  std::string_view mText;
  std::size_t mAt = 0;

  bool IsAtEnd() const { return mAt >= mText.size(); }

  void SkipSpaces()
  {
    while (!IsAtEnd() && IsSpace(mText[mAt])) {
      ++mAt;
    }
  }

  bool Take(char aCharacter)
  {
    SkipSpaces();
    if (IsAtEnd() || mText[mAt] != aCharacter) {
      return false;
    }
    ++mAt;
    return true;
  }
};

/** Moves behind a string, from its opening quotation mark. */
bool
SkipString(cursor& aCursor)
{
  for (auto at = aCursor.mAt + 1; at < aCursor.mText.size(); ++at) {
    if (aCursor.mText[at] == '"') {
      aCursor.mAt = at + 1;
      return true;
    }
    at += aCursor.mText[at] == '\\' ? 1 : 0;
  }
  return false;
}

/** Moves behind a value; it ends before the comma or bracket that isn't its
 * own. */
bool
SkipValue(cursor& aCursor)
{
  std::size_t depth = 0;
  while (!aCursor.IsAtEnd()) {
    switch (aCursor.mText[aCursor.mAt]) {
      case '"':
        if (!SkipString(aCursor)) {
          return false;
        }
        continue;
      case '{':
      case '[':
        ++depth;
        break;
      case ',':
        if (depth == 0) {
          return true;
        }
        break;
      case '}':
      case ']':
        if (depth == 0) {
          return true;
        }
        --depth;
        break;
      default:
        break;
    }
    ++aCursor.mAt;
  }
  return false;
}

std::optional<std::string_view>
TakeValue(cursor& aCursor)
{
  aCursor.SkipSpaces();
  const auto start = aCursor.mAt;
  if (!SkipValue(aCursor)) {
    return std::nullopt;
  }
  auto end = aCursor.mAt;
  while (end > start && IsSpace(aCursor.mText[end - 1])) {
    --end;
  }
  return aCursor.mText.substr(start, end - start);
}

bool
IsOver(cursor& aCursor)
{
  aCursor.SkipSpaces();
  return aCursor.IsAtEnd();
}

} // namespace

result<std::vector<raw_member>>
SplitObject(std::string_view aText)
{
  using members = std::vector<raw_member>;
  cursor at{ aText };
  members found;
  if (!at.Take('{')) {
    return Fail<members>("no object");
  }
  if (at.Take('}')) {
    return IsOver(at) ? Succeed(std::move(found))
                      : Fail<members>("bytes after the object");
  }
  do {
    at.SkipSpaces();
    const auto start = at.mAt;
    if (at.IsAtEnd() || aText[start] != '"' || !SkipString(at)) {
      return Fail<members>("no member name at byte " + std::to_string(start));
    }
    const auto name = aText.substr(start + 1, at.mAt - start - 2);
    if (!at.Take(':')) {
      return Fail<members>("no colon at byte " + std::to_string(at.mAt));
    }
    const auto value = TakeValue(at);
    if (!value) {
      return Fail<members>("no end of the value of " + std::string(name));
    }
    found.push_back({ name, *value });
  } while (at.Take(','));
  return at.Take('}') && IsOver(at) ? Succeed(std::move(found))
                                    : Fail<members>("the object has no end");
}

result<std::vector<std::string_view>>
SplitArray(std::string_view aText)
{
  using elements = std::vector<std::string_view>;
  cursor at{ aText };
  elements found;
  if (!at.Take('[')) {
    return Fail<elements>("no array");
  }
  if (at.Take(']')) {
    return IsOver(at) ? Succeed(std::move(found))
                      : Fail<elements>("bytes after the array");
  }
  do {
    const auto element = TakeValue(at);
    if (!element) {
      return Fail<elements>("no end of element " +
                            std::to_string(found.size()));
    }
    found.push_back(*element);
  } while (at.Take(','));
  return at.Take(']') && IsOver(at) ? Succeed(std::move(found))
                                    : Fail<elements>("the array has no end");
}

std::string_view
FindRaw(const std::vector<raw_member>& aMembers, std::string_view aName)
{
  const auto found =
    std::find_if(aMembers.begin(), aMembers.end(), [&](const auto& aMember) {
      return aMember.mName == aName;
    });
  return found == aMembers.end() ? std::string_view() : found->mValue;
}

} // namespace lavender::json
