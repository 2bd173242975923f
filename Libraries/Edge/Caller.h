#pragma once

#include "Libraries/Core/Clock.h"
#include "Libraries/Edge/AnswerBudget.h"
#include "Libraries/Edge/Message.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace lavender::edge {

/** How a call ended, which decides whether it may be repeated. */
enum class call_end
{
  /** The complete response arrived. */
  Complete,
  /** No connection was established, so nothing was sent. */
  NotSent,
  /** HTTP doesn't allow the request's head, so nothing was sent, and the same
   * request never will be. */
  Unsendable,
  /** The connection broke after part of the request may have been sent and
   * before the response was complete. */
  Broken,
  /** The server sent bytes that are not an HTTP response, a part of one that is
   * larger than allowed, more than the process has room for, or bytes after the
   * response. */
  Malformed,
  /** The response belongs to another request; whether the server handled this
   * one isn't known. */
  Foreign,
  /** The call made no progress, or went on, for longer than allowed. */
  TimedOut
};

const char*
ToString(call_end aEnd);

/** Whether the server may have received a part of the request. */
bool
MayHaveBeenSent(call_end aEnd);

struct call_options
{
  /** Maximum time for the connection to be established. */
  milliseconds mConnectTimeout{ 300 };
  /** Maximum time without progress, from the start of sending. */
  milliseconds mSilenceTimeout{ 30000 };
  /** Whether every byte from the server is progress. Otherwise the head of the
   * own response and RecordProgress are: a server may go on sending bytes that
   * are no response. */
  bool mBytesAreProgress = true;
  /** Maximum time of the whole call, whatever arrives. */
  std::optional<milliseconds> mTotalTimeout = std::nullopt;
  /** Whether the call may use an idle connection. Such a connection can be
   * broken without notice, so a call that must not be repeated opens its own.
   */
  bool mMayReuse = true;
  /** Id that the request bears; empty if it bears none. An idle connection
   * whose last request had the same id isn't used: an extra response to that
   * one would pass for the response to this one. */
  std::string mRequestId = {};
  /** Whether TCP keep-alive probes are sent. They detect a connection that was
   * lost in the network during a long call; each one costs a packet. */
  bool mProbesConnection = false;
};

/** Callbacks of a call, invoked on the loop's thread. */
struct call_events
{
  /** Whether a response belongs to the request; null if each one does. A
   * response that doesn't is reported as the end Foreign alone. */
  std::function<bool(const response&)> mIsOwn;
  std::function<void(const response&)> mOnHead;
  std::function<void(std::string_view)> mOnBody;
  /** Called exactly once, after the other callbacks; never after Cancel. */
  std::function<void(call_end)> mOnEnd;
};

class client_connection;

/** Handle of a call in flight. Cancel closes the call's connection, which tells
 * the server to stop its work. After the end of the call, Cancel does nothing,
 * because the connection may serve another call by then. */
class call_handle
{
public:
  call_handle() = default;
  call_handle(std::weak_ptr<client_connection> aConnection,
              std::uint64_t aCall);
  void Cancel();
  /** Tells that the call has made progress; see call_options. */
  void RecordProgress();
  /** Tells how many bytes of the response the caller keeps until its end; see
   * client_pool::LimitAnswers. */
  void RecordHeld(std::size_t aBytes);
  /** Stops reading the response until Resume, which slows the server down. */
  void Pause();
  void Resume();

private:
  std::weak_ptr<client_connection> mConnection;
  /** Number of the call on its connection. */
  std::uint64_t mCall = 0;
};

struct client_counts
{
  std::uint64_t mOpened = 0;
  std::uint64_t mReused = 0;
  /** Responses that were ended because all together held too much memory. */
  std::uint64_t mDiscarded = 0;
};

/** Outgoing connections, kept open between calls for each endpoint. */
class client_pool : public std::enable_shared_from_this<client_pool>
{
public:
  explicit client_pool(boost::asio::io_context& aLoop);

  /** Limits the memory of all responses that are being read, in bytes. Beyond
   * it the largest one ends as Malformed. */
  void LimitAnswers(std::size_t aMaximumBytes);
  /** Bytes held of all responses that are being read. */
  std::size_t AnswerBytes() const { return mAnswers.mHeldBytes; }

  /** Sends a request. The pool matches responses to requests by their order on
   * a connection and by mIsOwn. */
  call_handle Start(const endpoint& aServer,
                    const request& aRequest,
                    call_options aOptions,
                    call_events aEvents);
  /** Closes the idle connections to a server. */
  void Forget(const endpoint& aServer);
  /** Number of idle connections to a server that the next calls can use. */
  int UsableConnections(const endpoint& aServer, time_point aNow) const;
  const client_counts& Counts() const { return mCounts; }
  /** Memory of the idle connections' buffers, in bytes. */
  std::size_t IdleBytes() const;

private:
  friend class client_connection;
  std::shared_ptr<client_connection> PopIdle(const endpoint& aServer,
                                             const std::string& aRequestId);
  void Keep(const std::shared_ptr<client_connection>& aConnection);
  void Drop(const client_connection* aConnection);
  void RecordHeld(const std::shared_ptr<client_connection>& aConnection,
                  std::size_t aBytes);
  void DiscardLargest();

  boost::asio::io_context& mLoop;
  answer_budget mAnswers;
  /** The connections of mAnswers. */
  std::unordered_map<answer_number, std::weak_ptr<client_connection>> mReading;
  answer_number mLastConnection = 0;
  std::map<endpoint, std::vector<std::shared_ptr<client_connection>>> mIdle;
  client_counts mCounts;
};

/** Called at the end of a call with the complete response. */
using whole_answer = std::function<void(call_end, response)>;

/** Runs a call and buffers the body of its response. A body of more than
 * aMaximumBytes ends the call as Malformed, with a line in the log.
 * @param aDeadline maximum duration of the whole call */
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
