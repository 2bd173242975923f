#pragma once

#include "Duties/Forwarding/PoolRouter.h"
#include "Duties/Forwarding/StopDecision.h"
#include "Libraries/Edge/Caller.h"
#include "Libraries/Edge/Listener.h"
#include "Libraries/Metrics/Metrics.h"

namespace lavender::forwarding {

/** Called once for each request that a server started or may have started. */
using started_handler = std::function<void(const std::string& aCustomer)>;

/** Dependencies of the forwarder; the referenced objects outlive it. */
struct forwarder_dependencies
{
  boost::asio::io_context& mLoop;
  edge::client_pool& mClients;
  const site::exchange_protocol& mProtocol;
  pool_router& mRouter;
  metrics::registry& mMetrics;
  started_handler mOnStarted;
};

class forwarded_request;

/** Forwards single requests to the servers of their route's pools. */
class forwarder
{
public:
  explicit forwarder(forwarder_dependencies aParts);

  /** Forwards one request whose route and key have been checked.
   * @param aCustomer null when the site configures no customers */
  void Serve(const edge::exchange_ptr& aExchange,
             const std::shared_ptr<const site::route>& aRoute,
             const std::shared_ptr<const site::customer>& aCustomer);

  /** From now on sends only requests to servers that will have ended by then,
   * and refuses the others. */
  void StartStopping(time_point aAnswersUntil)
  {
    mAnswersUntil = aAnswersUntil;
  }
  /** Answers each request whose response hasn't begun: it may have run.
   * @return the number of these requests */
  std::size_t EndWaiting();
  /** Breaks off each request whose response has begun.
   * @return the number of these requests */
  std::size_t CutBegun();

private:
  friend class forwarded_request;

  /** Whether a request of the route with that much time left may be sent. */
  bool MaySend(const std::string& aRoute, milliseconds aOwnLimit) const;
  std::vector<std::shared_ptr<forwarded_request>> UnderWay() const;

  forwarder_dependencies mDependencies;
  std::optional<time_point> mAnswersUntil;
  /** How long requests took, by route. */
  std::map<std::string, recent_durations> mDurations;
  /** Requests that aren't answered yet. */
  std::map<const forwarded_request*, std::weak_ptr<forwarded_request>>
    mUnderWay;
};

} // namespace lavender::forwarding
