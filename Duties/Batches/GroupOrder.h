#pragma once

#include <cstddef>
#include <vector>

/** Decides which groups of a batch run first. The trainer uses complete groups
 * only, so when the servers can't finish all in time, a part of every group is
 * worth nothing. No I/O. */
namespace lavender::batches {

struct open_group
{
  /** Items without a complete text, whether they run or wait. */
  int mOpenItems = 0;
  /** Items whose text is complete or in progress. */
  int mStartedItems = 0;
};

/** Returns a rank for each group; items of lower ranks run first. Groups that
 * share a rank compete by the length of their items.
 *
 * The groups that the servers can finish in time share the first rank, up to
 * the number that the trainer waits for. The others follow one by one. Groups
 * that are further on are taken first, then those submitted first.
 * @param aGroups in the order of submission
 * @param aTargetGroups number of complete groups that the trainer waits for,
 * those that are complete already not included
 * @param aFeasibleItems number of items that the servers can finish in time */
std::vector<std::size_t>
RankGroups(const std::vector<open_group>& aGroups,
           std::size_t aTargetGroups,
           double aFeasibleItems);

} // namespace lavender::batches
