#pragma once

#include "Duties/Forwarding/PoolRouter.h"
#include "Duties/Rewards/Hedging.h"
#include "Duties/Rewards/RewardCall.h"
#include "Duties/Rewards/RewardDecision.h"
#include "Libraries/Edge/Caller.h"
#include "Libraries/Metrics/Metrics.h"

#include <boost/asio/steady_timer.hpp>
#include <memory>

namespace lavender::rewards {

/** What the caller works with; all outlive it. */
struct client_dependencies
{
  boost::asio::io_context& mLoop;
  edge::client_pool& mClients;
  const site::exchange_protocol& mProtocol;
  const site::configuration_ptr& mConfiguration;
  forwarding::pool_router& mRouter;
  metrics::registry& mMetrics;
};

/** Makes the reward calls of the items that this entry runs.
 *
 * A call goes by the route that its host and path have in the configuration in
 * force when it is sent, and again, each time to another server, until one
 * answers or the service has failed it as often as the route allows. */
class reward_client
{
public:
  explicit reward_client(client_dependencies aParts);

  /** @return a number by which the call can be cancelled; never 0 */
  std::uint64_t Start(reward_request aRequest);
  /** Cuts the call, also at its server; does nothing once it has ended. */
  void Cancel(std::uint64_t aNumber);
  /** Calls that have no end yet, waiting ones included. */
  std::size_t Open() const { return mCalls.size(); }

private:
  struct sending;
  struct call;
  using call_ptr = std::shared_ptr<call>;

  void Dispatch();
  void PlanDispatch(milliseconds aPause);
  std::shared_ptr<const site::route> RouteOf(const call& aCall) const;
  /** @return false when the call can't be sent now */
  bool Send(const call_ptr& aCall);
  void SendTo(const call_ptr& aCall,
              const site::route& aRoute,
              const forwarding::selected_server& aPick);
  void StartSending(const call_ptr& aCall,
                    const std::shared_ptr<sending>& aSending,
                    milliseconds aTimeLeft);
  std::optional<forwarding::selected_server> PickFor(const call_ptr& aCall,
                                                     const site::route& aRoute);
  void TakeHead(const std::shared_ptr<sending>& aSending,
                const edge::response& aHead);
  static answer_kind KindOf(const call& aCall,
                            const sending& aSending,
                            edge::call_end aEnd);
  void TakeEnd(const call_ptr& aCall,
               const std::shared_ptr<sending>& aSending,
               edge::call_end aEnd);
  void LogAnswer(const call& aCall,
                 const sending& aSending,
                 answer_kind aKind,
                 edge::call_end aEnd);
  void Decide(const call_ptr& aCall,
              const std::shared_ptr<sending>& aSending,
              answer_kind aKind);
  void Arm(const call_ptr& aCall);
  void Look(const call_ptr& aCall);
  void Close(const std::shared_ptr<sending>& aSending,
             routing::evidence aEvidence);
  /** Takes a call off the list, and cuts what is still under way for it. */
  void Retire(const call_ptr& aCall);
  void Finish(const call_ptr& aCall, std::optional<std::string> aScore);

  client_dependencies mDependencies;
  std::map<std::uint64_t, call_ptr> mCalls;
  /** Sendings under way, by pool. */
  std::map<std::string, int> mUnderWay;
  recent_durations mDurations;
  hedge_budget mBudget;
  boost::asio::steady_timer mTimer;
  time_point mDispatchAt = time_point::max();
  std::uint64_t mNumbers = 0;
};

} // namespace lavender::rewards
