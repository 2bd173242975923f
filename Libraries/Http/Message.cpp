#include "Libraries/Http/Message.h"

#include <cctype>
#include <strings.h>

namespace lavender::http {
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
HeaderOr(const header_list& aHeaders,
         const std::string& aName,
         std::string aFallback)
{
  for (const auto& [name, content] : aHeaders) {
    if (strcasecmp(name.c_str(), aName.c_str()) == 0) {
      return content;
    }
  }
  return aFallback;
}

std::string
QueryOr(const request& aRequest,
        const std::string& aName,
        std::string aFallback)
{
  const std::string& query = aRequest.mQuery;
  for (std::size_t start = 0; start < query.size();) {
    auto end = query.find('&', start);
    if (end == std::string::npos) {
      end = query.size();
    }
    const std::string pair = query.substr(start, end - start);
    const auto equals = pair.find('=');
    if (equals != std::string::npos &&
        DecodeUrl(pair.substr(0, equals)) == aName) {
      return DecodeUrl(pair.substr(equals + 1));
    }
    start = end + 1;
  }
  return aFallback;
}

std::string
DecodeUrl(const std::string& aText)
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
      decoded.push_back(aText[i] == '+' ? ' ' : aText[i]);
    }
  }
  return decoded;
}

std::string
EncodeUrl(const std::string& aText)
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

} // namespace lavender::http
