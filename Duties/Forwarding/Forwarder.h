#pragma once

#include "Duties/Routing/PoolTable.h"
#include "Duties/Site/ServerProtocol.h"
#include "Duties/Site/SiteConfiguration.h"
#include "Libraries/Edge/Caller.h"
#include "Libraries/Edge/Listener.h"
#include "Libraries/Metrics/Metrics.h"

#include <random>

namespace lavender::forwarding {

/** Told once for each attempt id that a server began to work on. */
using started_handler = std::function<void(const std::string& aCustomer)>;

/** What the forwarder works with; all outlive it. */
struct forwarder_parts
{
  boost::asio::io_context& mLoop;
  edge::client_pool& mClients;
  const site::exchange_protocol& mProtocol;
  const site::server_directory& mDirectory;
  metrics::registry& mMetrics;
  std::string mAvailabilityZone;
  started_handler mOnStarted;
};

/** Passes single requests on to the servers of their route's pool. */
class forwarder
{
public:
  explicit forwarder(forwarder_parts aParts);

  /** Serves one request whose route and key have been checked.
   * @param aCustomer null where the site has no customers */
  void Serve(const edge::exchange_ptr& aExchange,
             const std::shared_ptr<const site::route>& aRoute,
             const std::shared_ptr<const site::customer>& aCustomer);

  /** Takes the directory's present state into the routing tables. */
  void TakeServers(time_point aNow);

private:
  friend class forwarded_request;
  struct pick
  {
    std::string mPool;
    site::backend_server mServer;
    /** Requests there as far as known, this one not included. */
    int mRequests = 0;
  };
  std::optional<pick> Pick(const site::route& aRoute,
                           const std::vector<std::string>& aTried);

  forwarder_parts mParts;
  std::map<std::string, routing::pool_table> mTables;
  std::mt19937_64 mRandom{ std::random_device{}() };
};

} // namespace lavender::forwarding
