#pragma once

#include <cstddef>
#include <string_view>

/** Texts of others that are to become strings of a JSON document. */
namespace lavender::json {

/** Whether a document can hold the text: it has to be valid UTF-8. */
bool
IsUtf8(std::string_view aText);

/** Size of the text as a string of a document, in bytes, with escapes and
 * without quotation marks. */
std::size_t
WrittenSize(std::string_view aText);

} // namespace lavender::json
