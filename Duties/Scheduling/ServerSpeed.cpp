#include "Duties/Scheduling/ServerSpeed.h"

#include "Duties/Site/ServerLoads.h"

#include <algorithm>
#include <limits>

namespace lavender::scheduling {

namespace {

/** Time over which a server's events are averaged. A machine that others use
 * is slow for less than half of it; a server that has become slow is noticed
 * after half of it, while a step is due. */
constexpr event_time kAveragingTime{ 2000 };
/** Long enough for several events, so that events that arrive together with the
 * next ones don't count as fast. */
constexpr event_time kIntervalTime{ 100 };
/** Minimum number of events for an estimate of a server's speed. */
constexpr int kMinimumEvents = 10;
/** Longest time between two events that a server can mean; a run that takes
 * longer is waiting. */
constexpr event_time kMaximumEventTime{ 60000 };
/** Speeds within this ratio of the median count as equal. */
constexpr double kClearDifference = 1.15;

bool
IsSlowdown(double aSlowdown)
{
  return std::max(aSlowdown, 1 / aSlowdown) > kClearDifference;
}

bool
IsFresh(const server_speed& aSpeed, time_point aNow)
{
  return aNow - aSpeed.mSlowdownSeenAt <= site::kSlowdownLifetime;
}

/** Factor by which the machine's events take longer for the moment. */
double
MomentarySlowdown(const server_speed& aSpeed, time_point aNow)
{
  const bool isMoment = aNow - aSpeed.mSlowSince <= kAveragingTime;
  return IsFresh(aSpeed, aNow) && isMoment ? aSpeed.mSlowdown : 1.0;
}

void
RemoveOldIntervals(std::vector<speed_interval>& aIntervals)
{
  event_time covered{ 0 };
  auto first = aIntervals.end();
  while (first != aIntervals.begin() && covered < kAveragingTime) {
    covered += (--first)->mCovered;
  }
  aIntervals.erase(aIntervals.begin(), first);
}

/** Median of the intervals' mean event times, weighted by the time they cover.
 */
event_time
MedianOf(const std::vector<speed_interval>& aIntervals)
{
  std::vector<std::pair<event_time, event_time>> means;
  event_time covered{ 0 };
  for (const auto& interval : aIntervals) {
    means.emplace_back(interval.mUsualSum / interval.mEvents,
                       interval.mCovered);
    covered += interval.mCovered;
  }
  std::sort(means.begin(), means.end());
  auto median = means.begin();
  for (event_time below = median->second; below < covered / 2;) {
    below += (++median)->second;
  }
  return median->first;
}

} // namespace

bool
IsPossible(event_time aTime)
{
  return aTime > event_time(0) && aTime <= kMaximumEventTime;
}

void
RecordEventTime(server_speed& aSpeed,
                event_time aSinceLast,
                int aParallelRuns,
                time_point aNow)
{
  if (!IsPossible(aSinceLast)) {
    return;
  }
  auto& intervals = aSpeed.mIntervals;
  if (intervals.empty() || intervals.back().mCovered >= kIntervalTime) {
    RemoveOldIntervals(intervals);
    intervals.emplace_back();
  }
  auto& interval = intervals.back();
  interval.mCovered += aSinceLast / std::max(aParallelRuns, 1);
  interval.mUsualSum += aSinceLast / MomentarySlowdown(aSpeed, aNow);
  ++interval.mEvents;
  aSpeed.mEvents += aSpeed.mEvents < std::numeric_limits<int>::max() ? 1 : 0;
  if (aSpeed.mEvents >= kMinimumEvents) {
    aSpeed.mEventTime = MedianOf(intervals);
  }
}

bool
RecordSlowdown(server_speed& aSpeed, double aSlowdown, time_point aNow)
{
  if (!site::IsPossibleSlowdown(aSlowdown)) {
    return false;
  }
  const bool goesOn = IsFresh(aSpeed, aNow) && IsSlowdown(aSpeed.mSlowdown);
  if (!goesOn) {
    aSpeed.mSlowSince = aNow;
  }
  aSpeed.mSlowdown = aSlowdown;
  aSpeed.mSlowdownSeenAt = aNow;
  return true;
}

std::optional<event_time>
ExpectedEventTime(const server_speed& aSpeed)
{
  return aSpeed.mEventTime > event_time(0) ? std::optional(aSpeed.mEventTime)
                                           : std::nullopt;
}

std::optional<event_time>
MedianEventTime(const server_speeds& aSpeeds)
{
  std::vector<event_time> times;
  for (const auto& [id, speed] : aSpeeds) {
    const auto time = ExpectedEventTime(speed);
    if (time && speed.mEvents >= kMinimumEvents) {
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
    if (time && median && speed.mEvents >= kMinimumEvents &&
        RelativeTime(time, *median) != 1) {
      told.push_back({ id, *time });
    }
  }
  return told;
}

void
ApplyToldSpeeds(server_speeds& aSpeeds, const std::vector<told_speed>& aTold)
{
  for (const auto& told : aTold) {
    if (!IsPossible(told.mEventTime) || told.mServer.empty()) {
      continue;
    }
    auto& speed = aSpeeds[told.mServer];
    if (speed.mEvents < kMinimumEvents) {
      speed.mEventTime = told.mEventTime;
    }
  }
}

} // namespace lavender::scheduling
