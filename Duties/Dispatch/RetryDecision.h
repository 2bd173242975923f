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
 * held the attempt is gone. The latter's run can't be billed, because its
 * count is gone with it; a silent server's run could, so that one isn't
 * repeated. */
bool
TakeAttempt(call_progress& aProgress, const call_outcome& aOutcome);

/** What the caller is told: the last attempt's end, weakened by what earlier
 * attempts left open. */
call_outcome
Conclude(const call_progress& aProgress, call_outcome aLast);

} // namespace lavender::dispatch
