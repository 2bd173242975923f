#pragma once

#include "Duties/Batches/GroupProgress.h"
#include "Libraries/Core/Clock.h"

/** Decides how long results are collected before they are written as one block.
 * No I/O.
 *
 * Each write is a billed call to the store, and the trainer can't use a step
 * before as many groups are complete as it waits for. Results before that point
 * are therefore collected longer, at the risk of running their items again if
 * the entry dies; results that may complete the step are written at once. */
namespace lavender::batches {

/** Number of results that wait to be written, and of all results of the batch.
 */
struct pending_results
{
  std::size_t mWaiting = 0;
  std::size_t mTotal = 0;
};

/** Returns how long to wait before the pending results are written.
 * @param aTargetGroups number of complete groups that the trainer waits for
 * @param aDueIn time until the batch's results are due
 * @param aIsGroupWhole whether the newest result completed its group */
milliseconds
CommitDelay(const group_progress& aProgress,
            int aTargetGroups,
            milliseconds aDueIn,
            bool aIsGroupComplete,
            const pending_results& aResults);

} // namespace lavender::batches
