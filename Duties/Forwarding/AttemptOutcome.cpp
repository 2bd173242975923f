#include "Duties/Forwarding/AttemptOutcome.h"

#include <algorithm>

namespace lavender::forwarding {

namespace {
/** First-byte timeout in units of the route's target latency. Most slow servers
 * respond within it, and a second attempt still fits into the usual deadline
 * of five target latencies. */
constexpr int kTargetLatenciesPerAttempt = 2;
/** Lower bound of the first-byte timeout, because opening a connection and
 * queueing take some time however low the target latency is. */
constexpr milliseconds kMinimumFirstByteTimeout{ 150 };
/** The first-byte timeout is at most the time left divided by this, so that a
 * second attempt has as much time as the first. */
constexpr int kTimeLeftDivisor = 2;
} // namespace

execution
ExecutionOf(const attempt_end& aEnd)
{
  if (!edge::MayHaveBeenSent(aEnd.mEnd)) {
    return execution::NotRun;
  }
  if (aEnd.mEnd != edge::call_end::Complete) {
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
      aBudget.mTimeLeft >= kMinimumAttemptTime) {
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
FirstByteTimeout(const site::route& aRoute, const attempt_budget& aBudget)
{
  if (aBudget.mRetryPolicy != site::retry_policy::Idempotent ||
      aBudget.mAttemptsLeft <= 0) {
    return aBudget.mTimeLeft;
  }
  const auto timeout =
    std::max(kMinimumFirstByteTimeout,
             aRoute.mTargetLatency * kTargetLatenciesPerAttempt);
  return std::min(timeout, aBudget.mTimeLeft / kTimeLeftDivisor);
}

} // namespace lavender::forwarding
