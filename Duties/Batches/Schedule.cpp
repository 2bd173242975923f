#include "Duties/Batches/Schedule.h"

#include "Libraries/Core/Mechanisms.h"

#include <algorithm>

namespace lavender::batches {

namespace {

/** A group stays on its server while that server has at most this many runs
 * more than the least loaded one. Processing a prompt of 1,000 tokens again
 * takes about 2 ms, and one more run slows the others on a server by a
 * thirtieth, so only a small difference in load is worth it. */
constexpr int kAffinitySlack = 2;

bool
MayRun(const engine_view& aEngine,
       const item_requirements& aNeed,
       time_point aNow)
{
  const auto version = aEngine.mVersions.find(aNeed.mModel);
  const bool hasModel =
    aNeed.mModel.empty() || (version != aEngine.mVersions.end() &&
                             version->second >= aNeed.mMinimumVersion);
  return hasModel && aEngine.mOwnRuns < aEngine.mSlots &&
         aNow >= aEngine.mBlockedUntil &&
         std::find(aNeed.mPools.begin(), aNeed.mPools.end(), aEngine.mPool) !=
           aNeed.mPools.end();
}

} // namespace

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
  const auto isBetter = [&](const engine_view& aLeft,
                            const engine_view& aRight) {
    return aLeft.mIsSlow != aRight.mIsSlow ? aRight.mIsSlow
                                           : aLeft.mOwnRuns < aRight.mOwnRuns;
  };
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
    if (!best || isBetter(engine, aEngines[*best])) {
      best = i;
    }
  }
  if (preferred && IsOn(mechanism::GroupHomes) &&
      aEngines[*preferred].mIsSlow == aEngines[*best].mIsSlow &&
      aEngines[*preferred].mOwnRuns <=
        aEngines[*best].mOwnRuns + kAffinitySlack) {
    return preferred;
  }
  return best ? best : avoided;
}

} // namespace lavender::batches
