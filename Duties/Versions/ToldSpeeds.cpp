#include "Duties/Versions/ToldSpeeds.h"

#include <algorithm>
#include <cmath>

namespace lavender::versions {

using scheduling::event_time;

namespace {

/** Speeds that differ less than this from the usual speed count as usual, and a
 * speed is changed only by more than this fraction of itself. Entries tell
 * smaller differences, but those are within the noise of short averages. */
constexpr double kSpeedChangeThreshold = 0.25;
constexpr int kOmissionsUntilMedian = 3;
/** Bounds of a relative speed. A server that stands still for a moment keeps
 * some capacity, so that the figures of the others stay comparable. */
constexpr double kMinimumSpeed = 0.1;
constexpr double kMaximumSpeed = 10;

bool
DiffersClearly(double aLeft, double aRight)
{
  return std::max(aLeft / aRight, aRight / aLeft) > 1 + kSpeedChangeThreshold;
}

event_time
LowerMedian(std::vector<event_time> aTimes)
{
  const auto middle =
    aTimes.begin() + static_cast<long>((aTimes.size() - 1) / 2);
  std::nth_element(aTimes.begin(), middle, aTimes.end());
  return *middle;
}

/** Event time of a server by its own figure, else by its model's median, else
 * by the usual median of a model. */
event_time
EventTimeOf(const told_speeds& aSpeeds,
            const std::string& aServer,
            const model_placement& aPlaced,
            event_time aUsualMedian)
{
  if (const auto told = aSpeeds.mServers.find(aServer);
      told != aSpeeds.mServers.end()) {
    return told->second.mEventTime;
  }
  const auto placed = aPlaced.find(aServer);
  const auto median = placed == aPlaced.end()
                        ? aSpeeds.mMedians.end()
                        : aSpeeds.mMedians.find(placed->second);
  return median == aSpeeds.mMedians.end() ? aUsualMedian : median->second;
}

} // namespace

void
RecordToldSpeeds(told_speeds& aSpeeds,
                 const batch_speeds& aBatch,
                 const model_placement& aPlaced,
                 const site::server_directory& aDirectory)
{
  if (!scheduling::IsPossible(aBatch.mMedian)) {
    return;
  }
  aSpeeds.mMedians[aBatch.mModel] = aBatch.mMedian;
  for (auto& [id, server] : aSpeeds.mServers) {
    const auto placed = aPlaced.find(id);
    if (placed != aPlaced.end() && placed->second == aBatch.mModel &&
        ++server.mOmissions >= kOmissionsUntilMedian) {
      server.mEventTime = aBatch.mMedian;
    }
  }
  for (const auto& told : aBatch.mServers) {
    const auto row = aDirectory.mRows.find(told.mServer);
    if (row != aDirectory.mRows.end() &&
        scheduling::IsPossible(told.mEventTime)) {
      aSpeeds.mServers[told.mServer] = { row->second.mServer.mStartedAt,
                                         told.mEventTime,
                                         0 };
    }
  }
}

void
ForgetGoneServers(told_speeds& aSpeeds,
                  const site::server_directory& aDirectory)
{
  for (auto server = aSpeeds.mServers.begin();
       server != aSpeeds.mServers.end();) {
    const auto row = aDirectory.mRows.find(server->first);
    if (row == aDirectory.mRows.end() ||
        row->second.mServer.mStartedAt != server->second.mStartedAt) {
      aSpeeds.mRelative.erase(server->first);
      server = aSpeeds.mServers.erase(server);
    } else {
      ++server;
    }
  }
}

void
UpdateRelativeSpeeds(told_speeds& aSpeeds,
                     const std::vector<std::string>& aPool,
                     const model_placement& aPlaced)
{
  if (aPool.empty() || aSpeeds.mMedians.empty()) {
    return;
  }
  std::vector<event_time> medians;
  for (const auto& [model, median] : aSpeeds.mMedians) {
    medians.push_back(median);
  }
  const auto usualMedian = LowerMedian(std::move(medians));
  std::vector<event_time> times;
  for (const auto& id : aPool) {
    times.push_back(EventTimeOf(aSpeeds, id, aPlaced, usualMedian));
  }
  const auto usual = LowerMedian(std::move(times));
  for (const auto& id : aPool) {
    const auto told = aSpeeds.mServers.find(id);
    if (told == aSpeeds.mServers.end()) {
      continue;
    }
    const auto speed =
      std::clamp(usual / told->second.mEventTime, kMinimumSpeed, kMaximumSpeed);
    const auto before = aSpeeds.mRelative.emplace(id, 1.0).first;
    if (DiffersClearly(speed, before->second)) {
      before->second = DiffersClearly(speed, 1) ? speed : 1;
    }
  }
}

} // namespace lavender::versions
