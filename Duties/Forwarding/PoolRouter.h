#pragma once

#include "Duties/Routing/PoolTable.h"
#include "Duties/Site/SendLimits.h"
#include "Duties/Site/ServerFate.h"
#include "Duties/Site/ServerLoads.h"
#include "Duties/Site/ServerProtocol.h"
#include "Duties/Site/SiteConfiguration.h"
#include "Libraries/Edge/Caller.h"

#include <random>

namespace lavender::forwarding {

/** The server selected for the next attempt. */
struct selected_server
{
  std::string mPool;
  site::backend_server mServer;
  /** Estimated requests on the server, this one excluded. */
  int mRequests = 0;
};

/** Whether a request may go over a connection that is open already. */
enum class connection_use
{
  Any,
  /** An open connection can be broken without notice, so a request that must
   * not be repeated needs a new one. */
  New
};

/** Load and health of the servers of each pool, as known to this entry. All
 * requests to plain servers use the same router, so that callers' requests and
 * the entry's own requests share what they learn about the servers. */
class pool_router
{
public:
  /** @param aLoads its handler is set here, so that the tables have every load
   * that the entry learns
   * @param aClients its connections are preferred */
  pool_router(const site::server_directory& aDirectory,
              site::send_limits& aLimits,
              site::server_loads& aLoads,
              const edge::client_pool& aClients,
              std::string aAvailabilityZone);

  /** Updates the routing tables from the current state of the directory. */
  void SyncServers(time_point aNow);
  /** Selects a server of one of the route's pools; none when no untried server
   * accepts requests. Only regions that the route and the customer allow are
   * considered. A server that warms up is selected only if no warm one
   * is.
   * @param aCustomer null if there is none */
  std::optional<selected_server> SelectServer(
    const site::route& aRoute,
    const site::customer* aCustomer,
    const std::vector<std::string>& aTriedServers,
    connection_use aConnection = connection_use::Any);
  /** Selects the server if it is the same start, one of the route's pools has
   * it, and SelectServer might select it now. */
  std::optional<selected_server> SelectThis(
    const site::route& aRoute,
    const site::customer* aCustomer,
    const site::server_start& aServer) const;
  void RecordSent(const selected_server& aSelected, time_point aNow);
  /** @param aSentAt time passed to RecordSent for this request */
  void RecordEnd(const selected_server& aSelected,
                 time_point aSentAt,
                 routing::evidence aEvidence,
                 time_point aNow);
  /** Records the load figures that came with a server's response. */
  void RecordLoad(const selected_server& aSelected,
                  const site::server_load& aLoad,
                  time_point aNow);
  /** Number of requests that the pool's servers can run concurrently. */
  int SlotsOf(const std::string& aPool) const;

private:
  void ApplyLoad(const std::string& aServer, const site::told_load& aLoad);
  /** Servers of the pool that may get no request now, and those that warm up.
   */
  struct limited_servers
  {
    std::vector<std::string> mExhausted;
    std::vector<std::string> mWarming;
  };

  /** Servers of the pool in regions that the route or the customer excludes. */
  std::vector<std::string> ServersOutsideAllowedRegions(
    const std::string& aPool,
    const site::route& aRoute,
    const site::customer* aCustomer) const;
  bool IsConnected(const std::string& aServer, time_point aNow) const;
  /** @param aServer one of the pool's table */
  std::optional<selected_server> Selected(const std::string& aPool,
                                          const std::string& aServer) const;
  limited_servers LimitedServers(const std::string& aPool,
                                 time_point aNow) const;

  const site::server_directory& mDirectory;
  site::send_limits& mLimits;
  site::server_loads& mLoads;
  const edge::client_pool& mClients;
  const std::string mAvailabilityZone;
  std::map<std::string, routing::pool_table> mTables;
  std::mt19937_64 mRandom{ std::random_device{}() };
};

} // namespace lavender::forwarding
