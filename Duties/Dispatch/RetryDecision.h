#pragma once

#include "Duties/Dispatch/CallOutcome.h"

/** Whether a call goes to another server after an attempt ended. */
namespace lavender::dispatch {

/** What earlier attempts of one call left behind. */
struct call_progress
{
  bool mIsRepeatable = true;
  int mAttempts = 0;
  int mMaximumAttempts = 3;
  /** An earlier attempt may have run, so the call can't be called "not run"
   * any more, whatever later attempts say. */
  bool mMayHaveRun = false;
};

/** Takes an attempt's end in. True when another attempt may be made: after a
 * proven "not run", or, for a repeatable call only, when the process that
 * held the attempt seems gone. Its count is gone with it, or, when it was only
 * out of reach, is taken out when the window is collected. */
bool
TakeAttempt(call_progress& aProgress, const call_outcome& aOutcome);

/** What the caller is told: the last attempt's end, weakened by what earlier
 * attempts left open. */
call_outcome
Conclude(const call_progress& aProgress, call_outcome aLast);

} // namespace lavender::dispatch
