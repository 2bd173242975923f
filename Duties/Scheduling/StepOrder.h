#pragma once

#include "Libraries/Core/Clock.h"

#include <cstddef>
#include <vector>

/** Decides which groups of which steps run first. A trainer uses complete
 * groups only and in time only, so when more work is due than the servers can
 * finish, a part of every group and of every step is worth nothing. No I/O. */
namespace lavender::scheduling {

struct open_group
{
  /** Items without a complete text, whether they run or wait. */
  int mOpenItems = 0;
  /** Items whose text is complete or in progress. */
  int mStartedItems = 0;
  /** Time for which the open items will still occupy a place, in sum. */
  std::chrono::duration<double> mWork{ 0 };
  /** Time that the longest open item still needs. */
  std::chrono::duration<double> mLongest{ 0 };
};

/** One batch of a trainer. */
struct open_step
{
  /** Time until its results must be complete; negative if that is over. */
  std::chrono::duration<double> mTimeLeft{ 0 };
  /** Number of complete groups that the trainer still waits for. */
  std::size_t mTargetGroups = 0;
  /** In the order of submission. */
  std::vector<open_group> mGroups;
};

/** Rank of each group of each step; items of lower ranks run first. */
using step_ranks = std::vector<std::vector<std::size_t>>;

/** @param aSteps steps that share the servers, oldest first
 * @param aPlaces number of runs that the servers hold at once */
step_ranks
RankSteps(const std::vector<open_step>& aSteps, int aPlaces);

} // namespace lavender::scheduling
