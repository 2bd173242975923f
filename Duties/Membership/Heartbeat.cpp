#include "Duties/Membership/Heartbeat.h"

namespace lavender::membership {

liveness
JudgeHeartbeat(const heartbeat& aHeartbeat,
               const heartbeat_limits& aLimits,
               time_point aNow)
{
  if (!aHeartbeat.mHeardAt) {
    return liveness::Unknown;
  }
  const auto silence = aNow - *aHeartbeat.mHeardAt;
  const bool hasFailed =
    aHeartbeat.mFailedAt && *aHeartbeat.mFailedAt >= *aHeartbeat.mHeardAt;
  const auto limit = hasFailed ? aLimits.mSilence : aLimits.mLongSilence;
  return silence <= limit ? liveness::Live : liveness::Silent;
}

} // namespace lavender::membership
