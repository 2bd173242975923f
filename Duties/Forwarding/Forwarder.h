#pragma once

#include "Duties/Forwarding/PoolRouter.h"
#include "Libraries/Edge/Caller.h"
#include "Libraries/Edge/Listener.h"
#include "Libraries/Metrics/Metrics.h"

namespace lavender::forwarding {

/** Told once for each attempt id that a server began to work on. */
using started_handler = std::function<void(const std::string& aCustomer)>;

/** What the forwarder works with; all outlive it. */
struct forwarder_dependencies
{
  boost::asio::io_context& mLoop;
  edge::client_pool& mClients;
  const site::exchange_protocol& mProtocol;
  pool_router& mRouter;
  metrics::registry& mMetrics;
  started_handler mOnStarted;
};

/** Passes single requests on to the servers of their route's pool. */
class forwarder
{
public:
  explicit forwarder(forwarder_dependencies aParts);

  /** Serves one request whose route and key have been checked.
   * @param aCustomer null where the site has no customers */
  void Serve(const edge::exchange_ptr& aExchange,
             const std::shared_ptr<const site::route>& aRoute,
             const std::shared_ptr<const site::customer>& aCustomer);

private:
  friend class forwarded_request;

  forwarder_dependencies mDependencies;
};

} // namespace lavender::forwarding
