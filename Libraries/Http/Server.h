#pragma once

#include "Libraries/Http/Message.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace lavender::http {

using handler = std::function<response(const request&)>;

struct server_options
{
  std::string mAddress = "127.0.0.1";
  /** 0 lets the system choose; Server::Port tells which it chose. */
  std::uint16_t mPort = 0;
  std::size_t mMaximumBodyBytes = 1 << 20;
  /** Handlers that may run side by side; each holds one thread. */
  unsigned mMaximumThreads = 256;
  std::chrono::milliseconds mReadTimeout{ 10000 };
  std::chrono::milliseconds mKeepAlive{ 30000 };
};

/** An HTTP listener with a thread of its own for the event loop.
 *
 * The library reads bodies without a bound, takes a chunked body as empty and
 * takes the last of two Content-Length headers; such requests are refused
 * before the body is read and the connection is closed, since what follows
 * them could be read as another request. */
class server
{
public:
  server(server_options aOptions, handler aHandler);
  /** Lets running handlers finish, then drops idle connections. */
  ~server();
  server(const server&) = delete;
  server& operator=(const server&) = delete;

  std::uint16_t Port() const;
  /** From now on each reply asks its client to close the connection. */
  void AskClientsToClose();
  /** Stops accepting, lets running handlers finish and returns. */
  void Stop();

private:
  struct implementation;
  std::unique_ptr<implementation> mImplementation;
};

} // namespace lavender::http
