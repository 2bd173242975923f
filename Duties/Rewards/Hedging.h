#pragma once

#include "Libraries/Core/Clock.h"

#include <array>
#include <optional>

/** Decides when a second copy of a call is sent to another server (hedged
 * request), so that one slow or unreachable server doesn't delay a whole
 * group. No I/O. */
namespace lavender::rewards {

/** Durations of the most recent successful calls, in a ring buffer. */
struct recent_durations
{
  static constexpr std::size_t kKept = 128;
  std::array<milliseconds, kKept> mDurations{};
  /** Number of durations recorded so far; the newest is at (mCount - 1) %
   * kKept. */
  std::size_t mCount = 0;
};

void
RecordDuration(recent_durations& aRecent, milliseconds aDuration);

/** Time to wait before the second copy is sent: a high quantile of the recent
 * durations, or the fallback while there are too few of them. */
milliseconds
HedgeDelay(const recent_durations& aRecent, milliseconds aFallback);

/** Budget of second copies: each call's first attempt adds a fraction of a
 * copy. Without a budget a service that is slow as a whole would get every
 * call twice. */
struct hedge_budget
{
  double mEarned = 0;
};

/** Records the first attempt of a call. */
void
RecordFirstAttempt(hedge_budget& aBudget);

/** Records that a server rejected an attempt for lack of a free slot. Empties
 * the budget: the service is full, and copies would keep it full. */
void
RecordRejection(hedge_budget& aBudget);

/** Takes one second copy from the budget.
 * @return false if the budget is used up */
bool
ConsumeHedge(hedge_budget& aBudget);

} // namespace lavender::rewards
