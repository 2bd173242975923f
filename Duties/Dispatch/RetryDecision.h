#pragma once

#include "Duties/Dispatch/CallOutcome.h"

/** Decides whether a call is retried on another server after an attempt. */
namespace lavender::dispatch {

/** State of a call after its attempts so far. */
struct call_progress
{
  bool mIsRepeatable = true;
  int mAttempts = 0;
  int mMaximumAttempts = 3;
  /** An earlier attempt may have run, so the call's outcome can't be "not run",
   * whatever the outcome of later attempts. */
  bool mMayHaveRun = false;
};

/** Applies the outcome of an attempt. True if another attempt may be made:
 * after a proven "not run" or, for a repeatable call only, if the agent process
 * with the attempt seems to have ended. Then the attempt isn't billed twice:
 * its usage is lost with that process or, if the process was only unreachable,
 * is subtracted when the usage window is collected. */
bool
ApplyAttemptOutcome(call_progress& aProgress, const call_outcome& aOutcome);

/** Outcome of the call: that of the last attempt, but unknown instead of "not
 * run" if an earlier attempt may have run. */
call_outcome
FinalOutcome(const call_progress& aProgress, call_outcome aLast);

} // namespace lavender::dispatch
