#include "Duties/Rewards/Hedging.h"

#include "Libraries/Core/Mechanisms.h"

#include <algorithm>
#include <vector>

namespace lavender::rewards {

namespace {

/** Quantile of the recent durations after which a second copy is sent. */
constexpr double kQuantile = 0.95;
/** Minimum number of durations for an estimate of the quantile. */
constexpr std::size_t kMinimumDurations = 20;
/** Second copies earned by one call: 0.05 for the calls beyond the quantile,
 * and as many again for a slow server. */
constexpr double kHedgesEarnedPerCall = 0.1;
/** Maximum number of copies in one burst, as when a server becomes unreachable
 * with all the calls that it runs. */
constexpr double kMaximumEarnedHedges = 12;

} // namespace

void
RecordDuration(recent_durations& aRecent, milliseconds aDuration)
{
  aRecent.mDurations[aRecent.mCount++ % recent_durations::kKept] = aDuration;
}

milliseconds
HedgeDelay(const recent_durations& aRecent, milliseconds aFallback)
{
  const auto known = std::min(aRecent.mCount, recent_durations::kKept);
  if (known < kMinimumDurations) {
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
RecordFirstAttempt(hedge_budget& aBudget)
{
  aBudget.mEarned =
    std::min(aBudget.mEarned + kHedgesEarnedPerCall, kMaximumEarnedHedges);
}

void
RecordRejection(hedge_budget& aBudget)
{
  aBudget.mEarned = 0;
}

bool
ConsumeHedge(hedge_budget& aBudget)
{
  if (aBudget.mEarned < 1 || !IsOn(mechanism::HedgedRewards)) {
    return false;
  }
  aBudget.mEarned -= 1;
  return true;
}

} // namespace lavender::rewards
