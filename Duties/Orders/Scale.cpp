#include "Duties/Orders/Scale.h"

#include "Libraries/Core/HasLasted.h"

#include <algorithm>

namespace lavender::orders {
namespace {

using namespace std::chrono_literals;

struct zone_load
{
  std::int64_t mServers = 0;
  std::int64_t mReporting = 0;
  double mRequests = 0;
  double mSlots = 0;
  milliseconds mQueueDelay{ 0 };
  /** The least loaded server, which is the next one to stop. */
  const server_load* mLeastLoaded = nullptr;
};

zone_load
SumLoads(const std::vector<server_load>& aServers)
{
  zone_load load;
  for (const auto& server : aServers) {
    if (server.mIsLeaving) {
      continue;
    }
    ++load.mServers;
    if (!server.mIsReporting) {
      continue;
    }
    ++load.mReporting;
    load.mRequests += server.mQueued + server.mRunning;
    load.mSlots += server.mSlots;
    load.mQueueDelay = std::max(load.mQueueDelay, server.mQueueDelay);
    const bool isLessLoaded =
      !load.mLeastLoaded ||
      server.mQueued + server.mRunning <
        load.mLeastLoaded->mQueued + load.mLeastLoaded->mRunning;
    load.mLeastLoaded = isLessLoaded ? &server : load.mLeastLoaded;
  }
  return load;
}

bool
IsBusy(const zone_load& aLoad, const scale_policy& aPolicy)
{
  return aLoad.mRequests > aPolicy.mHighUtilisation * aLoad.mSlots ||
         aLoad.mQueueDelay > aPolicy.mMaximumQueueDelay;
}

bool
IsIdle(const zone_load& aLoad, const scale_policy& aPolicy)
{
  return aLoad.mLeastLoaded && !IsBusy(aLoad, aPolicy) &&
         aLoad.mRequests < aPolicy.mLowUtilisation *
                             (aLoad.mSlots - aLoad.mLeastLoaded->mSlots);
}

scale_decision
MakeDecision(scale_state& aState,
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
  const auto load = SumLoads(aServers);
  const bool isBusyLongEnough = HasLasted(
    aState.mBusySince, IsBusy(load, aPolicy), aPolicy.mScaleUpDelay, aNow);
  const bool isIdleLongEnough = HasLasted(
    aState.mIdleSince, IsIdle(load, aPolicy), aPolicy.mScaleDownDelay, aNow);
  if (aState.mChangedAt &&
      aNow - *aState.mChangedAt < aPolicy.mStartupDuration) {
    return {};
  }
  if (load.mServers < aPolicy.mMinimum) {
    return MakeDecision(aState, aNow, scale_action::Start, "", "below_minimum");
  }
  if (load.mReporting * 2 < load.mServers) {
    // Most agents don't report, so the load is unknown and may not be low.
    return {};
  }
  if (load.mServers > aPolicy.mMaximum && load.mLeastLoaded) {
    return MakeDecision(aState,
                        aNow,
                        scale_action::Stop,
                        load.mLeastLoaded->mName,
                        "above_maximum");
  }
  if (isBusyLongEnough && load.mServers < aPolicy.mMaximum) {
    return MakeDecision(aState, aNow, scale_action::Start, "", "busy");
  }
  if (isIdleLongEnough &&
      load.mServers > std::max<std::int64_t>(1, aPolicy.mMinimum)) {
    return MakeDecision(
      aState, aNow, scale_action::Stop, load.mLeastLoaded->mName, "idle");
  }
  return {};
}

} // namespace lavender::orders
