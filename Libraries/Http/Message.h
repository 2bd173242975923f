#pragma once

#include <string>
#include <utility>
#include <vector>

/** HTTP of the product's own interface: calls and handlers that block, over the
 * connections of Libraries/Edge. */
namespace lavender::http {

using header_list = std::vector<std::pair<std::string, std::string>>;

struct request
{
  std::string mMethod = "GET";
  /** Percent-encoded, as mQuery. */
  std::string mPath = "/";
  /** Text after the question mark, percent-encoded. */
  std::string mQuery;
  header_list mHeaders;
  std::string mBody;
};

struct response
{
  int mStatus = 200;
  std::string mContentType = "application/json";
  header_list mHeaders;
  std::string mBody;
};

/** Value of the first header with the name, compared case-insensitively; the
 * fallback when absent. */
std::string
HeaderOr(const header_list& aHeaders,
         const std::string& aName,
         std::string aFallback);

/** Value of a query parameter, decoded; the fallback when absent. */
std::string
QueryOr(const request& aRequest,
        const std::string& aName,
        std::string aFallback);

} // namespace lavender::http
