#include "Duties/Batches/RecentEnds.h"

#include <algorithm>

namespace lavender::batches {

namespace {

/** One server that ends again and again is no sign that others will: only so
 * many of its remembered ends make last runs wait, the first ones. */
constexpr std::size_t kEndsOfOne = 2;

bool
HasEnded(const recent_ends& aEnds, const std::string& aServer)
{
  return std::any_of(aEnds.begin(), aEnds.end(), [&](const auto& aEnd) {
    return aEnd.first.mId == aServer;
  });
}

/** Number of ends within a time that make last runs wait. */
std::size_t
CountEndsWithin(const recent_ends& aEnds, milliseconds aTime, time_point aNow)
{
  std::size_t count = 0;
  std::size_t endsOfOne = 0;
  const std::string* last = nullptr;
  for (const auto& [server, seenAt] : aEnds) {
    endsOfOne = last && *last == server.mId ? endsOfOne + 1 : 1;
    last = &server.mId;
    count += endsOfOne <= kEndsOfOne && aNow - seenAt < aTime ? 1 : 0;
  }
  return count;
}

} // namespace

void
RecordEnd(recent_ends& aEnds,
          const site::server_start& aServer,
          time_point aNow)
{
  aEnds.try_emplace(aServer, aNow);
}

void
ForgetOldEnds(recent_ends& aEnds, time_point aNow)
{
  for (auto end = aEnds.begin(); end != aEnds.end();) {
    end = aNow - end->second >= kEndMemory ? aEnds.erase(end) : std::next(end);
  }
}

std::size_t
CountYoungServers(const site::server_directory& aDirectory,
                  const recent_ends& aEnds,
                  milliseconds aWallClock)
{
  return static_cast<std::size_t>(std::count_if(
    aDirectory.mRows.begin(), aDirectory.mRows.end(), [&](const auto& aRow) {
      const milliseconds startedAt(aRow.second.mServer.mStartedAt);
      return !HasEnded(aEnds, aRow.first) &&
             startedAt > aWallClock - kRecentEndTime &&
             startedAt < aWallClock + kRecentEndTime;
    }));
}

bool
MustLastRunWait(const recent_ends& aEnds,
                std::size_t aServers,
                std::size_t aYoungServers,
                milliseconds aWaited,
                time_point aNow)
{
  const bool isSeries = CountEndsWithin(aEnds, kEndMemory, aNow) >= kSeriesEnds;
  const auto ends =
    CountEndsWithin(aEnds, isSeries ? kSeriesEndTime : kRecentEndTime, aNow);
  const auto young = aWaited < kRecentEndTime ? aYoungServers : 0;
  return static_cast<double>(std::max(ends, young)) >
         kCalmShare * static_cast<double>(aServers);
}

} // namespace lavender::batches
