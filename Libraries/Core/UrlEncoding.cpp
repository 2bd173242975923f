#include "Libraries/Core/UrlEncoding.h"

#include <algorithm>
#include <cctype>

namespace lavender {

namespace {

int
HexadecimalDigit(char aDigit)
{
  if (aDigit >= '0' && aDigit <= '9') {
    return aDigit - '0';
  }
  if (aDigit >= 'a' && aDigit <= 'f') {
    return aDigit - 'a' + 10;
  }
  if (aDigit >= 'A' && aDigit <= 'F') {
    return aDigit - 'A' + 10;
  }
  return -1;
}

} // namespace

std::string
EncodeUrl(std::string_view aText)
{
  static constexpr char kDigits[] = "0123456789ABCDEF";
  std::string encoded;
  for (const char c : aText) {
    const auto byte = static_cast<unsigned char>(c);
    if (std::isalnum(byte) || c == '-' || c == '_' || c == '.' || c == '~') {
      encoded.push_back(c);
    } else {
      encoded.push_back('%');
      encoded.push_back(kDigits[byte >> 4]);
      encoded.push_back(kDigits[byte & 15]);
    }
  }
  return encoded;
}

std::string
DecodeUrlPath(std::string_view aText)
{
  std::string decoded;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] == '%' && i + 2 < aText.size() &&
        HexadecimalDigit(aText[i + 1]) >= 0 &&
        HexadecimalDigit(aText[i + 2]) >= 0) {
      decoded.push_back(static_cast<char>(HexadecimalDigit(aText[i + 1]) * 16 +
                                          HexadecimalDigit(aText[i + 2])));
      i += 2;
    } else {
      decoded.push_back(aText[i]);
    }
  }
  return decoded;
}

std::string
DecodeUrlQuery(std::string_view aText)
{
  std::string spaced(aText);
  std::replace(spaced.begin(), spaced.end(), '+', ' ');
  return DecodeUrlPath(spaced);
}

} // namespace lavender
