#include "Duties/Scheduling/ServerSpeed.h"

#include <algorithm>
#include <cmath>

namespace lavender::scheduling {

namespace {

/** Time over which a server's events are averaged: longer than a machine is
 * slow because of others, and short enough to notice a server that has become
 * slow while a step is due. */
constexpr event_time kAveragingTime{ 2000 };
/** Minimum number of events for an estimate of a server's speed. */
constexpr int kMinimumEvents = 10;
/** For how long a told slowdown describes the server's machine. */
constexpr milliseconds kSlowdownLifetime{ 300 };
/** Bounds of a slowdown that a server can mean. */
constexpr double kMinimumSlowdown = 0.1;
constexpr double kMaximumSlowdown = 100;
/** Speeds within this ratio of the median count as equal. */
constexpr double kClearDifference = 1.15;

} // namespace

void
RecordEventTime(server_speed& aSpeed,
                event_time aSinceLast,
                int aParallelRuns,
                time_point aNow)
{
  const bool isSlowdownFresh =
    aNow - aSpeed.mSlowdownSeenAt <= kSlowdownLifetime;
  const auto usual = aSinceLast / (isSlowdownFresh ? aSpeed.mSlowdown : 1.0);
  const double weight =
    1 - std::exp(-aSinceLast / (kAveragingTime * std::max(aParallelRuns, 1)));
  const double share = std::max(weight, 1.0 / (aSpeed.mEvents + 1));
  aSpeed.mEventTime += share * (usual - aSpeed.mEventTime);
  ++aSpeed.mEvents;
}

bool
RecordSlowdown(server_speed& aSpeed, double aSlowdown, time_point aNow)
{
  // Also false if the figure is no number.
  if (!(aSlowdown >= kMinimumSlowdown && aSlowdown <= kMaximumSlowdown)) {
    return false;
  }
  aSpeed.mSlowdown = aSlowdown;
  aSpeed.mSlowdownSeenAt = aNow;
  return true;
}

std::optional<event_time>
ExpectedEventTime(const server_speed& aSpeed)
{
  const bool isKnown =
    aSpeed.mEventTime > event_time(0) &&
    (aSpeed.mEvents == 0 || aSpeed.mEvents >= kMinimumEvents);
  return isKnown ? std::optional(aSpeed.mEventTime) : std::nullopt;
}

std::optional<event_time>
MedianEventTime(const server_speeds& aSpeeds)
{
  std::vector<event_time> times;
  for (const auto& [id, speed] : aSpeeds) {
    if (const auto time = ExpectedEventTime(speed)) {
      times.push_back(*time);
    }
  }
  if (times.empty()) {
    return std::nullopt;
  }
  const auto middle = times.begin() + static_cast<long>((times.size() - 1) / 2);
  std::nth_element(times.begin(), middle, times.end());
  return *middle;
}

double
RelativeTime(std::optional<event_time> aEventTime, event_time aMedian)
{
  if (!aEventTime || aMedian <= event_time(0)) {
    return 1;
  }
  const double ratio = *aEventTime / aMedian;
  return std::max(ratio, 1 / ratio) > kClearDifference ? ratio : 1;
}

std::vector<told_speed>
SpeedsToTell(const server_speeds& aSpeeds)
{
  std::vector<told_speed> told;
  const auto median = MedianEventTime(aSpeeds);
  for (const auto& [id, speed] : aSpeeds) {
    const auto time = ExpectedEventTime(speed);
    if (time && speed.mEvents > 0 && RelativeTime(time, *median) != 1) {
      told.push_back({ id, *time });
    }
  }
  return told;
}

void
ApplyToldSpeeds(server_speeds& aSpeeds,
                const std::vector<told_speed>& aTold,
                time_point)
{
  for (const auto& told : aTold) {
    auto& speed = aSpeeds[told.mServer];
    if (speed.mEvents == 0 && told.mEventTime > event_time(0)) {
      speed.mEventTime = told.mEventTime;
    }
  }
}

} // namespace lavender::scheduling
