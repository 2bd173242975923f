#include "Duties/Rewards/Hedging.h"

#include "Libraries/Core/Mechanisms.h"

#include <algorithm>
#include <vector>

namespace lavender::rewards {

namespace {

/** Share of the calls that are answered before a second copy is sent. */
constexpr double kQuantile = 0.95;
/** Fewer durations say nothing about the tail. */
constexpr std::size_t kEnough = 20;
/** Second copies that one first sending earns: the twentieth beyond the
 * quantile, and as many again for a server that is slow. */
constexpr double kEarnedByCall = 0.1;
/** Copies that may be sent in one burst, as when a server goes dark with all
 * that it runs. */
constexpr double kMostEarned = 12;

} // namespace

void
NoteDuration(recent_durations& aRecent, milliseconds aDuration)
{
  aRecent.mDurations[aRecent.mCount++ % recent_durations::kKept] = aDuration;
}

milliseconds
HedgeAfter(const recent_durations& aRecent, milliseconds aFallback)
{
  const auto known = std::min(aRecent.mCount, recent_durations::kKept);
  if (known < kEnough) {
    return aFallback;
  }
  std::vector<milliseconds> durations(aRecent.mDurations.begin(),
                                      aRecent.mDurations.begin() +
                                        static_cast<std::ptrdiff_t>(known));
  const auto at =
    durations.begin() +
    static_cast<std::ptrdiff_t>(kQuantile * static_cast<double>(known - 1));
  std::nth_element(durations.begin(), at, durations.end());
  return *at;
}

void
NoteFirstSending(hedge_budget& aBudget)
{
  aBudget.mEarned = std::min(aBudget.mEarned + kEarnedByCall, kMostEarned);
}

void
NoteTurnedAway(hedge_budget& aBudget)
{
  aBudget.mEarned = 0;
}

bool
TakeHedge(hedge_budget& aBudget)
{
  if (aBudget.mEarned < 1 || !IsOn(mechanism::HedgedRewards)) {
    return false;
  }
  aBudget.mEarned -= 1;
  return true;
}

} // namespace lavender::rewards
