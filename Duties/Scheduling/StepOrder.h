#pragma once

#include "Libraries/Core/Clock.h"

#include <cstddef>
#include <vector>

/** Decides which groups of which steps run first. A trainer uses complete
 * groups only and in time only, so when more work is due than the servers can
 * finish, a part of every group and of every step is worth nothing. No I/O. */
namespace lavender::scheduling {

/** In the order in which groups run. */
enum class group_standing
{
  /** Wanted, and can be complete in time. */
  InTime,
  /** Wanted and short enough, but other groups need the places until then. */
  NoRoom,
  /** In time, but the trainer waits for others that are further on. */
  Surplus,
  /** Can't be complete in time. */
  Late,
  /** No item is open. */
  Complete
};

struct open_group
{
  /** Items without a complete text, whether they run or wait. */
  int mOpenItems = 0;
  /** Time for which the open items will still occupy a place, in sum. */
  std::chrono::duration<double> mWork{ 0 };
  /** Time that the longest open item still needs; if that is uncertain, the
   * least that it may need. */
  std::chrono::duration<double> mLongest{ 0 };
  /** The result of the last decision; Complete if there is none. A group that
   * wasn't in time returns only if it fits clearly, so that estimates that vary
   * don't move it to and fro. */
  group_standing mLastStanding = group_standing::Complete;
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

struct ranked_group
{
  /** Items of lower ranks run first; those that share a rank compete by the
   * length of their items. */
  std::size_t mRank = 0;
  group_standing mStanding = group_standing::Complete;
};

/** By step and group. */
using step_ranks = std::vector<std::vector<ranked_group>>;

/** Time after which an overdue step is taken to belong to a trainer that waits
 * as long as it takes. Trainers that are bound by the due time end their batch
 * well before. */
constexpr std::chrono::seconds kPatientAfter{ 10 };

/** Part of the places until its due time that is kept for the step that is due
 * first. */
constexpr double kProtectedShare = 0.25;

/** Ranks groups so that most of them are complete in time.
 *
 * Groups that can be in time run first, those of the step that is due first
 * before the others. If there isn't room for all, the groups with the most work
 * are deferred, whatever step they belong to.
 * Groups of one step share a rank as long as they are in time in any order of
 * their items. Beyond that, groups that share a rank may be late together, so
 * a step of which groups are deferred gets the others one by one. The groups of
 * a step that is tight but whole share a rank, except for the last eighth of
 * the room, because work is an estimate.
 * Where there is room for all groups of a step, those submitted first are the
 * ones that the trainer waits for: a trainer submits its most important groups
 * first.
 * All figures are places and times,
 * so a group's service doesn't depend on the number of items that its work is
 * cut into.
 *
 * No step starves: of the step that is due first, groups that need up to a
 * quarter of the room until then aren't deferred, and at least one isn't if it
 * can be in time at all. Each step becomes the first one before it is due, so a
 * trainer whose groups are always the largest still gets some in each step. A
 * share is kept rather than a deficit because each step ends with its due time,
 * when what it lacks can no longer be made up for. A trainer that waits for
 * longer (kPatientAfter) gets its groups one after another before all others,
 * so that a constant flow of steps with short groups doesn't hold them back.
 * @param aSteps steps that share the servers, oldest first
 * @param aPlaces number of runs that the servers hold at once */
step_ranks
RankSteps(const std::vector<open_step>& aSteps, int aPlaces);

} // namespace lavender::scheduling
