#include "Libraries/Edge/HeadSyntax.h"

#include <algorithm>

namespace lavender::edge {

namespace {

bool
IsVisible(unsigned char aCharacter)
{
  return aCharacter > ' ' && aCharacter < 0x7f;
}

bool
IsTokenCharacter(unsigned char aCharacter)
{
  const bool isLetter =
    (aCharacter | 0x20) >= 'a' && (aCharacter | 0x20) <= 'z';
  constexpr std::string_view kSeparators = "\"(),/:;<=>?@[\\]{}";
  return isLetter || (IsVisible(aCharacter) &&
                      kSeparators.find(static_cast<char>(aCharacter)) ==
                        std::string_view::npos);
}

bool
IsDigit(unsigned char aCharacter)
{
  return aCharacter >= '0' && aCharacter <= '9';
}

/** Whether a status line begins here, up to its status (RFC 9112, section 4);
 * nothing but a space follows that. */
bool
BeginsWithStatusLine(std::string_view aText)
{
  constexpr std::string_view kPattern = "HTTP/0.0 000";
  if (aText.size() < kPattern.size() ||
      (aText.size() > kPattern.size() && aText[kPattern.size()] != ' ')) {
    return false;
  }
  return std::equal(kPattern.begin(),
                    kPattern.end(),
                    aText.begin(),
                    [](char aExpected, char aCharacter) {
                      return aExpected == '0' ? IsDigit(aCharacter)
                                              : aExpected == aCharacter;
                    });
}

} // namespace

std::string
Describe(const head_fault& aFault)
{
  switch (aFault.mPart) {
    case head_part::Method:
      return "HTTP doesn't allow the method";
    case head_part::Target:
      return "HTTP doesn't allow the path";
    case head_part::FieldName:
      return "HTTP doesn't allow the name of a field";
    case head_part::FieldValue:
      return "HTTP doesn't allow the value of the field " + aFault.mField;
  }
  return "HTTP doesn't allow the head";
}

bool
IsToken(std::string_view aText)
{
  return !aText.empty() &&
         std::all_of(aText.begin(), aText.end(), IsTokenCharacter);
}

bool
IsFieldValue(std::string_view aText)
{
  return std::all_of(aText.begin(), aText.end(), [](unsigned char aCharacter) {
    return aCharacter == '\t' || (aCharacter >= ' ' && aCharacter != 0x7f);
  });
}

bool
IsFinalStatus(unsigned aStatus)
{
  return aStatus >= 200 && aStatus <= 599;
}

bool
IsTarget(std::string_view aText)
{
  return !aText.empty() &&
         std::all_of(aText.begin(), aText.end(), [](unsigned char aCharacter) {
           return aCharacter >= 0x80 || IsVisible(aCharacter);
         });
}

bool
HoldsStatusLine(std::string_view aText)
{
  for (auto at = aText.find("HTTP/"); at != std::string_view::npos;
       at = aText.find("HTTP/", at + 1)) {
    if (BeginsWithStatusLine(aText.substr(at))) {
      return true;
    }
  }
  return false;
}

bool
HoldsFoldedLine(std::string_view aLines)
{
  while (!aLines.empty()) {
    if (aLines.front() == ' ' || aLines.front() == '\t') {
      return true;
    }
    const auto end = aLines.find('\n');
    aLines.remove_prefix(end == std::string_view::npos ? aLines.size()
                                                       : end + 1);
  }
  return false;
}

std::optional<head_fault>
FindFault(const header_list& aHeaders)
{
  for (const auto& [name, value] : aHeaders.mFields) {
    if (!IsToken(name)) {
      return head_fault{ head_part::FieldName, name };
    }
    if (!IsFieldValue(value)) {
      return head_fault{ head_part::FieldValue, name };
    }
  }
  return std::nullopt;
}

std::optional<head_fault>
FindFault(const request& aRequest)
{
  if (!IsToken(aRequest.mMethod)) {
    return head_fault{ head_part::Method, {} };
  }
  if (!IsTarget(aRequest.mTarget)) {
    return head_fault{ head_part::Target, {} };
  }
  return FindFault(aRequest.mHeaders);
}

} // namespace lavender::edge
