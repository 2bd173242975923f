#include "Duties/Dispatch/RetryDecision.h"

#include "Duties/Dispatch/AttemptDecision.h"

namespace lavender::dispatch {

bool
ApplyAttemptOutcome(call_progress& aProgress, const call_outcome& aOutcome)
{
  ++aProgress.mAttempts;
  if (aOutcome.mRan == ran::Ran || aOutcome.mReason == kDeadline) {
    return false;
  }
  if (aOutcome.mRan == ran::OutcomeUnknown) {
    aProgress.mMayHaveRun = true;
    const bool isProcessGone =
      aOutcome.mReason == kServerRestarted || aOutcome.mReason == kServerGone;
    if (!aProgress.mIsRepeatable || !isProcessGone) {
      return false;
    }
  }
  return aProgress.mAttempts < aProgress.mMaximumAttempts;
}

call_outcome
FinalOutcome(const call_progress& aProgress, call_outcome aLast)
{
  if (aProgress.mMayHaveRun && aLast.mRan == ran::NotRun) {
    aLast.mRan = ran::OutcomeUnknown;
  }
  return aLast;
}

} // namespace lavender::dispatch
