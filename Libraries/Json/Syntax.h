#pragma once

#include <string>
#include <string_view>

namespace lavender::json {

/** First violation of RFC 8259 with its byte, or empty.
 *
 * The library's parser takes `tru`, `{a:1}`, `[1,]`, `01` and bytes after the
 * document for valid and reads some of them as null, and spends seconds on a
 * million nested arrays; every text is checked here before it gets there. */
std::string
FindSyntaxFault(std::string_view aText, int aMaximumNesting);

} // namespace lavender::json
