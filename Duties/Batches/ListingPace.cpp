#include "Duties/Batches/ListingPace.h"

#include "Libraries/Core/Mechanisms.h"

#include <algorithm>

namespace lavender::batches {

namespace {

constexpr milliseconds kGatherEarly{ 500 };
/** In the tail of a step single results come seconds apart. Few are run again
 * when the entry dies, so a write for each costs more than it saves. */
constexpr milliseconds kGatherFew{ 1500 };
/** Fewer than one in this many results of the batch. */
constexpr std::size_t kFewOf = 16;
/** Results that come within one turn of the loop go together. */
constexpr milliseconds kGatherLast{ 10 };
/** Near the due time a group counts by itself, whatever the others do. */
constexpr milliseconds kGatherDue{ 100 };
constexpr milliseconds kNearDue{ 1500 };
/** One pace for all whole groups, where the mechanism is off. */
constexpr milliseconds kGatherEven{ 250 };

} // namespace

milliseconds
GatherTime(const group_progress& aProgress,
           int aTargetGroups,
           milliseconds aDueIn,
           bool aIsGroupWhole,
           const waiting_results& aResults)
{
  const bool areFew = aResults.mWaiting * kFewOf < aResults.mTotal;
  const auto early = areFew ? kGatherFew : kGatherEarly;
  if (!aIsGroupWhole) {
    return early;
  }
  if (!IsOn(mechanism::ListingPace)) {
    return kGatherEven;
  }
  if (aProgress.mWholeGroups >= aTargetGroups) {
    return kGatherLast;
  }
  if (aDueIn <= kNearDue) {
    return kGatherDue;
  }
  // A group that waits must be listed when its time to be read comes.
  return std::min(early, aDueIn - kNearDue + kGatherDue);
}

} // namespace lavender::batches
