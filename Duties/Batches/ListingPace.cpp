#include "Duties/Batches/ListingPace.h"

#include "Libraries/Core/Mechanisms.h"

#include <algorithm>

namespace lavender::batches {

namespace {

constexpr milliseconds kEarlyDelay{ 500 };
/** Delay while few results are pending. In the tail of a step single results
 * come seconds apart, and few items have to be run again if the entry dies, so
 * a write for each result costs more than it saves. */
constexpr milliseconds kFewResultsDelay{ 1500 };
/** Fewer results than the batch's total divided by this count as few. */
constexpr std::size_t kFewResultsDivisor = 16;
/** Short delay that combines results of the same iteration of the event loop.
 */
constexpr milliseconds kFinalDelay{ 10 };
/** Delay near the due time, when each group counts regardless of the others. */
constexpr milliseconds kNearDueDelay{ 100 };
constexpr milliseconds kNearDue{ 1500 };
/** Delay for all completed groups if the mechanism is off. */
constexpr milliseconds kFixedDelay{ 250 };

} // namespace

milliseconds
CommitDelay(const group_progress& aProgress,
            int aTargetGroups,
            milliseconds aDueIn,
            bool aIsGroupComplete,
            const pending_results& aResults)
{
  const bool areFew = aResults.mWaiting * kFewResultsDivisor < aResults.mTotal;
  const auto early = areFew ? kFewResultsDelay : kEarlyDelay;
  if (!aIsGroupComplete) {
    return early;
  }
  if (!IsOn(mechanism::ListingPace)) {
    return kFixedDelay;
  }
  if (aProgress.mCompleteGroups >= aTargetGroups) {
    return kFinalDelay;
  }
  if (aDueIn <= kNearDue) {
    return kNearDueDelay;
  }
  // A pending group must be listed by the time at which it is due to be read.
  return std::min(early, aDueIn - kNearDue + kNearDueDelay);
}

} // namespace lavender::batches
