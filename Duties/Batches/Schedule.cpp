#include "Duties/Batches/Schedule.h"

#include "Libraries/Core/Mechanisms.h"

#include <algorithm>
#include <tuple>

namespace lavender::batches {

namespace {

/** A group stays on its server while that server has at most this many runs
 * more than the least loaded one. Processing a prompt of 1,000 tokens again
 * takes about 2 ms, and one more run slows the others on a server by a
 * thirtieth, so only a small difference in load is worth it. */
constexpr int kAffinitySlack = 2;
/** A planned server may be slower by this share: another one has to be stored
 * first, which delays the run by some ms. */
constexpr double kPlannedSlack = 0.05;
/** Share by which one more run on a server slows the others. */
constexpr double kSlowdownPerRun = 1.0 / 30;

int
Runs(const engine_view& aEngine)
{
  return aEngine.mOwnRuns + aEngine.mOtherRuns;
}

/** Whether the server gets no run now, however many it has. */
bool
IsPaused(const engine_view& aEngine, time_point aNow)
{
  return aEngine.mIsSilent || aEngine.mRunsLeft <= 0 ||
         aNow < aEngine.mBlockedUntil;
}

/** Whether the run would end together with an item that may end its server, or
 * take suspects with it. */
bool
MeetsSuspect(const engine_view& aEngine, const item_requirements& aNeed)
{
  return aNeed.mSuspicion == suspicion::LastRun ? aEngine.mSuspects > 0
                                                : aEngine.mLastRuns > 0;
}

bool
IsWithinLimits(const engine_view& aEngine, const item_requirements& aNeed)
{
  switch (aNeed.mSuspicion) {
    case suspicion::None:
      return true;
    case suspicion::Suspect:
      return aEngine.mSuspects < aNeed.mSuspectLimits.mSuspects;
    case suspicion::LastRun:
      return aEngine.mLastRuns < aNeed.mSuspectLimits.mLastRuns;
    case suspicion::Barred:
      return false;
  }
  return false;
}

/** Whether this start of the server ended or may have ended under the item. */
bool
HasEndedUnderIt(const engine_view& aEngine, const item_requirements& aNeed)
{
  const site::server_start start{ aEngine.mId, aEngine.mStartedAt };
  return std::find(aNeed.mLostServers.begin(),
                   aNeed.mLostServers.end(),
                   start) != aNeed.mLostServers.end();
}

/** Whether an earlier start of the server ended or may have ended under the
 * item. */
bool
HasStartedAgain(const engine_view& aEngine, const item_requirements& aNeed)
{
  return std::any_of(
    aNeed.mLostServers.begin(),
    aNeed.mLostServers.end(),
    [&](const auto& aServer) { return aServer.mId == aEngine.mId; });
}

/** Servers of the same rank differ only in speed and load; lower ranks are
 * better. */
int
Rank(const engine_view& aEngine, const item_requirements& aNeed)
{
  const bool fits = !IsOn(mechanism::MemoryFit) ||
                    scheduling::FitsInMemory(
                      aEngine.mRunMemory, aNeed.mMemory, aEngine.mMemoryTokens);
  return (HasStartedAgain(aEngine, aNeed) ? 8 : 0) +
         (MeetsSuspect(aEngine, aNeed) ? 4 : 0) + (aEngine.mIsWarming ? 2 : 0) +
         (fits ? 0 : 1);
}

bool
Contains(const std::vector<std::string>& aNames, const std::string& aName)
{
  return std::find(aNames.begin(), aNames.end(), aName) != aNames.end();
}

bool
IsInZone(const engine_view& aEngine, const item_requirements& aNeed)
{
  return !aNeed.mIsZoneAllowed ||
         aNeed.mIsZoneAllowed(aEngine.mAvailabilityZone);
}

bool
HasVersion(const engine_view& aEngine, const item_requirements& aNeed)
{
  const auto version = aEngine.mVersions.find(aNeed.mModel);
  return aNeed.mModel.empty() || (version != aEngine.mVersions.end() &&
                                  version->second >= aNeed.mMinimumVersion);
}

/** Whether the item may run on the server at some time. */
bool
IsSuitable(const engine_view& aEngine, const item_requirements& aNeed)
{
  return HasVersion(aEngine, aNeed) && Contains(aNeed.mPools, aEngine.mPool) &&
         !HasEndedUnderIt(aEngine, aNeed) && IsInZone(aEngine, aNeed);
}

/** Whether the item's batch may use the server at this place. */
bool
IsListed(const item_requirements& aNeed, std::size_t aEngine)
{
  return !aNeed.mListedEngines || aNeed.mListedEngines->at(aEngine);
}

bool
MayRun(const engine_view& aEngine,
       const item_requirements& aNeed,
       time_point aNow)
{
  return HasRoom(aEngine, aNow) && IsWithinLimits(aEngine, aNeed) &&
         IsSuitable(aEngine, aNeed);
}

/** The first condition that the server doesn't meet, in the order of
 * wait_reason. */
wait_reason
FirstFailed(const engine_view& aEngine,
            bool aIsListed,
            const item_requirements& aNeed,
            time_point aNow)
{
  if (!Contains(aNeed.mPools, aEngine.mPool)) {
    return wait_reason::NoServer;
  }
  if (!IsInZone(aEngine, aNeed)) {
    return wait_reason::NoZone;
  }
  if (!HasVersion(aEngine, aNeed)) {
    return wait_reason::NoVersion;
  }
  if (HasEndedUnderIt(aEngine, aNeed)) {
    return wait_reason::NoOtherServer;
  }
  if (!aIsListed) {
    return wait_reason::NotListed;
  }
  if (!IsWithinLimits(aEngine, aNeed)) {
    return wait_reason::SuspectsApart;
  }
  return IsPaused(aEngine, aNow) ? wait_reason::ServerPaused
                                 : wait_reason::NoRoom;
}

} // namespace

void
CountSuspect(engine_view& aEngine, suspicion aSuspicion)
{
  ++(aSuspicion == suspicion::LastRun ? aEngine.mLastRuns : aEngine.mSuspects);
}

std::size_t
CountSuitable(const std::vector<engine_view>& aEngines,
              const item_requirements& aNeed)
{
  return static_cast<std::size_t>(
    std::count_if(aEngines.begin(), aEngines.end(), [&](const auto& aEngine) {
      return IsSuitable(aEngine, aNeed);
    }));
}

bool
HasRoom(const engine_view& aEngine, time_point aNow)
{
  return !IsPaused(aEngine, aNow) && Runs(aEngine) < aEngine.mSlots;
}

double
RelativeEventTime(const engine_view& aEngine)
{
  return aEngine.mRelativeTime * (1 + kSlowdownPerRun * Runs(aEngine));
}

void
ExpireAffinities(group_affinities& aAffinities, time_point aNow)
{
  for (auto affinity = aAffinities.begin(); affinity != aAffinities.end();) {
    affinity = aNow - affinity->second.mUsedAt > kAffinityLifetime
                 ? aAffinities.erase(affinity)
                 : std::next(affinity);
  }
}

std::optional<std::size_t>
ChooseEngine(const std::vector<engine_view>& aEngines,
             const item_requirements& aNeed,
             const group_affinities& aAffinities,
             time_point aNow)
{
  // A server that ends takes the runs beside a suspect with it.
  const bool isSuspect = aNeed.mSuspicion != suspicion::None;
  const auto key = [&](const engine_view& aEngine) {
    return std::tuple(Rank(aEngine, aNeed),
                      isSuspect ? Runs(aEngine) : 0,
                      RelativeEventTime(aEngine),
                      aEngine.mIdleConnections > 0 ? 0 : 1,
                      aEngine.mTieBreak);
  };
  std::tuple<int, int, double, int, std::uint64_t> bestKey;
  std::optional<std::size_t> best;
  std::optional<std::size_t> preferred;
  std::optional<std::size_t> avoided;
  const auto affinity = aAffinities.find(aNeed.mGroup);
  for (std::size_t i = 0; i < aEngines.size(); ++i) {
    const auto& engine = aEngines[i];
    if (!IsListed(aNeed, i) || !MayRun(engine, aNeed, aNow)) {
      continue;
    }
    if (engine.mId == aNeed.mAvoidedServer) {
      avoided = i;
      continue;
    }
    if (affinity != aAffinities.end() &&
        affinity->second.mServer == engine.mId) {
      preferred = i;
    }
    const auto engineKey = key(engine);
    if (!best || engineKey < bestKey) {
      bestKey = engineKey;
      best = i;
    }
  }
  if (preferred && !isSuspect && IsOn(mechanism::GroupHomes) &&
      Rank(aEngines[*preferred], aNeed) == Rank(aEngines[*best], aNeed) &&
      RelativeEventTime(aEngines[*preferred]) <
        RelativeEventTime(aEngines[*best]) + (kAffinitySlack + 0.5) *
                                               kSlowdownPerRun *
                                               aEngines[*best].mRelativeTime) {
    return preferred;
  }
  return best ? best : avoided;
}

bool
MayRunOn(const std::vector<engine_view>& aEngines,
         std::size_t aEngine,
         const item_requirements& aNeed,
         time_point aNow)
{
  const auto& engine = aEngines[aEngine];
  return IsListed(aNeed, aEngine) && MayRun(engine, aNeed, aNow) &&
         engine.mId != aNeed.mAvoidedServer;
}

bool
IsAboutAsGood(const engine_view& aEngine,
              const engine_view& aBest,
              const item_requirements& aNeed)
{
  return Rank(aEngine, aNeed) <= Rank(aBest, aNeed) &&
         RelativeEventTime(aEngine) <=
           RelativeEventTime(aBest) * (1 + kPlannedSlack);
}

bool
IsKeptApart(const std::vector<engine_view>& aEngines,
            const item_requirements& aNeed,
            time_point aNow)
{
  for (std::size_t i = 0; i < aEngines.size(); ++i) {
    const auto& engine = aEngines[i];
    if (IsListed(aNeed, i) && HasRoom(engine, aNow) &&
        IsSuitable(engine, aNeed) && !IsWithinLimits(engine, aNeed)) {
      return true;
    }
  }
  return false;
}

wait_reason
WhyNotPlaced(const std::vector<engine_view>& aEngines,
             const item_requirements& aNeed,
             time_point aNow)
{
  auto nearest = wait_reason::NoServer;
  for (std::size_t i = 0; i < aEngines.size(); ++i) {
    nearest = std::max(
      nearest, FirstFailed(aEngines[i], IsListed(aNeed, i), aNeed, aNow));
  }
  return nearest;
}

} // namespace lavender::batches
