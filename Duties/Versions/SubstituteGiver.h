#pragma once

#include "Duties/Versions/Assignments.h"
#include "Duties/Versions/OrderDuty.h"

namespace lavender::versions {

/** What the entry that watches the store knows of one server's giver. */
struct controller_status
{
  /** Who holds the claim; none when nobody ever claimed the server. */
  std::optional<controller_claim> mClaim;
  /** Since when this entry has known the server, and looked after it. */
  time_point mKnownSince;
  /** When the giver last asked what is wanted. */
  std::optional<time_point> mLastAsked;
  /** Since when the server has been due for a load that didn't come. */
  std::optional<time_point> mLoadingSince;
};

/** An agent claims its server within a second of its start. */
constexpr milliseconds kAgentStarts{ 5000 };
/** A giver that lives asks this entry at least this often. */
constexpr milliseconds kGiverSilence{ 20000 };
/** A load takes about a second, a few when runs go first. */
constexpr milliseconds kLoadOverdue{ 10000 };

/** Whether an entry should claim a server: it has no giver, or its giver has
 * been silent for long and a load is overdue. */
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
  /** Where this entry takes questions of givers. */
  edge::endpoint mSelf;
  const site::server_directory& mDirectory;
  const site::configuration_ptr& mConfiguration;
  const claim_table& mClaims;
  assignments& mAssignments;
  /** Whether this entry watches the store for the others. */
  std::function<bool()> mMayClaim;
  std::function<edge::request()> mEncodeReport;
  std::function<std::optional<server_report>(const edge::response&)>
    mDecodeReport;
  std::function<edge::request(const weight_order&)> mEncodeOrder;
};

/** Gives the orders of servers that have no agent, or lost theirs.
 *
 * The entry that watches the store claims them. One that has claimed a server
 * goes on, whoever watches, until another giver takes the claim. */
class fallback_controller
{
public:
  explicit fallback_controller(controller_dependencies aParts);

  void Start();

private:
  void PlanLook();
  void Look();
  bool HasEngine(const site::backend_server& aServer) const;
  controller_status ViewOf(const std::string& aClaimName,
                           const std::string& aServerId,
                           time_point aNow);
  void GiveOrdersOf(const edge::endpoint& aServer);
  void Claim(const std::string& aClaimName, const claim_done& aDone);

  controller_dependencies mDependencies;
  boost::asio::steady_timer mTimer;
  /** By the names of claims. */
  std::map<std::string, time_point> mKnownSince;
  /** Claims that this entry may replace, as they were seen. */
  std::map<std::string, controller_claim> mReplaceable;
  std::map<std::string, std::unique_ptr<order_duty>> mGivers;
};

} // namespace lavender::versions
