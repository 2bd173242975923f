#include "Duties/Batches/Schedule.h"

#include "Libraries/Core/Mechanisms.h"

#include <algorithm>

namespace lavender::batches {

namespace {

/** A group stays on its server while that has at most this many runs more
 * than the least loaded one. Reading a prompt of 1,000 tokens again takes
 * about 2 ms, one more run slows the others by a thirtieth, so only a small
 * difference in load is worth it. */
constexpr int kHomeSlack = 2;

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
ForgetOldHomes(group_affinities& aHomes, time_point aNow)
{
  for (auto home = aHomes.begin(); home != aHomes.end();) {
    home = aNow - home->second.mUsedAt > kHomeKept ? aHomes.erase(home)
                                                   : std::next(home);
  }
}

std::optional<std::size_t>
ChooseEngine(const std::vector<engine_view>& aEngines,
             const item_requirements& aNeed,
             const group_affinities& aHomes,
             time_point aNow)
{
  const auto isBetter = [&](const engine_view& aLeft,
                            const engine_view& aRight) {
    return aLeft.mIsSlow != aRight.mIsSlow ? aRight.mIsSlow
                                           : aLeft.mOwnRuns < aRight.mOwnRuns;
  };
  std::optional<std::size_t> best;
  std::optional<std::size_t> home;
  std::optional<std::size_t> avoided;
  const auto homeName = aHomes.find(aNeed.mGroup);
  for (std::size_t i = 0; i < aEngines.size(); ++i) {
    const auto& engine = aEngines[i];
    if (!MayRun(engine, aNeed, aNow)) {
      continue;
    }
    if (engine.mId == aNeed.mAvoided) {
      avoided = i;
      continue;
    }
    if (homeName != aHomes.end() && homeName->second.mServer == engine.mId) {
      home = i;
    }
    if (!best || isBetter(engine, aEngines[*best])) {
      best = i;
    }
  }
  if (home && IsOn(mechanism::GroupHomes) &&
      aEngines[*home].mIsSlow == aEngines[*best].mIsSlow &&
      aEngines[*home].mOwnRuns <= aEngines[*best].mOwnRuns + kHomeSlack) {
    return home;
  }
  return best ? best : avoided;
}

} // namespace lavender::batches
