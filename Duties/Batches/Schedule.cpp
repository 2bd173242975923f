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
/** Share by which one more run on a server slows the others. */
constexpr double kSlowdownPerRun = 1.0 / 30;

int
Runs(const engine_view& aEngine)
{
  return aEngine.mOwnRuns + aEngine.mOtherRuns;
}

/** Servers of the same rank differ only in speed and load; lower ranks are
 * better. */
int
Rank(const engine_view& aEngine, const item_requirements& aNeed)
{
  const bool fits = !IsOn(mechanism::MemoryFit) ||
                    scheduling::FitsInMemory(
                      aEngine.mRunMemory, aNeed.mMemory, aEngine.mMemoryTokens);
  return (aEngine.mIsWarming ? 2 : 0) + (fits ? 0 : 1);
}

bool
MayRun(const engine_view& aEngine,
       const item_requirements& aNeed,
       time_point aNow)
{
  const auto version = aEngine.mVersions.find(aNeed.mModel);
  const bool hasModel =
    aNeed.mModel.empty() || (version != aEngine.mVersions.end() &&
                             version->second >= aNeed.mMinimumVersion);
  return hasModel && aEngine.mRunsLeft > 0 && Runs(aEngine) < aEngine.mSlots &&
         aNow >= aEngine.mBlockedUntil &&
         (!aNeed.mIsZoneAllowed ||
          aNeed.mIsZoneAllowed(aEngine.mAvailabilityZone)) &&
         std::find(aNeed.mPools.begin(), aNeed.mPools.end(), aEngine.mPool) !=
           aNeed.mPools.end();
}

} // namespace

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
  const auto key = [&](const engine_view& aEngine) {
    return std::tuple(Rank(aEngine, aNeed),
                      RelativeEventTime(aEngine),
                      aEngine.mIdleConnections > 0 ? 0 : 1,
                      aEngine.mTieBreak);
  };
  std::tuple<int, double, int, std::uint64_t> bestKey;
  std::optional<std::size_t> best;
  std::optional<std::size_t> preferred;
  std::optional<std::size_t> avoided;
  const auto affinity = aAffinities.find(aNeed.mGroup);
  for (std::size_t i = 0; i < aEngines.size(); ++i) {
    const auto& engine = aEngines[i];
    if (!MayRun(engine, aNeed, aNow)) {
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
  if (preferred && IsOn(mechanism::GroupHomes) &&
      Rank(aEngines[*preferred], aNeed) == Rank(aEngines[*best], aNeed) &&
      RelativeEventTime(aEngines[*preferred]) <
        RelativeEventTime(aEngines[*best]) + (kAffinitySlack + 0.5) *
                                               kSlowdownPerRun *
                                               aEngines[*best].mRelativeTime) {
    return preferred;
  }
  return best ? best : avoided;
}

} // namespace lavender::batches
