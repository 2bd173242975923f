#pragma once

#include "Duties/Versions/ControllerClaim.h"
#include "Duties/Versions/OrderDecision.h"
#include "Libraries/Edge/Caller.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <vector>

namespace lavender::versions {

struct order_dependencies
{
  boost::asio::io_context& mLoop;
  edge::client_pool& mClients;
  edge::endpoint mServer;
  std::string mName;
  /** Looks up the entries to ask, the preferred one first, and passes them to
   * the callback. */
  std::function<void(std::function<void(std::vector<edge::endpoint>)>)>
    mEntries;
  /** Claims the server for this controller; passes none to the callback if the
   * claim failed. */
  std::function<void(claim_done)> mClaim;
  /** Asks the store whether the claim with that epoch is still held; null if
   * orders are sent without asking. */
  std::function<void(std::int64_t aEpoch, std::function<void(claim_check)>)>
    mCheckClaim;
  std::function<edge::request()> mEncodeReport;
  std::function<std::optional<server_report>(const edge::response&)>
    mDecodeReport;
  std::function<edge::request(const weight_order&)> mEncodeOrder;
  /** Pause between a server's first claim and the look-up of the entries. Those
   * of a new site announce themselves meanwhile; a controller that finds only
   * some of them would ask another entry than the rest. */
  milliseconds mNewSiteDelay{ 0 };
  /** Pause between two reads of the server's report while it loads. */
  milliseconds mLoadPollInterval{ 100 };
};

/** Sends one model server its orders. Asks an entry for the server's target
 * versions, reads the server's report, and orders the versions that it lacks.
 * An entry answers only the controller that holds the server's claim; if an
 * entry rejects this one as superseded, it claims the server again. */
class order_duty
{
public:
  explicit order_duty(order_dependencies aParts);

  void Start();

private:
  void Claim();
  void FindEntries();
  void RequestAssignment();
  void HandleAssignmentResponse(edge::call_end aEnd,
                                const edge::response& aResponse);
  void ReadReport();
  void HandleReport(const server_report& aReport);
  /** Sends the order once the store has confirmed the claim. */
  void CheckAndSendOrder(const weight_order& aOrder);
  void HandleClaimLost();
  void SendOrder(const weight_order& aOrder);
  void ScheduleStep(milliseconds aDelay, void (order_duty::*aStep)());

  order_dependencies mDependencies;
  boost::asio::steady_timer mTimer;
  std::vector<edge::endpoint> mEntries;
  std::size_t mEntry = 0;
  /** When to ask the preferred entry again, while another one is asked. */
  time_point mPreferredAgainAt;
  order_permission mGrant;
  /** When an entry last sent the target versions. */
  time_point mAssignedAt;
  target_versions mTargetVersions;
  std::map<std::string, std::int64_t> mHeld;
};

} // namespace lavender::versions
