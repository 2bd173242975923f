#include "Duties/Forwarding/PoolRouter.h"

namespace lavender::forwarding {

namespace {

/** Effectively disables the routing table's heartbeat check: load figures come
 * with responses, and the directory tracks which servers are alive. */
constexpr milliseconds kNoHeartbeat = std::chrono::hours(24 * 365);

int
TotalWeight(const site::route& aRoute)
{
  int sum = 0;
  for (const auto& pool : aRoute.mPools) {
    sum += std::max(pool.mWeight, 0);
  }
  return sum;
}

const std::string&
SelectPool(const site::route& aRoute, std::mt19937_64& aRandom)
{
  const int sum = TotalWeight(aRoute);
  if (aRoute.mPools.size() > 1 && sum > 0) {
    int drawn = std::uniform_int_distribution<int>(0, sum - 1)(aRandom);
    for (const auto& pool : aRoute.mPools) {
      drawn -= std::max(pool.mWeight, 0);
      if (drawn < 0) {
        return pool.mPool;
      }
    }
  }
  return aRoute.mPools.front().mPool;
}

} // namespace

pool_router::pool_router(const site::server_directory& aDirectory,
                         std::string aAvailabilityZone)
  : mDirectory(aDirectory)
  , mAvailabilityZone(std::move(aAvailabilityZone))
{
}

void
pool_router::TakeServers(time_point aNow)
{
  for (auto& [pool, table] : mTables) {
    for (const auto& row : table.mRows) {
      const auto found = mDirectory.mRows.find(row.mReport.mName);
      if (found == mDirectory.mRows.end() || found->second.mServer.mIsLeaving ||
          found->second.mServer.mPool != pool) {
        routing::TakeOut(table, row.mReport.mName);
      }
    }
  }
  for (const auto& [id, row] : mDirectory.mRows) {
    const auto& server = row.mServer;
    auto& table = mTables[server.mPool];
    table.mLimits.mHeartbeat = kNoHeartbeat;
    const auto known = table.mIndex.find(id);
    if (server.mIsLeaving || (known != table.mIndex.end() &&
                              table.mRows[known->second].mReport.mTakesWork)) {
      continue;
    }
    routing::server_report report;
    report.mName = id;
    report.mAvailabilityZone = server.mAvailabilityZone;
    report.mSlots = server.mSlots;
    report.mTakesWork = true;
    report.mMadeAt = aNow;
    routing::TakeReport(table, report, aNow);
  }
}

std::optional<server_pick>
pool_router::Pick(const site::route& aRoute,
                  const std::vector<std::string>& aTriedServers)
{
  const auto& pool = SelectPool(aRoute, mRandom);
  const auto table = mTables.find(pool);
  if (table == mTables.end()) {
    return std::nullopt;
  }
  routing::route_request request;
  request.mOwnZone = mAvailabilityZone;
  request.mExcluded = aTriedServers;
  const auto chosen =
    routing::Choose(table->second, request, mRandom, boot_clock::now());
  if (!chosen) {
    return std::nullopt;
  }
  const auto row = mDirectory.mRows.find(*chosen);
  if (row == mDirectory.mRows.end()) {
    return std::nullopt;
  }
  const auto& chosenRow = table->second.mRows[table->second.mIndex.at(*chosen)];
  const int requests = chosenRow.mReport.mRequests + chosenRow.mOwn.mCorrection;
  return server_pick{ pool, row->second.mServer, requests };
}

void
pool_router::NoteSent(const server_pick& aSelected, time_point aNow)
{
  routing::NoteSent(mTables[aSelected.mPool], aSelected.mServer.mId, 0, aNow);
}

void
pool_router::NoteEnded(const server_pick& aSelected,
                       time_point aSentAt,
                       routing::evidence aEvidence,
                       time_point aNow)
{
  routing::NoteEnded(
    mTables[aSelected.mPool], aSelected.mServer.mId, aSentAt, aEvidence, aNow);
}

void
pool_router::TakeLoad(const server_pick& aSelected,
                      const site::server_load& aLoad,
                      time_point aNow)
{
  routing::ApplyRequestCount(mTables[aSelected.mPool],
                             aSelected.mServer.mId,
                             aLoad.mRunning + aLoad.mWaiting,
                             aNow);
}

int
pool_router::PlacesOf(const std::string& aPool) const
{
  int places = 0;
  for (const auto& [id, row] : mDirectory.mRows) {
    if (row.mServer.mPool == aPool && !row.mServer.mIsLeaving) {
      places += row.mServer.mSlots;
    }
  }
  return places;
}

} // namespace lavender::forwarding
