#include "Libraries/Http/Message.h"

#include "Libraries/Core/UrlEncoding.h"

#include <strings.h>

namespace lavender::http {

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
        DecodeUrlQuery(pair.substr(0, equals)) == aName) {
      return DecodeUrlQuery(pair.substr(equals + 1));
    }
    start = end + 1;
  }
  return aFallback;
}

} // namespace lavender::http
