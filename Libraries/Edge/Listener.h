#pragma once

#include "Libraries/Core/Clock.h"
#include "Libraries/Edge/Message.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>

namespace lavender::edge {

/** What a caller may send, and how long it may take. Read again for each
 * request, so that a change is in force at once. */
struct listener_limits
{
  std::size_t mMaximumHeaderBytes = 16384;
  std::size_t mMaximumBodyBytes = 32 << 20;
  /** From the first byte of a request to the last of its body's header. */
  milliseconds mHeaderTimeout{ 5000 };
  /** A connection without a request is closed after this. */
  milliseconds mIdleTimeout{ 60000 };
  /** Bodies of all requests under way together; a request beyond it is told to
   * come back. Without it a few large uploads end the process for memory. */
  std::size_t mMaximumBufferedBytes = 256 << 20;
  /** Connections beyond this are closed at once: descriptors are limited. */
  std::size_t mMaximumConnections = 2000;
};

class server_connection;

/** One request and the answer to it. Answer, or Begin with Write and Finish;
 * later calls after the caller has left do nothing. */
class exchange
{
public:
  explicit exchange(std::shared_ptr<server_connection> aConnection,
                    request aRequest);
  ~exchange();
  exchange(const exchange&) = delete;
  exchange& operator=(const exchange&) = delete;

  const request mRequest;
  /** When the whole request had been read. */
  const time_point mReadAt = boot_clock::now();

  void Answer(response aResponse);
  /** Starts an answer of unknown length. */
  void Begin(unsigned aStatus, const header_list& aHeaders);
  void Write(std::string_view aPiece);
  void Finish();
  /** Resets the connection, so that what was sent can't be taken for a whole
   * answer. */
  void Abort();
  bool IsEnded() const { return mIsEnded; }
  bool HasBegun() const { return mHasBegun; }
  /** Bytes that the caller hasn't taken yet. */
  std::size_t Unsent() const;
  /** Called once when the caller leaves before its answer is whole. */
  void OnCallerLeft(std::function<void()> aHandler);

private:
  friend class server_connection;
  std::weak_ptr<server_connection> mConnection;
  std::function<void()> mCallerLeft;
  bool mHasBegun = false;
  bool mIsEnded = false;
};

using exchange_ptr = std::shared_ptr<exchange>;

/** Answers with a status of this process's own, without a body.
 * @param aRetryAfter when to come back, told in seconds with a fraction */
void
AnswerOwn(const exchange_ptr& aExchange,
          unsigned aStatus,
          std::optional<milliseconds> aRetryAfter = std::nullopt);

using request_handler = std::function<void(const exchange_ptr&)>;

/** Accepts connections on one address. */
class listener
{
public:
  listener(boost::asio::io_context& aLoop,
           std::shared_ptr<const listener_limits> aLimits,
           request_handler aHandler);
  ~listener();
  listener(const listener&) = delete;
  listener& operator=(const listener&) = delete;

  /** Opens the address; port 0 picks one.
   * @return what went wrong, or empty */
  std::string Open(const endpoint& aAddress);
  unsigned short Port() const;
  /** From now on each answer asks its caller to close, and idle connections
   * close after a moment in which a request may still cross. */
  void StartDraining();
  void StopAccepting();
  std::size_t Connections() const;
  /** Requests without a whole answer. */
  std::size_t Requests() const;

private:
  struct implementation;
  std::shared_ptr<implementation> mImplementation;
};

} // namespace lavender::edge
