#include "Duties/Forwarding/AttemptOutcome.h"

#include <algorithm>

namespace lavender::forwarding {

namespace {
/** An attempt is given this many target latencies before the next one: most
 * slow servers still answer within it, and a second attempt still fits into
 * the usual deadline of five. */
constexpr int kTargetsPerAttempt = 2;
/** But never less, as connections and queues take their time. */
constexpr milliseconds kLeastPatience{ 150 };
/** Nor more than this share of the time left, so that a second attempt has as
 * much. */
constexpr int kShareOfTimeLeft = 2;
} // namespace

execution
ExecutionOf(const attempt_end& aEnd)
{
  if (aEnd.mEnd == edge::call_end::NotSent) {
    return execution::NotRun;
  }
  if (aEnd.mEnd != edge::call_end::Complete || aEnd.mIsMismatched) {
    return execution::Unknown;
  }
  return aEnd.mIsNotExecuted ? execution::NotRun : execution::Ran;
}

next_step
DecideNext(const attempt_end& aEnd, const attempt_budget& aBudget)
{
  const auto execution = ExecutionOf(aEnd);
  const bool isServerError = execution == execution::Ran && aEnd.mStatus >= 500;
  if (execution == execution::Ran && !isServerError) {
    return next_step::Deliver;
  }
  const bool mayRepeat = execution == execution::NotRun ||
                         aBudget.mRetryPolicy == site::retry_policy::Idempotent;
  if (mayRepeat && aBudget.mAttemptsLeft > 0 &&
      aBudget.mTimeLeft >= kShortestAttempt) {
    return next_step::RetryOnAnotherServer;
  }
  if (isServerError) {
    return next_step::Deliver;
  }
  return execution == execution::NotRun && !aBudget.mMayHaveRun
           ? next_step::RefuseNotRun
           : next_step::FailUnknown;
}

milliseconds
PatienceFor(const site::route& aRoute, const attempt_budget& aBudget)
{
  if (aBudget.mRetryPolicy != site::retry_policy::Idempotent ||
      aBudget.mAttemptsLeft <= 0) {
    return aBudget.mTimeLeft;
  }
  const auto wanted =
    std::max(kLeastPatience, aRoute.mTargetLatency * kTargetsPerAttempt);
  return std::min(wanted, aBudget.mTimeLeft / kShareOfTimeLeft);
}

} // namespace lavender::forwarding
