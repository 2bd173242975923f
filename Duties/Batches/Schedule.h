#pragma once

#include "Duties/Batches/RunLedger.h"
#include "Duties/Batches/WaitReason.h"
#include "Duties/Scheduling/MemoryFit.h"
#include "Libraries/Core/Clock.h"

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <vector>

/** Decides which item runs next and on which model server. No I/O. */
namespace lavender::batches {

/** A model server, as seen by the scheduler. */
struct engine_view
{
  std::string mId;
  /** As in server_start. */
  std::int64_t mStartedAt = 0;
  std::string mPool;
  std::string mAvailabilityZone;
  int mSlots = 1;
  /** Number of runs of this entry on the server. */
  int mOwnRuns = 0;
  /** Estimated number of runs of other entries on the server. */
  int mOtherRuns = 0;
  /** Place of the server among equal ones, the least first. Each entry has
   * another order: in the same one, the first runs of all entries would meet on
   * the same servers, which know nothing of each other yet. */
  std::uint64_t mTieBreak = 0;
  /** Number of idle connections to the server that new runs can use. */
  int mIdleConnections = 0;
  /** Number of runs that may be sent to the server now. */
  int mRunsLeft = std::numeric_limits<int>::max();
  /** The server has just started; chosen only if no warm one has room. */
  bool mIsWarming = false;
  std::map<std::string, std::int64_t> mVersions;
  /** The server gets no new run before this time, because it rejected or failed
   * one. */
  time_point mBlockedUntil;
  /** None of this entry's runs there has moved for longer than usual. */
  bool mIsSilent = false;
  /** Expected time of an event of a run, relative to the median server; 1 if
   * the server's speed isn't known. */
  double mRelativeTime = 1;
  /** Memory for runs, in tokens; 0 if unknown. */
  std::int64_t mMemoryTokens = 0;
  /** Memory of the runs of this entry on the server. */
  std::vector<scheduling::run_memory> mRunMemory;
  /** Runs of suspects of this entry on the server, without last runs. */
  int mSuspects = 0;
  int mLastRuns = 0;
};

/** Counts a suspect that is sent to the server. */
void
CountSuspect(engine_view& aEngine, suspicion aSuspicion);

/** Whether the server takes one more run now. */
bool
HasRoom(const engine_view& aEngine, time_point aNow);

/** What an item requires of a server. */
struct item_requirements
{
  std::vector<std::string> mPools;
  std::string mModel;
  std::int64_t mMinimumVersion = 0;
  std::string mGroup;
  /** Server on which the item's last run failed; chosen only if no other server
   * has room. */
  std::string mAvoidedServer;
  /** Whether the item may be processed in an availability zone; null if in all.
   */
  std::function<bool(const std::string& aZone)> mIsZoneAllowed;
  scheduling::run_memory mMemory;
  suspicion mSuspicion = suspicion::None;
  suspect_limits mSuspectLimits;
  /** Servers that ended or may have ended under the item. One that has started
   * again since is chosen only if no other server has room. */
  std::vector<site::server_start> mLostServers;
  /** Whether the item's batch may use each of the servers; null if all. */
  const std::vector<bool>* mListedEngines = nullptr;
};

/** Number of servers that may run the item, full ones included. */
std::size_t
CountSuitable(const std::vector<engine_view>& aEngines,
              const item_requirements& aNeed);

/** Maximum difference between the wall clocks of the entry that accepted a
 * batch and the entry that runs it: each may be off by two seconds, and a
 * batch's age is computed from both. Giving an item up early breaks the time
 * limit promised to the trainer; giving it up late only costs a run. */
constexpr milliseconds kMaximumClockDifference{ 5000 };

/** Time for which an item of a batch of the given age may still wait or run;
 * zero or negative if it may be given up.
 * @param aMaximumQueueing time limit of the item's route, counted from the
 * submission */
constexpr milliseconds
TimeUntilGivenUp(milliseconds aAge, milliseconds aMaximumQueueing)
{
  return aMaximumQueueing + kMaximumClockDifference - aAge;
}

/** Scheduling order of items; the lesser one runs first. */
struct item_priority
{
  /** Rank of the item's group among all open groups of the model. */
  std::size_t mGroupRank = 0;
  /** Among equal group ranks, older batches run first. */
  std::int64_t mSubmittedMs = 0;
  /** Long items run first: a long run that starts late ends last and delays its
   * group, and a step waits for its last groups. */
  std::int64_t mExpectedTokens = 0;

  bool operator<(const item_priority& aOther) const
  {
    if (mGroupRank != aOther.mGroupRank) {
      return mGroupRank < aOther.mGroupRank;
    }
    if (mSubmittedMs != aOther.mSubmittedMs) {
      return mSubmittedMs < aOther.mSubmittedMs;
    }
    return mExpectedTokens > aOther.mExpectedTokens;
  }
};

/** The server that last ran an item of a group. Its prefix cache holds the
 * group's prompt. */
struct group_affinity
{
  std::string mServer;
  time_point mUsedAt;
};

using group_affinities = std::map<std::string, group_affinity>;

/** Groups whose last run started longer ago are forgotten: other prompts have
 * displaced theirs from the prefix cache by then. Each step brings new groups,
 * so the map would grow by gigabytes in a week at 17 trainers with 1,024
 * samples per step. */
constexpr milliseconds kAffinityLifetime{ 60000 };

void
ExpireAffinities(group_affinities& aAffinities, time_point aNow);

/** Expected time of an event with the runs that are there now, relative to an
 * idle server of median speed. */
double
RelativeEventTime(const engine_view& aEngine);

/** Chooses the server on which the run is expected to end first, or the server
 * of the item's group if that is about as good. Of equal servers, one to which
 * a connection is open is chosen, since the run needn't wait for a new one,
 * then the first in this entry's own order. Servers whose memory the run would
 * exhaust are chosen only if no other has room, and so are servers where the
 * run would meet an item that may end them. None if all servers are full. */
std::optional<std::size_t>
ChooseEngine(const std::vector<engine_view>& aEngines,
             const item_requirements& aNeed,
             const group_affinities& aAffinities,
             time_point aNow);

/** Whether the item may run now on the server at this place. */
bool
MayRunOn(const std::vector<engine_view>& aEngines,
         std::size_t aEngine,
         const item_requirements& aNeed,
         time_point aNow);

/** Whether a run on the server is expected to end about as soon as on the best
 * one. */
bool
IsAboutAsGood(const engine_view& aEngine,
              const engine_view& aBest,
              const item_requirements& aNeed);

/** Whether other suspects alone keep the item from a server with room. */
bool
IsKeptApart(const std::vector<engine_view>& aEngines,
            const item_requirements& aNeed,
            time_point aNow);

/** What keeps the item from every server when ChooseEngine finds none. */
wait_reason
WhyNotPlaced(const std::vector<engine_view>& aEngines,
             const item_requirements& aNeed,
             time_point aNow);

} // namespace lavender::batches
