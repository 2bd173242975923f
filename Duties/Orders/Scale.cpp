#include "Duties/Orders/Scale.h"

#include "Libraries/Core/HasLasted.h"

#include <algorithm>

namespace lavender::orders {
namespace {

using namespace std::chrono_literals;

struct zone_load
{
  std::int64_t mServers = 0;
  std::int64_t mHeard = 0;
  double mWork = 0;
  double mSlots = 0;
  milliseconds mQueueDelay{ 0 };
  /** Least loaded server that may be stopped. */
  const server_load* mIdlest = nullptr;
};

zone_load
Sum(const std::vector<server_load>& aServers)
{
  zone_load load;
  for (const auto& server : aServers) {
    if (server.mIsLeaving) {
      continue;
    }
    ++load.mServers;
    if (!server.mIsHeard) {
      continue;
    }
    ++load.mHeard;
    load.mWork += server.mQueued + server.mRunning;
    load.mSlots += server.mSlots;
    load.mQueueDelay = std::max(load.mQueueDelay, server.mQueueDelay);
    const bool isIdler =
      !load.mIdlest || server.mQueued + server.mRunning <
                         load.mIdlest->mQueued + load.mIdlest->mRunning;
    load.mIdlest = isIdler ? &server : load.mIdlest;
  }
  return load;
}

bool
IsBusy(const zone_load& aLoad, const scale_policy& aPolicy)
{
  return aLoad.mWork > aPolicy.mHighUse * aLoad.mSlots ||
         aLoad.mQueueDelay > aPolicy.mLongQueueDelay;
}

bool
IsIdle(const zone_load& aLoad, const scale_policy& aPolicy)
{
  return aLoad.mIdlest && !IsBusy(aLoad, aPolicy) &&
         aLoad.mWork <
           aPolicy.mLowUtilisation * (aLoad.mSlots - aLoad.mIdlest->mSlots);
}

scale_decision
Change(scale_state& aState,
       time_point aNow,
       scale_action aAction,
       std::string aServer,
       std::string aReason)
{
  aState.mChangedAt = aNow;
  aState.mBusySince.reset();
  aState.mIdleSince.reset();
  return { aAction, std::move(aServer), std::move(aReason) };
}

} // namespace

scale_decision
DecideScale(scale_state& aState,
            const scale_policy& aPolicy,
            const std::vector<server_load>& aServers,
            time_point aNow)
{
  if (aPolicy.mMaximum <= 0) {
    return {};
  }
  const auto load = Sum(aServers);
  const bool isBusyLong =
    HasLasted(aState.mBusySince, IsBusy(load, aPolicy), aPolicy.mBusyFor, aNow);
  const bool isIdleLong = HasLasted(
    aState.mIdleSince, IsIdle(load, aPolicy), aPolicy.mScaleDownDelay, aNow);
  if (aState.mChangedAt &&
      aNow - *aState.mChangedAt < aPolicy.mStartupDuration) {
    return {};
  }
  if (load.mServers < aPolicy.mMinimum) {
    return Change(aState, aNow, scale_action::Start, "", "below_minimum");
  }
  if (load.mHeard * 2 < load.mServers) {
    // Most agents are silent: the load is unknown, not low.
    return {};
  }
  if (load.mServers > aPolicy.mMaximum && load.mIdlest) {
    return Change(
      aState, aNow, scale_action::Stop, load.mIdlest->mName, "above_maximum");
  }
  if (isBusyLong && load.mServers < aPolicy.mMaximum) {
    return Change(aState, aNow, scale_action::Start, "", "busy");
  }
  if (isIdleLong &&
      load.mServers > std::max<std::int64_t>(1, aPolicy.mMinimum)) {
    return Change(
      aState, aNow, scale_action::Stop, load.mIdlest->mName, "idle");
  }
  return {};
}

} // namespace lavender::orders
