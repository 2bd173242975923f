#include "Duties/Dispatch/AttemptDecision.h"

#include <algorithm>

namespace lavender::dispatch {
namespace {

using wire::run_state;
using wire::wire_state;
using namespace std::chrono_literals;

/** How much before the caller's deadline the agent replies. */
constexpr milliseconds kReplyMargin = 100ms;

attempt_decision
Finish(ran aRan, std::string aReason, milliseconds aRetryAfter = 1000ms)
{
  attempt_decision decision;
  decision.mOutcome.mRan = aRan;
  decision.mOutcome.mReason = std::move(aReason);
  decision.mOutcome.mRetryAfter = aRetryAfter;
  return decision;
}

attempt_decision
MakeStep(const attempt_limits& aLimits,
         attempt_state& aState,
         attempt_step aStep,
         time_point aNow,
         milliseconds aDelay)
{
  const auto left =
    std::chrono::duration_cast<milliseconds>(aState.mDeadline - aNow) - aDelay;
  attempt_decision decision;
  decision.mStep = aStep;
  decision.mRetryDelay = aDelay;
  decision.mWait = std::clamp(left - kReplyMargin, 0ms, aLimits.mMaximumWait);
  decision.mTimeout = std::clamp(left, kReplyMargin, aLimits.mReplyTimeout);
  aState.mLastStep = aStep;
  return decision;
}

attempt_decision
MakeCancel(const attempt_limits& aLimits,
           attempt_state& aState,
           std::string aReason,
           time_point aNow,
           milliseconds aDelay)
{
  if (aState.mCancelReason.empty()) {
    aState.mCancelReason = std::move(aReason);
  }
  auto decision = MakeStep(aLimits, aState, attempt_step::Cancel, aNow, aDelay);
  decision.mWait = 0ms;
  decision.mTimeout =
    std::max(decision.mTimeout, aLimits.mMinimumCancelTimeout);
  return decision;
}

/** Reason told to a caller whose attempt the agent refused or cancelled. */
std::string
RefusalReason(const attempt_state& aState, const wire::dispatch_reply& aReply)
{
  return aState.mCancelReason.empty() ? aReply.reason : aState.mCancelReason;
}

/** Decides on a reply by another incarnation than the order was addressed to.
 */
attempt_decision
DecideOnOtherIncarnation(const attempt_state& aState,
                         const wire::dispatch_reply& aReply)
{
  // The order was sent once, on one connection, and the process that replies on
  // that connection is the one that read it. It refused the order, so nothing
  // ran. Any later call may reach the successor of a process that ran it.
  if (aState.mLastStep == attempt_step::Dispatch &&
      aReply.state == run_state::NOT_RUN) {
    return Finish(ran::NotRun, kServerRestarted);
  }
  return Finish(ran::OutcomeUnknown, kServerRestarted);
}

/** Decides on a reply of the addressed incarnation; returns step Await if the
 * attempt hasn't ended. */
attempt_decision
DecideOnEnd(const attempt_state& aState, wire::dispatch_reply aReply)
{
  if (aReply.state == run_state::FINISHED) {
    auto decision = Finish(ran::Ran, "", 0ms);
    decision.mOutcome.mResult = std::move(aReply.result);
    return decision;
  }
  if (aReply.state == run_state::NOT_RUN) {
    return Finish(ran::NotRun,
                  RefusalReason(aState, aReply),
                  milliseconds(aReply.retry_after_ms));
  }
  if (aReply.state == run_state::OUTCOME_UNKNOWN) {
    return Finish(ran::OutcomeUnknown, aReply.reason);
  }
  if (aState.mLastStep == attempt_step::Cancel) {
    // The request is already running and can't be cancelled.
    return Finish(ran::OutcomeUnknown, aState.mCancelReason);
  }
  attempt_decision pending;
  pending.mStep = attempt_step::Await;
  return pending;
}

/** Next step after a call without a reply. */
attempt_decision
DecideOnNoReply(const attempt_limits& aLimits,
                attempt_state& aState,
                const attempt_event& aEvent)
{
  const bool isRefused = aEvent.mWire == wire_state::Refused;
  const bool mayHaveBeenSent =
    !isRefused && aEvent.mWire != wire_state::NotSent;
  if (aState.mLastStep == attempt_step::Dispatch && !mayHaveBeenSent) {
    return Finish(ran::NotRun, "server_unreachable");
  }
  if (isRefused) {
    // The only process that knew the outcome no longer runs.
    return Finish(ran::OutcomeUnknown, kServerGone);
  }
  if (aEvent.mNow - aState.mLastReplyAt > aLimits.mGiveUpAfter) {
    return Finish(ran::OutcomeUnknown, "server_silent");
  }
  if (aState.mLastStep == attempt_step::Cancel) {
    if (aEvent.mNow >= aState.mDeadline) {
      return Finish(ran::OutcomeUnknown, aState.mCancelReason);
    }
    return MakeCancel(aLimits, aState, "", aEvent.mNow, aLimits.mRetryDelay);
  }
  return MakeStep(aLimits,
                  aState,
                  attempt_step::Await,
                  aEvent.mNow,
                  mayHaveBeenSent ? 0ms : aLimits.mRetryDelay);
}

/** Why the caller stops waiting; empty if it still waits. */
std::string
FindStopReason(const attempt_state& aState, const attempt_event& aEvent)
{
  return aEvent.mNow >= aState.mDeadline ? kDeadline : aEvent.mStopReason;
}

} // namespace

attempt_decision
Begin(const attempt_limits& aLimits, attempt_state& aState, time_point aNow)
{
  aState.mStartedAt = aNow;
  aState.mLastReplyAt = aNow;
  const auto step = aState.mRole == attempt_role::Owner ? attempt_step::Dispatch
                                                        : attempt_step::Await;
  return MakeStep(aLimits, aState, step, aNow, 0ms);
}

attempt_decision
Decide(const attempt_limits& aLimits,
       attempt_state& aState,
       attempt_event aEvent)
{
  const bool isAnswered = aEvent.mWire == wire_state::Answered;
  const auto runState = aEvent.mReply.state;
  attempt_decision next;
  if (!isAnswered) {
    next = DecideOnNoReply(aLimits, aState, aEvent);
  } else if (aEvent.mReply.agent_incarnation != aState.mIncarnation) {
    next = DecideOnOtherIncarnation(aState, aEvent.mReply);
  } else {
    aState.mLastReplyAt = aEvent.mNow;
    next = DecideOnEnd(aState, std::move(aEvent.mReply));
  }
  if (next.mStep != attempt_step::Await) {
    return next;
  }
  if (const auto reason = FindStopReason(aState, aEvent); !reason.empty()) {
    // A follower must not cancel an attempt that another caller waits for.
    return aState.mRole == attempt_role::Follower
             ? Finish(ran::OutcomeUnknown, reason)
             : MakeCancel(aLimits, aState, reason, aEvent.mNow, 0ms);
  }
  if (isAnswered && runState == run_state::UNKNOWN_ID) {
    const bool mayStillArrive =
      aState.mRole == attempt_role::Follower &&
      aEvent.mNow - aState.mStartedAt < aLimits.mArrivalGrace;
    if (!mayStillArrive) {
      // The order was lost or is still in transit. The tombstone that a cancel
      // leaves at the agent guarantees that the order never runs.
      return MakeCancel(aLimits, aState, "dispatch_lost", aEvent.mNow, 0ms);
    }
    return MakeStep(
      aLimits, aState, attempt_step::Await, aEvent.mNow, aLimits.mRetryDelay);
  }
  return isAnswered
           ? MakeStep(aLimits, aState, attempt_step::Await, aEvent.mNow, 0ms)
           : next;
}

} // namespace lavender::dispatch
