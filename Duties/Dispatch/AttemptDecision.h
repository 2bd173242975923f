#pragma once

#include "Duties/Dispatch/CallOutcome.h"
#include "Libraries/Wire/ConnectionPool.h"

#include <string>

/** How an entry follows one attempt on one server to its end. No I/O: the
 * caller of Decide carries out each step and reports what came of it. */
namespace lavender::dispatch {

/** Reasons that other decisions depend on. */
constexpr const char* kServerRestarted = "server_restarted";
constexpr const char* kServerGone = "server_gone";
constexpr const char* kDeadline = "deadline";

/** Times that bound one attempt. */
struct attempt_limits
{
  /** How long one message to an agent waits for the request's end. */
  milliseconds mWaitSlice{ 500 };
  /** Silence after which a connection counts as dead. */
  milliseconds mSilence{ 1500 };
  /** How long an agent that gives no word is asked before the outcome is
   * called unknown. */
  milliseconds mGiveUpAfter{ 5000 };
  /** Longest wait for a cancel's answer when the deadline has passed. */
  milliseconds mLastWord{ 500 };
  /** Pause after a failed connection. */
  milliseconds mPause{ 50 };
  /** How long a follower lets an order arrive that its owner has recorded and
   * may just be sending. */
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
  /** Sends the order, and withdraws it when its own caller can't wait. */
  Owner,
  /** Fetches the end of another process's attempt and leaves it alone. */
  Follower
};

struct attempt_state
{
  attempt_role mRole = attempt_role::Owner;
  /** Incarnation of the agent that the order is meant for. */
  std::string mIncarnation;
  time_point mDeadline;
  time_point mStartedAt;
  /** Last word from the agent. */
  time_point mLastResponseAt;
  attempt_step mLastStep = attempt_step::Dispatch;
  /** Why the attempt is being withdrawn; empty while it isn't. */
  std::string mCancelReason;
};

/** What came of the last step. */
struct attempt_event
{
  wire::wire_state mWire = wire::wire_state::NotSent;
  /** The agent's reply, when it answered. */
  wire::dispatch_reply mReply;
  time_point mNow;
  /** Why the caller's request must stop, such as a withdrawn key. */
  std::string mStopReason;
};

struct attempt_decision
{
  attempt_step mStep = attempt_step::Finish;
  /** Pause before the step. */
  milliseconds mPause{ 0 };
  /** How long the agent may hold its answer back. */
  milliseconds mWait{ 0 };
  /** Silence after which the step counts as unanswered. */
  milliseconds mTimeout{ 0 };
  /** With Finish. */
  call_outcome mOutcome;
};

/** First step: the owner dispatches, a follower asks. */
attempt_decision
Begin(const attempt_limits& aLimits, attempt_state& aState, time_point aNow);

/** Next step after what came of the last one. "Not run" is decided only when
 * the order can't have left, or on the word of the agent that it was meant
 * for; everything else that stays open is an unknown outcome. */
attempt_decision
Decide(const attempt_limits& aLimits,
       attempt_state& aState,
       attempt_event aEvent);

} // namespace lavender::dispatch
