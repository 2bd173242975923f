#pragma once

#include "Duties/Routing/PoolTable.h"
#include "Duties/Site/ServerProtocol.h"
#include "Duties/Site/SiteConfiguration.h"

#include <random>

namespace lavender::forwarding {

/** The server that the next attempt goes to. */
struct selected_server
{
  std::string mPool;
  site::backend_server mServer;
  /** Requests there as far as known, this one not included. */
  int mRequests = 0;
};

/** Load and health of the servers of each pool, as this entry knows them. All
 * that an entry sends to plain servers goes through one of these, so that
 * callers' requests and the entry's own learn from each other. */
class pool_router
{
public:
  pool_router(const site::server_directory& aDirectory,
              std::string aAvailabilityZone);

  /** Takes the directory's present state into the routing tables. */
  void SyncServers(time_point aNow);
  /** Chooses a server of the route's pools; none when no server that wasn't
   * tried takes work. */
  std::optional<selected_server> SelectServer(
    const site::route& aRoute,
    const std::vector<std::string>& aTried);
  void RecordSent(const selected_server& aPick, time_point aNow);
  /** @param aSentAt what RecordSent was told for this request */
  void RecordEnd(const selected_server& aPick,
                 time_point aSentAt,
                 routing::evidence aEvidence,
                 time_point aNow);
  /** Takes the load in that came with a server's answer. */
  void RecordLoad(const selected_server& aPick,
                  const site::server_load& aLoad,
                  time_point aNow);
  /** Requests that the pool's servers can run at once. */
  int SlotsOf(const std::string& aPool) const;

private:
  const site::server_directory& mDirectory;
  const std::string mAvailabilityZone;
  std::map<std::string, routing::pool_table> mTables;
  std::mt19937_64 mRandom{ std::random_device{}() };
};

} // namespace lavender::forwarding
