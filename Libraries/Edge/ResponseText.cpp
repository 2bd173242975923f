#include "Libraries/Edge/ResponseText.h"

#include <cstdio>

namespace lavender::edge {

std::string
WriteHead(unsigned aStatus,
          const header_list& aHeaders,
          std::optional<std::size_t> aLength,
          std::string_view aConnection)
{
  std::string head = "HTTP/1.1 " + std::to_string(aStatus) + " " +
                     std::string(ReasonPhrase(aStatus)) + "\r\n";
  for (const auto& [name, value] : aHeaders.mFields) {
    head += name + ": " + value + "\r\n";
  }
  head += aLength ? "Content-Length: " + std::to_string(*aLength) + "\r\n"
                  : std::string("Transfer-Encoding: chunked\r\n");
  if (!aConnection.empty()) {
    head += "Connection: " + std::string(aConnection) + "\r\n";
  }
  return head + "\r\n";
}

std::string
WriteChunk(std::string_view aPiece)
{
  char size[20];
  const int length = std::snprintf(size, sizeof size, "%zx\r\n", aPiece.size());
  std::string chunk(size, static_cast<std::size_t>(length));
  chunk.append(aPiece);
  return chunk + "\r\n";
}

} // namespace lavender::edge
