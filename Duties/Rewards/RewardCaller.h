#pragma once

#include "Duties/Forwarding/PoolRouter.h"
#include "Duties/Rewards/CallWait.h"
#include "Duties/Rewards/Hedging.h"
#include "Duties/Rewards/RewardCall.h"
#include "Duties/Rewards/RewardDecision.h"
#include "Libraries/Edge/Caller.h"
#include "Libraries/Metrics/Metrics.h"

#include <boost/asio/steady_timer.hpp>
#include <memory>

namespace lavender::rewards {

/** Collaborators of a reward_client; all of them must outlive it. */
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
 * Each attempt of a call uses the route that the call's host and path have in
 * the configuration in force at that time. An attempt goes to a server that
 * hasn't been tried, until one returns a score or the service has failed the
 * call as often as the route allows. */
class reward_client
{
public:
  explicit reward_client(client_dependencies aDependencies);

  /** @return the number of the call for Cancel; never 0 */
  std::uint64_t Start(reward_request aRequest);
  /** Cancels the call, including its requests to servers. Does nothing if the
   * call has ended. */
  void Cancel(std::uint64_t aNumber);
  /** Sends the calls that may be sent again. */
  void Retry() { ScheduleDispatch(milliseconds(0)); }
  /** Number of calls that haven't ended, including those not sent yet. */
  std::size_t Open() const { return mCalls.size(); }
  /** Since when and why the call is at no server; none if it is at one or has
   * ended. */
  std::optional<waiting_call> WaitOf(std::uint64_t aNumber) const;

private:
  struct send_attempt;
  struct call;
  using call_ptr = std::shared_ptr<call>;

  void Dispatch();
  void ScheduleDispatch(milliseconds aDelay);
  std::shared_ptr<const site::route> RouteOf(const call& aCall) const;
  enum class send_result
  {
    Sent,
    /** The attempt has to be stored first. */
    Reserved,
    /** The call can't be sent now. */
    Waits
  };
  send_result Send(const call_ptr& aCall);
  /** Whether the pool may get one more call. */
  bool HasRoom(const std::string& aPool) const;
  /** Chooses the reserved server if it takes the call now, otherwise any other
   * one that does. Records why the call waits if there is none. */
  std::optional<forwarding::selected_server> ChooseServer(
    const call_ptr& aCall,
    const site::route& aRoute);
  void SendTo(const call_ptr& aCall,
              const site::route& aRoute,
              const forwarding::selected_server& aPick);
  void SendRequest(const call_ptr& aCall,
                   const std::shared_ptr<send_attempt>& aAttempt,
                   milliseconds aTimeLeft);
  std::optional<forwarding::selected_server> PickServer(
    const call_ptr& aCall,
    const site::route& aRoute,
    const site::customer* aCustomer);
  void HandleHead(const std::shared_ptr<send_attempt>& aAttempt,
                  unsigned aStatus,
                  const site::response_metadata& aMetadata);
  /** Ends an attempt whose body is too large to be one. */
  void HandleBody(const call_ptr& aCall,
                  const std::shared_ptr<send_attempt>& aAttempt,
                  std::string_view aPiece);
  static response_kind Classify(const send_attempt& aAttempt,
                                edge::call_end aEnd);
  void HandleEnd(const call_ptr& aCall,
                 const std::shared_ptr<send_attempt>& aAttempt,
                 edge::call_end aEnd);
  void LogResponse(const call& aCall,
                   const send_attempt& aAttempt,
                   response_kind aKind,
                   edge::call_end aEnd);
  void ActOnResponse(const call_ptr& aCall,
                     const std::shared_ptr<send_attempt>& aAttempt,
                     response_kind aKind);
  void ArmTimer(const call_ptr& aCall);
  void CheckTimeouts(const call_ptr& aCall);
  void CloseAttempt(const std::shared_ptr<send_attempt>& aAttempt,
                    routing::evidence aEvidence);
  /** Removes a call and cancels its open attempts. */
  void RemoveCall(const call_ptr& aCall);
  void FinishCall(const call_ptr& aCall, std::optional<std::string> aScore);

  client_dependencies mDependencies;
  std::map<std::uint64_t, call_ptr> mCalls;
  /** Number of open attempts by pool. */
  std::map<std::string, int> mInFlight;
  recent_durations mDurations;
  hedge_budget mBudget;
  boost::asio::steady_timer mTimer;
  time_point mDispatchAt = time_point::max();
  std::uint64_t mLastNumber = 0;
};

} // namespace lavender::rewards
