#include "Duties/Batches/EngineHealth.h"

#include <algorithm>
#include <vector>

namespace lavender::batches {

namespace {
/** Weight of the newest event; about the last twenty count. */
constexpr double kNewestWeight = 0.05;
/** Fewer events say nothing about a server's speed. */
constexpr int kEnoughEvents = 10;
constexpr double kSlowFactor = 2.0;
} // namespace

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

void
NoteEvent(engine_health& aHealth, milliseconds aSinceLast)
{
  const auto time = static_cast<double>(aSinceLast.count());
  const double weight = std::max(kNewestWeight, 1.0 / (aHealth.mEvents + 1));
  aHealth.mEventMilliseconds += weight * (time - aHealth.mEventMilliseconds);
  ++aHealth.mEvents;
}

double
UsualEventTime(const engine_healths& aHealths)
{
  std::vector<double> times;
  for (const auto& [id, health] : aHealths) {
    if (health.mEvents >= kEnoughEvents) {
      times.push_back(health.mEventMilliseconds);
    }
  }
  if (times.empty()) {
    return 0;
  }
  const auto middle = times.begin() + static_cast<long>((times.size() - 1) / 2);
  std::nth_element(times.begin(), middle, times.end());
  return *middle;
}

bool
IsSlow(const engine_health& aHealth, double aUsual)
{
  return aUsual > 0 && aHealth.mEvents >= kEnoughEvents &&
         aHealth.mEventMilliseconds > kSlowFactor * aUsual;
}

bool
MayUse(const engine_healths& aHealths,
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
