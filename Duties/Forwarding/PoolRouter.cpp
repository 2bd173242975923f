#include "Duties/Forwarding/PoolRouter.h"

#include "Duties/Site/Evacuation.h"
#include "Duties/Site/Regions.h"

#include <algorithm>

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

/** Whether SelectPool may return the pool. */
bool
MaySelectPool(const site::route& aRoute, const std::string& aPool)
{
  if (aRoute.mPools.size() <= 1 || TotalWeight(aRoute) <= 0) {
    return !aRoute.mPools.empty() && aRoute.mPools.front().mPool == aPool;
  }
  return std::any_of(
    aRoute.mPools.begin(), aRoute.mPools.end(), [&](const auto& aWeighted) {
      return aWeighted.mPool == aPool && aWeighted.mWeight > 0;
    });
}

} // namespace

pool_router::pool_router(const site::server_directory& aDirectory,
                         site::send_limits& aLimits,
                         site::server_loads& aLoads,
                         const edge::client_pool& aClients,
                         std::string aAvailabilityZone)
  : mDirectory(aDirectory)
  , mLimits(aLimits)
  , mLoads(aLoads)
  , mClients(aClients)
  , mAvailabilityZone(std::move(aAvailabilityZone))
{
  mLoads.SetHandler([this](const auto& aServer, const auto& aLoad) {
    ApplyLoad(aServer, aLoad);
  });
}

void
pool_router::SyncServers(time_point aNow)
{
  for (auto& [pool, table] : mTables) {
    for (const auto& row : table.mRows) {
      const auto found = mDirectory.mRows.find(row.mReport.mName);
      if (found == mDirectory.mRows.end() ||
          !site::AcceptsWork(mDirectory, found->second.mServer) ||
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
    if (!site::AcceptsWork(mDirectory, server) ||
        (known != table.mIndex.end() &&
         table.mRows[known->second].mReport.mAcceptsRequests &&
         table.mRows[known->second].mReport.mStartedAt == server.mStartedAt)) {
      continue;
    }
    routing::server_report report;
    report.mName = id;
    report.mAvailabilityZone = server.mAvailabilityZone;
    report.mSlots = server.mSlots;
    report.mAcceptsRequests = true;
    report.mStartedAt = server.mStartedAt;
    report.mGeneratedAt = aNow;
    routing::ApplyReport(table, report, aNow);
  }
  mLimits.RemoveStaleState();
  mLoads.RemoveStaleState();
}

std::vector<std::string>
pool_router::ServersOutsideAllowedRegions(const std::string& aPool,
                                          const site::route& aRoute,
                                          const site::customer* aCustomer) const
{
  std::vector<std::string> outside;
  if (aRoute.mAllowedRegions.empty() &&
      (!aCustomer || aCustomer->mAllowedRegions.empty())) {
    return outside;
  }
  for (const auto& [id, row] : mDirectory.mRows) {
    if (row.mServer.mPool == aPool &&
        !site::IsZoneAllowed(mDirectory.mRegions,
                             &aRoute,
                             aCustomer,
                             row.mServer.mAvailabilityZone)) {
      outside.push_back(id);
    }
  }
  return outside;
}

pool_router::limited_servers
pool_router::LimitedServers(const std::string& aPool, time_point aNow) const
{
  limited_servers limited;
  if (!mLimits.IsLimited(aPool)) {
    return limited;
  }
  for (const auto& [id, row] : mDirectory.mRows) {
    if (row.mServer.mPool != aPool) {
      continue;
    }
    if (mLimits.RequestsLeft(row, aNow) == 0) {
      limited.mExhausted.push_back(id);
    } else if (aNow < site::WarmAt(row)) {
      limited.mWarming.push_back(id);
    }
  }
  return limited;
}

bool
pool_router::IsConnected(const std::string& aServer, time_point aNow) const
{
  const auto row = mDirectory.mRows.find(aServer);
  return row != mDirectory.mRows.end() &&
         mClients.UsableConnections(row->second.mServer.mAddress, aNow) > 0;
}

std::optional<selected_server>
pool_router::SelectServer(const site::route& aRoute,
                          const site::customer* aCustomer,
                          const std::vector<std::string>& aTriedServers,
                          connection_use aConnection)
{
  const auto& pool = SelectPool(aRoute, mRandom);
  const auto table = mTables.find(pool);
  if (table == mTables.end()) {
    return std::nullopt;
  }
  routing::route_request request;
  request.mLocalZone = mAvailabilityZone;
  request.mExcluded = aTriedServers;
  const auto now = boot_clock::now();
  if (aConnection == connection_use::Any) {
    request.mIsConnected = [this, now](const std::string& aServer) {
      return IsConnected(aServer, now);
    };
  }
  const auto limited = LimitedServers(pool, now);
  auto& excluded = request.mExcluded;
  const auto outside = ServersOutsideAllowedRegions(pool, aRoute, aCustomer);
  excluded.insert(excluded.end(), outside.begin(), outside.end());
  excluded.insert(
    excluded.end(), limited.mExhausted.begin(), limited.mExhausted.end());
  const auto withWarming = excluded.size();
  excluded.insert(
    excluded.end(), limited.mWarming.begin(), limited.mWarming.end());
  auto chosen = routing::ChooseServer(table->second, request, mRandom, now);
  if (!chosen && !limited.mWarming.empty()) {
    excluded.resize(withWarming);
    chosen = routing::ChooseServer(table->second, request, mRandom, now);
  }
  return chosen ? Selected(pool, *chosen) : std::nullopt;
}

std::optional<selected_server>
pool_router::SelectThis(const site::route& aRoute,
                        const site::customer* aCustomer,
                        const site::server_start& aServer) const
{
  const auto row = mDirectory.mRows.find(aServer.mId);
  if (row == mDirectory.mRows.end()) {
    return std::nullopt;
  }
  const auto& server = row->second.mServer;
  const auto table = mTables.find(server.mPool);
  const auto now = boot_clock::now();
  const bool maySelect =
    MaySelectPool(aRoute, server.mPool) && table != mTables.end() &&
    site::StartOf(server) == aServer &&
    routing::MaySelect(table->second, server.mId, {}, now) &&
    (!mLimits.IsLimited(server.mPool) ||
     mLimits.RequestsLeft(row->second, now) > 0) &&
    site::IsZoneAllowed(
      mDirectory.mRegions, &aRoute, aCustomer, server.mAvailabilityZone);
  return maySelect ? Selected(server.mPool, server.mId) : std::nullopt;
}

std::optional<selected_server>
pool_router::Selected(const std::string& aPool,
                      const std::string& aServer) const
{
  const auto row = mDirectory.mRows.find(aServer);
  if (row == mDirectory.mRows.end()) {
    return std::nullopt;
  }
  const auto& table = mTables.at(aPool);
  const auto& tableRow = table.mRows[table.mIndex.at(aServer)];
  const int requests =
    tableRow.mReport.mRequests + tableRow.mOwnRequests.mCorrection;
  return selected_server{ aPool, row->second.mServer, requests };
}

void
pool_router::RecordSent(const selected_server& aSelected, time_point aNow)
{
  routing::RecordSent(mTables[aSelected.mPool], aSelected.mServer.mId, 0, aNow);
  mLimits.RecordSent(aSelected.mServer, aNow);
}

void
pool_router::RecordEnd(const selected_server& aSelected,
                       time_point aSentAt,
                       routing::evidence aEvidence,
                       time_point aNow)
{
  routing::RecordEnd(
    mTables[aSelected.mPool], aSelected.mServer.mId, aSentAt, aEvidence, aNow);
}

void
pool_router::RecordLoad(const selected_server& aSelected,
                        const site::server_load& aLoad,
                        time_point aNow)
{
  mLoads.Record(aSelected.mServer.mId, aLoad, aNow);
}

void
pool_router::ApplyLoad(const std::string& aServer, const site::told_load& aLoad)
{
  const auto row = mDirectory.mRows.find(aServer);
  if (row == mDirectory.mRows.end()) {
    return;
  }
  auto& table = mTables[row->second.mServer.mPool];
  routing::ApplyRequestCount(table, aServer, aLoad.mRequests, aLoad.mSeenAt);
  routing::ApplySlowdown(table,
                         aServer,
                         aLoad.mSlowdown,
                         aLoad.mSlowdownSeenAt + site::kSlowdownLifetime);
}

int
pool_router::SlotsOf(const std::string& aPool) const
{
  int slots = 0;
  for (const auto& [id, row] : mDirectory.mRows) {
    if (row.mServer.mPool == aPool &&
        site::AcceptsWork(mDirectory, row.mServer)) {
      slots += row.mServer.mSlots;
    }
  }
  return slots;
}

} // namespace lavender::forwarding
