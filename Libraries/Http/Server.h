#pragma once

#include "Libraries/Edge/ListenerCounts.h"
#include "Libraries/Http/Message.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace lavender::http {

using handler = std::function<response(const request&)>;

/** Address of a server and its bounds on what callers send and take. */
struct server_options
{
  /** What the server is for, as the log names it. */
  std::string mName = "http";
  /** IP address or name of a host. */
  std::string mAddress = "127.0.0.1";
  /** 0 lets the system choose a port, which server::Port returns. */
  std::uint16_t mPort = 0;
  /** A larger body gets status 413. */
  std::size_t mMaximumBodyBytes = 1 << 20;
  /** Of the method, target and all fields together; beyond it status 431. */
  std::size_t mMaximumHeadBytes = 16384;
  /** Memory of all connections, requests and responses; beyond it connections
   * end, those that read a request with status 503. */
  std::size_t mMaximumHeldBytes = 256 << 20;
  /** Beyond this number a connection without a request in flight ends for a new
   * one. */
  std::size_t mMaximumConnections = 2000;
  /** Handlers that may run concurrently; each occupies one thread. */
  unsigned mMaximumThreads = 256;
  /** Maximum time from the first byte of a request to the end of its head, and
   * between two pieces of a body; beyond it status 408. */
  std::chrono::milliseconds mReadTimeout{ 10000 };
  /** Maximum time from the end of a head to the end of the body; beyond it
   * status 408. */
  std::chrono::milliseconds mBodyTimeout{ 120000 };
  /** Maximum time for which a caller takes no byte of its response. */
  std::chrono::milliseconds mWriteTimeout{ 20000 };
  /** Time after which a connection without a request is closed. */
  std::chrono::milliseconds mKeepAlive{ 30000 };
  /** Told of connections that ended for others, beside the log, at most once a
   * second; may be null. */
  std::function<void(const edge::listener_counts&)> mOnConnectionsEnded;
};

/** HTTP server with its own thread for the event loop and threads for the
 * handlers, which may block.
 *
 * A request beyond a bound, malformed, or with a transfer encoding is refused
 * before its body is read, and the connection is closed: bytes that weren't
 * read could be parsed as another request. A caller that closes its sending
 * side still gets the responses to what it has sent. */
class server
{
public:
  /** Throws std::runtime_error if it can't listen on the address. */
  server(server_options aOptions, handler aHandler);
  /** Stops. */
  ~server();
  server(const server&) = delete;
  server& operator=(const server&) = delete;

  std::uint16_t Port() const;
  /** Adds "Connection: close" to every later response. */
  void AskClientsToClose();
  /** Stops accepting connections, closes those without a whole request, waits
   * for running handlers, and for a short time until callers have taken the
   * responses. */
  void Stop();

private:
  struct implementation;
  std::unique_ptr<implementation> mImplementation;
};

} // namespace lavender::http
