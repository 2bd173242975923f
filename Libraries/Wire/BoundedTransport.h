#pragma once

#include "Libraries/Core/Clock.h"

#include <memory>
#include <optional>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TSocket.h>
#include <thrift/transport/TVirtualTransport.h>

namespace lavender::wire {

/** Maximum size of a message, in bytes; a larger one closes its connection
 * before it is read. A copy of the configuration is the largest. */
constexpr std::uint32_t kMaximumFrameBytes = 16 << 20;

/** A larger buffer is given back after its message: a pool keeps many idle
 * connections. */
constexpr std::uint32_t kKeptBufferBytes = 64 << 10;

/** A socket whose reads all end by one time. The socket's own timeout starts
 * anew with each byte, so that a peer which sends slowly could hold the calling
 * thread for ever. */
class deadline_transport
  : public apache::thrift::transport::TVirtualTransport<deadline_transport>
{
public:
  explicit deadline_transport(
    std::shared_ptr<apache::thrift::transport::TSocket> aSocket);

  /** Sets the time of the end of all later reads. */
  void EndAt(time_point aEnd) { mEnd = aEnd; }

  // Thrift prescribes the names of these functions.
  // NOLINTBEGIN(readability-identifier-naming)
  bool isOpen() const override { return mSocket->isOpen(); }
  bool peek() override { return mSocket->peek(); }
  void open() override { mSocket->open(); }
  void close() override { mSocket->close(); }
  std::uint32_t read(std::uint8_t* aBuffer, std::uint32_t aSize);
  void write(const std::uint8_t* aBuffer, std::uint32_t aSize)
  {
    mSocket->write(aBuffer, aSize);
  }
  void flush() override { mSocket->flush(); }
  // NOLINTEND(readability-identifier-naming)

private:
  std::shared_ptr<apache::thrift::transport::TSocket> mSocket;
  time_point mEnd = time_point::max();
};

/** The server's side of a connection. A peer may leave it idle, but a request
 * that has begun has to arrive in time, however slowly its bytes come, and each
 * part of the response has to be taken in time. */
class serving_transport
  : public apache::thrift::transport::TVirtualTransport<serving_transport>
{
public:
  serving_transport(std::shared_ptr<apache::thrift::transport::TSocket> aSocket,
                    milliseconds aTimeout);

  // Thrift prescribes the names of these functions.
  // NOLINTBEGIN(readability-identifier-naming)
  bool isOpen() const override { return mSocket->isOpen(); }
  bool peek() override { return mSocket->peek(); }
  void open() override { mSocket->open(); }
  void close() override { mSocket->close(); }
  std::uint32_t read(std::uint8_t* aBuffer, std::uint32_t aSize);
  void write(const std::uint8_t* aBuffer, std::uint32_t aSize)
  {
    mSocket->write(aBuffer, aSize);
  }
  /** Ends a response; the next request may begin at any time. */
  void flush() override;
  // NOLINTEND(readability-identifier-naming)

private:
  std::shared_ptr<apache::thrift::transport::TSocket> mSocket;
  const milliseconds mTimeout;
  /** Time by which the request that has begun must have arrived; none between
   * two requests. */
  std::optional<time_point> mEnd;
};

/** A framed transport with the limits of this file. */
std::shared_ptr<apache::thrift::transport::TTransport>
MakeBoundedFrames(
  std::shared_ptr<apache::thrift::transport::TTransport> aTransport);

} // namespace lavender::wire
