#pragma once

#include "Libraries/Core/Clock.h"
#include "Libraries/Edge/DrainCounts.h"
#include "Libraries/Edge/Exchange.h"
#include "Libraries/Edge/ListenerCounts.h"
#include "Libraries/Edge/ListenerOptions.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace lavender::edge {

/** Limits on the size and duration of requests. They are read again for each
 * request, so that a change applies at once. */
struct listener_limits
{
  std::size_t mMaximumHeaderBytes = 16384;
  std::size_t mMaximumBodyBytes = 32 << 20;
  /** Maximum time from the first byte of a request to the end of its header. */
  milliseconds mHeaderTimeout{ 5000 };
  /** Time after which a connection without a request is closed. */
  milliseconds mIdleTimeout{ 60000 };
  /** Maximum time from the end of a request's header to the end of its body,
   * however it arrives. */
  milliseconds mBodyTimeout{ 120000 };
  /** Maximum memory of all connections and requests, until it is freed: of what
   * is read, of requests under way and of responses that callers haven't taken.
   * Beyond it connections end; see RoomDecision.h. A request among them that
   * hasn't been passed on gets status 503 with Retry-After. */
  std::size_t mMaximumHeldBytes = 256 << 20;
  /** Part of mMaximumHeldBytes that is left to small requests. */
  std::size_t mReservedBytes = 16 << 20;
  /** File descriptors are limited. Beyond this number a connection without a
   * request under way ends for a new one. */
  std::size_t mMaximumConnections = 2000;
  /** Maximum time without a byte of a body; none for the idle timeout. */
  std::optional<milliseconds> mBodySilenceTimeout = std::nullopt;
  /** Maximum time for which a caller takes no byte of a response that waits for
   * it; none for no limit. */
  std::optional<milliseconds> mUnreadTimeout = std::nullopt;
};

using request_handler = std::function<void(const exchange_ptr&)>;

/** Accepts connections on one address and serves their requests. */
class listener
{
public:
  listener(boost::asio::io_context& aLoop,
           std::shared_ptr<const listener_limits> aLimits,
           request_handler aHandler,
           listener_options aOptions = {});
  ~listener();
  listener(const listener&) = delete;
  listener& operator=(const listener&) = delete;

  /** Listens on the IP address; port 0 selects a free port.
   * @return the error, or an empty string */
  std::string Open(const endpoint& aAddress);
  unsigned short Port() const;
  /** What the listener is for. */
  const std::string& Name() const;
  /** Adds "Connection: close" to every response from now on, and closes idle
   * connections after a short time, so that a request that is already on its
   * way is still answered. */
  void StartDraining();
  /** Adds "Connection: close" to every response from now on. */
  void AskCallersToClose();
  void StopAccepting();
  /** Closes the connections on which no response is due or being written at
   * once, and the others after that response. */
  void CloseIdle();
  void CloseAll();
  std::size_t Connections() const;
  /** Number of requests whose response is not complete. */
  std::size_t Requests() const;
  /** Requests whose response hasn't begun. */
  std::vector<exchange_ptr> Unanswered() const;
  const drain_counts& DrainCounts() const;
  const listener_counts& Counts() const;
  /** Memory of the connections' buffers, in bytes. */
  std::size_t BufferBytes() const;
  /** Memory that listener_limits::mMaximumHeldBytes limits, in bytes. */
  std::size_t HeldBytes() const;

private:
  struct implementation;
  std::shared_ptr<implementation> mImplementation;
};

} // namespace lavender::edge
