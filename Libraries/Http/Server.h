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
  /** 0 lets the system choose a port, which server::Port returns. */
  std::uint16_t mPort = 0;
  std::size_t mMaximumBodyBytes = 1 << 20;
  /** Handlers that may run concurrently; each occupies one thread. */
  unsigned mMaximumThreads = 256;
  std::chrono::milliseconds mReadTimeout{ 10000 };
  std::chrono::milliseconds mKeepAlive{ 30000 };
};

/** HTTP server with its own thread for the event loop.
 *
 * cxxtools reads bodies of any size, treats a chunked body as empty and uses
 * the last of two Content-Length headers. Such requests are refused before the
 * body is read, and the connection is closed, since the bytes of the unread
 * body could be parsed as another request. */
class server
{
public:
  server(server_options aOptions, handler aHandler);
  /** Waits for running handlers, then closes idle connections. */
  ~server();
  server(const server&) = delete;
  server& operator=(const server&) = delete;

  std::uint16_t Port() const;
  /** Adds "Connection: close" to every later response. */
  void AskClientsToClose();
  /** Stops accepting connections and waits for running handlers. */
  void Stop();

private:
  struct implementation;
  std::unique_ptr<implementation> mImplementation;
};

} // namespace lavender::http
