#include "Duties/Membership/Heartbeat.h"

namespace lavender::membership {

liveness
JudgeHeartbeat(const heartbeat& aHeartbeat,
               const heartbeat_limits& aLimits,
               time_point aNow)
{
  if (!aHeartbeat.mLastResponseAt) {
    return liveness::Unknown;
  }
  const auto silence = aNow - *aHeartbeat.mLastResponseAt;
  const bool hasFailed =
    aHeartbeat.mLastFailedPollAt &&
    *aHeartbeat.mLastFailedPollAt >= *aHeartbeat.mLastResponseAt;
  const auto limit = hasFailed ? aLimits.mSilence : aLimits.mLongSilence;
  return silence <= limit ? liveness::Live : liveness::Silent;
}

} // namespace lavender::membership
