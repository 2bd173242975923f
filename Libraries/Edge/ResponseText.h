#pragma once

#include "Libraries/Edge/Message.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

/** How a response is written in HTTP/1.1. No I/O. */
namespace lavender::edge {

/** The status line and all fields.
 * @param aLength size of the body in bytes; none if it follows in chunks
 * @param aConnection content of the Connection field; empty for none */
std::string
WriteHead(unsigned aStatus,
          const header_list& aHeaders,
          std::optional<std::size_t> aLength,
          std::string_view aConnection);

/** One piece of a body of unknown length. */
std::string
WriteChunk(std::string_view aPiece);

} // namespace lavender::edge
