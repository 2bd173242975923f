#pragma once

#include "Duties/Dispatch/CallOutcome.h"
#include "Libraries/Wire/ConnectionPool.h"

#include <string>

/** State machine by which an entry follows one attempt on one server until it
 * has ended. No I/O: the caller of Decide executes each step and passes the
 * result to the next call. */
namespace lavender::dispatch {

/** Stable reason codes that other decisions depend on. */
constexpr const char* kServerRestarted = "server_restarted";
constexpr const char* kServerGone = "server_gone";
constexpr const char* kDeadline = "deadline";

/** Timeouts of one attempt. */
struct attempt_limits
{
  /** How long one call to an agent waits for the request's end. */
  milliseconds mMaximumWait{ 500 };
  /** A connection without a reply for this long counts as dead. */
  milliseconds mReplyTimeout{ 1500 };
  /** The outcome is unknown when the agent hasn't replied for this long. */
  milliseconds mGiveUpAfter{ 5000 };
  /** Minimum timeout of a cancel, which also applies after the deadline. */
  milliseconds mMinimumCancelTimeout{ 500 };
  /** Delay before retrying a failed connection. */
  milliseconds mRetryDelay{ 50 };
  /** How long a follower waits for an order to arrive at the agent: the owner
   * records the attempt before it sends the order. */
  milliseconds mArrivalGrace{ 500 };
};

enum class attempt_step
{
  Dispatch,
  Await,
  Cancel,
  Finish
};

enum class attempt_role
{
  /** Sends the order, and cancels it when its caller stops waiting. */
  Owner,
  /** Waits for the outcome of another request's attempt, and doesn't cancel it
   * when its own caller stops waiting. */
  Follower
};

struct attempt_state
{
  attempt_role mRole = attempt_role::Owner;
  /** Incarnation of the agent that the order is addressed to. */
  std::string mIncarnation;
  time_point mDeadline;
  time_point mStartedAt;
  /** When the agent last replied. */
  time_point mLastReplyAt;
  attempt_step mLastStep = attempt_step::Dispatch;
  /** Why the attempt is being cancelled; empty if it isn't. */
  std::string mCancelReason;
};

/** Result of the last step. */
struct attempt_event
{
  wire::wire_state mWire = wire::wire_state::NotSent;
  /** The agent's reply; valid if mWire is Answered. */
  wire::dispatch_reply mReply;
  time_point mNow;
  /** Why the caller's request must stop, such as a revoked key; else empty. */
  std::string mStopReason;
};

struct attempt_decision
{
  attempt_step mStep = attempt_step::Finish;
  /** Delay before the step. */
  milliseconds mRetryDelay{ 0 };
  /** How long the agent may wait for the request's end before it replies. */
  milliseconds mWait{ 0 };
  /** Without a reply for this long the step has failed. */
  milliseconds mTimeout{ 0 };
  /** Valid with step Finish. */
  call_outcome mOutcome;
};

/** First step: an owner dispatches the order, a follower awaits its outcome. */
attempt_decision
Begin(const attempt_limits& aLimits, attempt_state& aState, time_point aNow);

/** Next step after the result of the last one. The outcome is "not run" only if
 * the order can't have been sent or the agent that it was addressed to says so;
 * an outcome that can't be determined is unknown. */
attempt_decision
Decide(const attempt_limits& aLimits,
       attempt_state& aState,
       attempt_event aEvent);

} // namespace lavender::dispatch
