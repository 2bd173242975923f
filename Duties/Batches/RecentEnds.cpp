#include "Duties/Batches/RecentEnds.h"

#include <algorithm>

namespace lavender::batches {

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
                  milliseconds aWallClock)
{
  return static_cast<std::size_t>(std::count_if(
    aDirectory.mRows.begin(), aDirectory.mRows.end(), [&](const auto& aRow) {
      const milliseconds startedAt(aRow.second.mServer.mStartedAt);
      return startedAt > aWallClock - kRecentEndTime &&
             startedAt < aWallClock + kRecentEndTime;
    }));
}

bool
IsLastChance(const last_run_times& aTimes)
{
  return aTimes.mDueIn > aTimes.mExpected &&
         aTimes.mDueIn < kSlowServerFactor * aTimes.mLong + kStoringTime;
}

bool
MustLastRunWait(const recent_ends& aEnds,
                const run_ledger& aLedger,
                const last_run_times& aTimes,
                std::size_t aServers,
                std::size_t aYoungServers,
                time_point aNow)
{
  if (!HasAssumedEnd(aLedger) && IsLastChance(aTimes)) {
    return false;
  }
  auto others = static_cast<std::size_t>(
    std::count_if(aEnds.begin(), aEnds.end(), [&](const auto& aEnd) {
      return aNow - aEnd.second < kRecentEndTime &&
             aLedger.count(aEnd.first) == 0;
    }));
  if (others > 0 && HasAssumedEnd(aLedger)) {
    // One of them may be the assumed one.
    --others;
  }
  return static_cast<double>(std::max(others, aYoungServers)) >
         kCalmShare * static_cast<double>(aServers);
}

} // namespace lavender::batches
