#pragma once

#include "Libraries/Edge/Message.h"
#include "Libraries/Edge/PieceBody.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <cstddef>
#include <string>
#include <string_view>

namespace lavender::edge {

/** Reads one response to one request from the bytes that a server sends, and
 * says when they are none. No I/O. */
class response_reader
{
public:
  response_reader();
  response_reader(const response_reader&) = delete;
  response_reader& operator=(const response_reader&) = delete;

  /** Reads as much as is complete in itself: a field, a part of the body.
   * Nothing is used behind a fault or a whole response.
   * @return the number of bytes that were used; the others are passed again
   * with those that follow them */
  std::size_t Read(boost::asio::const_buffer aBytes);

  /** Why the bytes are no response to be used; empty while they may be one. */
  const std::string& Fault() const { return mFault; }
  bool HasHead() const { return mParser.is_header_done(); }
  /** Status and fields, once the head is complete. */
  const response& Head() const { return mHead; }
  /** Takes the part of the body that was read since the last call. */
  std::string TakeBody();
  /** Whether the body is complete too. */
  bool IsWhole() const { return mParser.is_done(); }
  /** Whether only the end of the connection ends the body. */
  bool EndsWithConnection() const { return HasHead() && mParser.need_eof(); }
  /** Whether the server keeps the connection open after the response. */
  bool KeepsConnection() const
  {
    return mParser.keep_alive() && !mParser.need_eof();
  }

private:
  /** Checks lines of the head that the parser has used, and takes the head once
   * it is complete. */
  void CheckLines(std::string_view aLines);
  void TakeHead();

  boost::beast::http::response_parser<piece_body> mParser;
  response mHead;
  std::string mFault;
};

} // namespace lavender::edge
