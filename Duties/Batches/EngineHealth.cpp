#include "Duties/Batches/EngineHealth.h"

#include <algorithm>

namespace lavender::batches {

routing::breaker_limits
RunBreakerLimits()
{
  routing::breaker_limits limits;
  limits.mMinimumAttempts = 4;
  limits.mFailureRatio = 0.25;
  limits.mInitialPause = milliseconds(1000);
  limits.mMaximumPause = milliseconds(8000);
  return limits;
}

bool
IsUsable(const engine_healths& aHealths,
         const std::string& aServer,
         std::size_t aServers,
         time_point aNow)
{
  const auto health = aHealths.find(aServer);
  if (health == aHealths.end() ||
      routing::AllowsRequest(health->second.mBreaker, aNow)) {
    return true;
  }
  const auto refused = static_cast<std::size_t>(
    std::count_if(aHealths.begin(), aHealths.end(), [&](const auto& aEntry) {
      return !routing::AllowsRequest(aEntry.second.mBreaker, aNow);
    }));
  return refused * 2 > aServers;
}

} // namespace lavender::batches
