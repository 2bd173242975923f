#pragma once

#include "Libraries/Core/Clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/** Which item runs next, and on which model server: pure decisions. */
namespace lavender::batches {

/** A model server as the scheduler sees it. */
struct engine_view
{
  std::string mId;
  std::string mPool;
  std::string mAvailabilityZone;
  int mSlots = 1;
  /** Items that this entry runs there. */
  int mOwnRuns = 0;
  std::map<std::string, std::int64_t> mVersions;
  /** No new work until then: it refused or failed. */
  time_point mBlockedUntil;
  /** Makes events much more slowly than the others; taken last. */
  bool mIsSlow = false;
};

/** What an item asks of a server. */
struct item_requirements
{
  std::vector<std::string> mPools;
  std::string mModel;
  std::int64_t mMinimumVersion = 0;
  std::string mGroup;
  /** Server that the last run of the item failed on; taken only when no other
   * is free. */
  std::string mAvoided;
};

/** The wall clocks of the entry that accepted a batch and of the one that runs
 * it may differ by this much: each may be two seconds off, and the batch's age
 * is their difference. An item that is given up early breaks a promise; one
 * that is given up late costs a run. */
constexpr milliseconds kClockDifference{ 5000 };

/** How long an item of a batch of that age may still wait or run; zero or less
 * when it may be given up.
 * @param aMaximumQueueing time from the submission that its route names */
constexpr milliseconds
TimeUntilGivenUp(milliseconds aAge, milliseconds aMaximumQueueing)
{
  return aMaximumQueueing + kClockDifference - aAge;
}

/** Order of items: the less comes first. */
struct item_priority
{
  /** Batches in the order of their submission. */
  std::int64_t mSubmittedMs = 0;
  /** The longest first: a long run that starts late ends last and holds up
   * its group, and a step waits for its last groups. */
  std::int64_t mExpectedTokens = 0;

  bool operator<(const item_priority& aOther) const
  {
    if (mSubmittedMs != aOther.mSubmittedMs) {
      return mSubmittedMs < aOther.mSubmittedMs;
    }
    return mExpectedTokens > aOther.mExpectedTokens;
  }
};

/** Server that last ran an item of a group, as its prompt is in memory there.
 */
struct group_affinity
{
  std::string mServer;
  time_point mUsedAt;
};

using group_affinities = std::map<std::string, group_affinity>;

/** Groups whose last run began longer ago are forgotten. Their prompts have
 * yielded to others by then, and each step brings new groups: at 17 trainers
 * with 1,024 samples a step they would grow by gigabytes in a week. */
constexpr milliseconds kHomeKept{ 60000 };

void
ForgetOldHomes(group_affinities& aHomes, time_point aNow);

/** The least loaded server that may run the item; its group's home while that
 * isn't more loaded by more than a few runs. None when all are full. */
std::optional<std::size_t>
ChooseEngine(const std::vector<engine_view>& aEngines,
             const item_requirements& aNeed,
             const group_affinities& aHomes,
             time_point aNow);

} // namespace lavender::batches
