#pragma once

#include "Libraries/Core/Clock.h"
#include "Libraries/Edge/Message.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace lavender::edge {

/** How a call ended. What may be repeated depends on it. */
enum class call_end
{
  /** The whole answer arrived. */
  Complete,
  /** No connection: nothing was sent. */
  NotSent,
  /** Sent at least in part, and the connection broke before a whole answer. */
  Broken,
  /** Bytes that are no HTTP answer, or more than one answer. */
  Malformed,
  /** Silent for longer than allowed. */
  TimedOut
};

const char*
ToString(call_end aEnd);

struct call_options
{
  /** The other side must accept within this. */
  milliseconds mConnectTimeout{ 300 };
  /** Longest silence after the request has been sent. */
  milliseconds mSilenceTimeout{ 30000 };
  /** May use a connection that was open before. Such a connection can be dead
   * without a sign, so a call that must not be repeated opens its own. */
  bool mMayReuse = true;
  /** Keep-alive probes find a connection that was dropped on the way while a
   * call waits long; each costs a packet. */
  bool mProbesConnection = false;
};

/** What the caller of a call is told, each on the loop's thread. */
struct call_events
{
  std::function<void(const response&)> mOnHead;
  std::function<void(std::string_view)> mOnBody;
  /** Called exactly once, last; never after Cancel. */
  std::function<void(call_end)> mOnEnd;
};

class client_connection;

/** A call under way. Cancel closes its connection, which is how a server is
 * told to stop its work. Once the call has ended, its connection may be idle or
 * serve another call; a late Cancel leaves it alone. */
class call_handle
{
public:
  call_handle() = default;
  call_handle(std::weak_ptr<client_connection> aConnection,
              std::uint64_t aCall);
  void Cancel();

private:
  std::weak_ptr<client_connection> mConnection;
  /** Number of the call on its connection. */
  std::uint64_t mCall = 0;
};

struct client_counts
{
  std::uint64_t mOpened = 0;
  std::uint64_t mReused = 0;
};

/** Outgoing connections, kept per endpoint between calls. */
class client_pool : public std::enable_shared_from_this<client_pool>
{
public:
  explicit client_pool(boost::asio::io_context& aLoop);

  /** Sends a request. The answer's head must bear the request's fields that
   * the caller checks in mOnHead; the pool only matches order. */
  call_handle Start(const endpoint& aServer,
                    const request& aRequest,
                    call_options aOptions,
                    call_events aEvents);
  /** Closes idle connections to a server that has left. */
  void Forget(const endpoint& aServer);
  const client_counts& Counts() const { return mCounts; }

private:
  friend class client_connection;
  std::shared_ptr<client_connection> TakeIdle(const endpoint& aServer);
  void Keep(const std::shared_ptr<client_connection>& aConnection);
  void Drop(const client_connection* aConnection);

  boost::asio::io_context& mLoop;
  std::map<endpoint, std::vector<std::shared_ptr<client_connection>>> mIdle;
  client_counts mCounts;
};

/** A whole call with its answer held in memory. */
using whole_answer = std::function<void(call_end, response)>;

/** Runs a call and gathers its body, at most that many bytes; a longer one
 * ends as Malformed.
 * @param aDeadline longest time in all */
call_handle
FetchWhole(client_pool& aPool,
           boost::asio::io_context& aLoop,
           const endpoint& aServer,
           const request& aRequest,
           call_options aOptions,
           milliseconds aDeadline,
           std::size_t aMaximumBytes,
           whole_answer aDone);

} // namespace lavender::edge
