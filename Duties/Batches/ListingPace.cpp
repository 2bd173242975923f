#include "Duties/Batches/ListingPace.h"

#include "Libraries/Core/Mechanisms.h"

namespace lavender::batches {

namespace {

constexpr milliseconds kGatherEarly{ 500 };
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
           bool aIsGroupWhole)
{
  if (!aIsGroupWhole) {
    return kGatherEarly;
  }
  if (!IsOn(mechanism::ListingPace)) {
    return kGatherEven;
  }
  if (aProgress.mWholeGroups >= aTargetGroups) {
    return kGatherLast;
  }
  return aDueIn <= kNearDue ? kGatherDue : kGatherEarly;
}

} // namespace lavender::batches
