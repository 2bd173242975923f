#include "Duties/Forwarding/PoolRouter.h"

namespace lavender::forwarding {

namespace {

/** Answers carry their server's load, so a table row is never too old to be
 * used; that a server is alive is the directory's knowledge. */
constexpr milliseconds kNoHeartbeat = std::chrono::hours(24 * 365);

int
WeightOf(const site::route& aRoute)
{
  int sum = 0;
  for (const auto& pool : aRoute.mPools) {
    sum += std::max(pool.mWeight, 0);
  }
  return sum;
}

const std::string&
DrawPool(const site::route& aRoute, std::mt19937_64& aRandom)
{
  const int sum = WeightOf(aRoute);
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
pool_router::SyncServers(time_point aNow)
{
  for (auto& [pool, table] : mTables) {
    for (const auto& row : table.mRows) {
      const auto found = mDirectory.mRows.find(row.mReport.mName);
      if (found == mDirectory.mRows.end() || found->second.mServer.mIsLeaving ||
          found->second.mServer.mPool != pool) {
        routing::MarkUnavailable(table, row.mReport.mName);
      }
    }
  }
  for (const auto& [id, row] : mDirectory.mRows) {
    const auto& server = row.mServer;
    auto& table = mTables[server.mPool];
    table.mLimits.mHeartbeat = kNoHeartbeat;
    const auto known = table.mIndex.find(id);
    if (server.mIsLeaving ||
        (known != table.mIndex.end() &&
         table.mRows[known->second].mReport.mAcceptsRequests)) {
      continue;
    }
    routing::server_report report;
    report.mName = id;
    report.mAvailabilityZone = server.mAvailabilityZone;
    report.mSlots = server.mSlots;
    report.mAcceptsRequests = true;
    report.mGeneratedAt = aNow;
    routing::ApplyReport(table, report, aNow);
  }
}

std::optional<selected_server>
pool_router::SelectServer(const site::route& aRoute,
                          const std::vector<std::string>& aTried)
{
  const auto& pool = DrawPool(aRoute, mRandom);
  const auto table = mTables.find(pool);
  if (table == mTables.end()) {
    return std::nullopt;
  }
  routing::route_request request;
  request.mLocalZone = mAvailabilityZone;
  request.mExcluded = aTried;
  const auto chosen =
    routing::ChooseServer(table->second, request, mRandom, boot_clock::now());
  if (!chosen) {
    return std::nullopt;
  }
  const auto row = mDirectory.mRows.find(*chosen);
  if (row == mDirectory.mRows.end()) {
    return std::nullopt;
  }
  const auto& chosenRow = table->second.mRows[table->second.mIndex.at(*chosen)];
  const int requests =
    chosenRow.mReport.mRequests + chosenRow.mOwnRequests.mCorrection;
  return selected_server{ pool, row->second.mServer, requests };
}

void
pool_router::RecordSent(const selected_server& aPick, time_point aNow)
{
  routing::RecordSent(mTables[aPick.mPool], aPick.mServer.mId, 0, aNow);
}

void
pool_router::RecordEnd(const selected_server& aPick,
                       time_point aSentAt,
                       routing::evidence aEvidence,
                       time_point aNow)
{
  routing::RecordEnd(
    mTables[aPick.mPool], aPick.mServer.mId, aSentAt, aEvidence, aNow);
}

void
pool_router::RecordLoad(const selected_server& aPick,
                        const site::server_load& aLoad,
                        time_point aNow)
{
  routing::TakeCount(mTables[aPick.mPool],
                     aPick.mServer.mId,
                     aLoad.mRunning + aLoad.mWaiting,
                     aNow);
}

int
pool_router::SlotsOf(const std::string& aPool) const
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
