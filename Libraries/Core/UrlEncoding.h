#pragma once

#include <string>
#include <string_view>

namespace lavender {

/** Percent-encodes all but unreserved characters (RFC 3986, section 2.3), so
 * that the text can stand in a segment of a path and in a query. */
std::string
EncodeUrl(std::string_view aText);

/** Decodes %XX in a segment of a path. A percent sign without two digits stays
 * as it is. */
std::string
DecodeUrlPath(std::string_view aText);

/** Decodes a part of a query: as DecodeUrlPath, but a plus is a space. */
std::string
DecodeUrlQuery(std::string_view aText);

} // namespace lavender
