#pragma once

#include "Duties/Versions/Assignments.h"
#include "Duties/Versions/OrderDuty.h"

namespace lavender::versions {

/** What the entry that watches the store knows of one server's controller. */
struct controller_status
{
  /** None if the server was never claimed. */
  std::optional<controller_claim> mClaim;
  /** Since when this entry has known the server and has been the one that
   * claims servers. */
  time_point mKnownSince;
  /** When the controller last requested the target versions here. */
  std::optional<time_point> mLastRequestAt;
  /** Since when the server has been due to load a version that it doesn't
   * hold. */
  std::optional<time_point> mLoadingSince;
  /** Since when the entry that holds the claim has answered no ping. */
  std::optional<time_point> mHolderSilentSince;
};

/** A server without a claim is left to its agent for this long. An agent claims
 * its server within a second of its start. */
constexpr milliseconds kAgentStartTime{ 5000 };
/** An agent that sent no request for this long counts as silent; a live one
 * asks this entry more often. */
constexpr milliseconds kControllerTimeout{ 20000 };
/** An entry that holds claims and answers no ping for this long is replaced. */
constexpr milliseconds kEntryTimeout{ 2000 };
/** A load that takes longer is overdue. A load takes about a second, or a few
 * seconds if runs finish first. */
constexpr milliseconds kLoadOverdue{ 10000 };

/** Whether the entry should claim the server, because the server has no
 * controller, a silent agent and an overdue load, or a silent entry as its
 * controller. An entry is replaced sooner: it holds the claims of many servers,
 * and nothing starts it again beside them. */
bool
NeedsFallbackController(const controller_status& aView,
                        const std::string& aSelf,
                        time_point aNow);

struct controller_dependencies
{
  boost::asio::io_context& mLoop;
  edge::client_pool& mClients;
  const objects::object_store& mStore;
  std::string mName;
  /** Time within which a server may not get orders of two controllers in turn.
   */
  milliseconds mLeaseDuration{ 0 };
  /** Address at which this entry serves controllers' requests. */
  edge::endpoint mSelf;
  const site::server_directory& mDirectory;
  const site::configuration_ptr& mConfiguration;
  const claim_table& mClaims;
  assignments& mAssignments;
  /** Whether this entry may claim servers: it watches the store for the other
   * entries. */
  std::function<bool()> mMayClaim;
  /** Address of an entry; none if it isn't listed. */
  std::function<std::optional<edge::endpoint>(const std::string&)> mFindEntry;
  /** A request that each entry answers at once. */
  std::function<edge::request()> mPing;
  std::function<edge::request()> mEncodeReport;
  std::function<std::optional<server_report>(const edge::response&)>
    mDecodeReport;
  std::function<edge::request(const weight_order&)> mEncodeOrder;
};

/** Sends orders to servers that have no agent or whose agent is gone.
 *
 * The entry that watches the store claims such servers. An entry that has
 * claimed a server stays its controller until another one takes the claim over,
 * even if it no longer watches the store. */
class fallback_controller
{
public:
  explicit fallback_controller(controller_dependencies aParts);

  void Start();

private:
  void ScheduleCheck();
  void CheckServers();
  void CheckServer(const std::string& aId,
                   const site::backend_server& aServer,
                   time_point aNow);
  /** Checks whether the entries that hold claims are alive. */
  void PingHolders();
  bool HasEngine(const site::backend_server& aServer) const;
  controller_status StatusOf(const std::string& aClaimName,
                             const std::string& aServerId,
                             time_point aNow);
  void StartController(const edge::endpoint& aServer);
  claimant Self() const;
  void Claim(const std::string& aClaimName, const claim_done& aDone);

  controller_dependencies mDependencies;
  boost::asio::steady_timer mTimer;
  /** By claim name. */
  std::map<std::string, time_point> mKnownSince;
  /** Claims that this entry may replace, as seen at the last check, by claim
   * name. */
  std::map<std::string, controller_claim> mReplaceable;
  /** By entry. */
  std::map<std::string, time_point> mSilentSince;
  /** By claim name. */
  std::map<std::string, std::unique_ptr<order_duty>> mControllers;
};

} // namespace lavender::versions
