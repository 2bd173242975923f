#include "Duties/Dispatch/AttemptDecision.h"

#include <algorithm>

namespace lavender::dispatch {
namespace {

using wire::run_state;
using wire::wire_state;
using namespace std::chrono_literals;

/** Margin by which the agent answers before the caller's deadline. */
constexpr milliseconds kAnswerMargin = 100ms;

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
Ask(const attempt_limits& aLimits,
    attempt_state& aState,
    attempt_step aStep,
    time_point aNow,
    milliseconds aPause)
{
  const auto left =
    std::chrono::duration_cast<milliseconds>(aState.mDeadline - aNow) - aPause;
  attempt_decision decision;
  decision.mStep = aStep;
  decision.mPause = aPause;
  decision.mWait = std::clamp(left - kAnswerMargin, 0ms, aLimits.mWaitSlice);
  decision.mTimeout = std::clamp(left, kAnswerMargin, aLimits.mSilence);
  aState.mLastStep = aStep;
  return decision;
}

attempt_decision
Withdraw(const attempt_limits& aLimits,
         attempt_state& aState,
         std::string aReason,
         time_point aNow,
         milliseconds aPause)
{
  if (aState.mCancelReason.empty()) {
    aState.mCancelReason = std::move(aReason);
  }
  auto decision = Ask(aLimits, aState, attempt_step::Cancel, aNow, aPause);
  decision.mWait = 0ms;
  decision.mTimeout = std::max(decision.mTimeout, aLimits.mLastWord);
  return decision;
}

/** Reason for a caller whose attempt the agent refused or took back. */
std::string
RefusalReason(const attempt_state& aState, const wire::dispatch_reply& aReply)
{
  return aState.mCancelReason.empty() ? aReply.reason : aState.mCancelReason;
}

/** Verdict on a reply of another incarnation than the order was meant for. */
attempt_decision
DecideOnOtherIncarnation(const attempt_state& aState,
                         const wire::dispatch_reply& aReply)
{
  // The order went out once, on one connection, and the process that answers
  // on that connection is the one that read it: it refused, so nothing ran.
  // Any later question may reach a successor of a process that ran it.
  if (aState.mLastStep == attempt_step::Dispatch &&
      aReply.state == run_state::NOT_RUN) {
    return Finish(ran::NotRun, kServerRestarted);
  }
  return Finish(ran::OutcomeUnknown, kServerRestarted);
}

/** Verdict on a reply that ends the attempt; Await when it doesn't. */
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
    // It runs and can't be taken back.
    return Finish(ran::OutcomeUnknown, aState.mCancelReason);
  }
  attempt_decision open;
  open.mStep = attempt_step::Await;
  return open;
}

/** Next step while the agent gave no word. */
attempt_decision
DecideOnSilence(const attempt_limits& aLimits,
                attempt_state& aState,
                const attempt_event& aEvent)
{
  const bool isRefused = aEvent.mWire == wire_state::Refused;
  const bool hasLeft = !isRefused && aEvent.mWire != wire_state::NotSent;
  if (aState.mLastStep == attempt_step::Dispatch && !hasLeft) {
    return Finish(ran::NotRun, "server_unreachable");
  }
  if (isRefused) {
    // The only process that knew the outcome is gone; asking on is no use.
    return Finish(ran::OutcomeUnknown, kServerGone);
  }
  if (aEvent.mNow - aState.mLastResponseAt > aLimits.mGiveUpAfter) {
    return Finish(ran::OutcomeUnknown, "server_silent");
  }
  if (aState.mLastStep == attempt_step::Cancel) {
    if (aEvent.mNow >= aState.mDeadline) {
      return Finish(ran::OutcomeUnknown, aState.mCancelReason);
    }
    return Withdraw(aLimits, aState, "", aEvent.mNow, aLimits.mPause);
  }
  return Ask(aLimits,
             aState,
             attempt_step::Await,
             aEvent.mNow,
             hasLeft ? 0ms : aLimits.mPause);
}

/** Why the caller can't wait any longer; empty when it can. */
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
  aState.mLastResponseAt = aNow;
  const auto step = aState.mRole == attempt_role::Owner ? attempt_step::Dispatch
                                                        : attempt_step::Await;
  return Ask(aLimits, aState, step, aNow, 0ms);
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
    next = DecideOnSilence(aLimits, aState, aEvent);
  } else if (aEvent.mReply.agent_incarnation != aState.mIncarnation) {
    next = DecideOnOtherIncarnation(aState, aEvent.mReply);
  } else {
    aState.mLastResponseAt = aEvent.mNow;
    next = DecideOnEnd(aState, std::move(aEvent.mReply));
  }
  if (next.mStep != attempt_step::Await) {
    return next;
  }
  if (const auto reason = FindStopReason(aState, aEvent); !reason.empty()) {
    // A follower's caller may not take back what another caller waits for.
    return aState.mRole == attempt_role::Follower
             ? Finish(ran::OutcomeUnknown, reason)
             : Withdraw(aLimits, aState, reason, aEvent.mNow, 0ms);
  }
  if (isAnswered && runState == run_state::UNKNOWN_ID) {
    const bool mayStillArrive =
      aState.mRole == attempt_role::Follower &&
      aEvent.mNow - aState.mStartedAt < aLimits.mArrivalGrace;
    if (!mayStillArrive) {
      // The order was lost or is still on its way; the tombstone that a
      // cancel leaves makes sure that it never runs.
      return Withdraw(aLimits, aState, "dispatch_lost", aEvent.mNow, 0ms);
    }
    return Ask(
      aLimits, aState, attempt_step::Await, aEvent.mNow, aLimits.mPause);
  }
  return isAnswered
           ? Ask(aLimits, aState, attempt_step::Await, aEvent.mNow, 0ms)
           : next;
}

} // namespace lavender::dispatch
