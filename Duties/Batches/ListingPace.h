#pragma once

#include "Duties/Batches/GroupProgress.h"
#include "Libraries/Core/Clock.h"

/** How long results gather before they are written as one block. Pure.
 *
 * Each write is a priced call to the store, and a trainer can do nothing with a
 * step until as many groups are whole as it waits for. So what comes before
 * that gathers long, at the risk of running it again when the entry dies, and
 * what may end the step is written at once. */
namespace lavender::batches {

/** Results that wait to be written, of all that the batch will have. */
struct waiting_results
{
  std::size_t mWaiting = 0;
  std::size_t mTotal = 0;
};

/** @param aTargetGroups whole groups that the trainer waits for
 * @param aDueIn time until the batch's results are due
 * @param aIsGroupWhole whether the newest result made its group whole */
milliseconds
GatherTime(const group_progress& aProgress,
           int aTargetGroups,
           milliseconds aDueIn,
           bool aIsGroupWhole,
           const waiting_results& aResults);

} // namespace lavender::batches
