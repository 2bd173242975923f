#pragma once

#include "Libraries/Core/Clock.h"

#include <array>
#include <optional>

/** When a second copy of a call goes to another server (hedged request), so
 * that one slow or dark server doesn't hold up a whole group. Pure. */
namespace lavender::rewards {

/** Durations of the last calls that were answered. */
struct recent_durations
{
  static constexpr std::size_t kKept = 128;
  std::array<milliseconds, kKept> mDurations{};
  /** All that were ever noted; the newest is at (mCount - 1) % kKept. */
  std::size_t mCount = 0;
};

void
NoteDuration(recent_durations& aRecent, milliseconds aDuration);

/** How long to wait before the second copy: longer than nearly all of the last
 * calls took; the fallback while too few are known. */
milliseconds
HedgeAfter(const recent_durations& aRecent, milliseconds aFallback);

/** Second copies earned by first ones and not yet sent. Without it a service
 * that turns slow as a whole would get every call twice. */
struct hedge_budget
{
  double mEarned = 0;
};

/** Counts a call's first sending. */
void
NoteFirstSending(hedge_budget& aBudget);

/** A server had no place: the service is full, and copies would keep it so. */
void
NoteTurnedAway(hedge_budget& aBudget);

/** Takes one second copy out of the budget; false when it is used up. */
bool
TakeHedge(hedge_budget& aBudget);

} // namespace lavender::rewards
