#include "Duties/Membership/Heartbeat.h"

namespace lavender::membership {

liveness
EvaluateHeartbeat(const heartbeat& aHeartbeat,
                  const heartbeat_limits& aLimits,
                  time_point aNow)
{
  if (!aHeartbeat.mLastResponseAt) {
    return liveness::Unknown;
  }
  const auto sinceLastAnswer = aNow - *aHeartbeat.mLastResponseAt;
  const bool hasFailed =
    aHeartbeat.mLastFailedPollAt &&
    *aHeartbeat.mLastFailedPollAt >= *aHeartbeat.mLastResponseAt;
  const auto limit =
    hasFailed ? aLimits.mTimeoutAfterFailedPoll : aLimits.mTimeout;
  return sinceLastAnswer <= limit ? liveness::Live : liveness::Unresponsive;
}

} // namespace lavender::membership
