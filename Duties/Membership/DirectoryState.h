#pragma once

#include "Duties/Membership/Heartbeat.h"
#include "Libraries/Platform/PlatformClient.h"
#include "Libraries/Wire/ConnectionPool.h"
#include "Libraries/Wire/Generated/agent_service.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/** Membership of the fleet: the backend servers and entries that exist, and
 * the last known state of each server. */
namespace lavender::membership {

using agent_pool = wire::connection_pool<wire::agent_serviceClient>;

/** What an entry knows about one backend server. */
struct server_view
{
  platform::instance mInstance;
  /** Incarnation of the agent that answered last; empty before the first
   * answer. */
  std::string mIncarnation;
  wire::load_figures mLoad;
  /** Load of each customer with requests on the server, summed over all
   * entries. */
  std::vector<wire::customer_load> mCustomers;
  /** True when the agent reports that it drains, or the platform's list marks
   * the instance as leaving. */
  bool mIsLeaving = false;
  bool mIsServerReachable = false;
  std::string mModel;
  std::int64_t mWeightVersion = 0;
  std::int64_t mReportedRevision = 0;
  milliseconds mReportedVerificationAge{ 0 };
  std::optional<time_point> mLastResponseAt;
  /** Since when the agent has been reachable without a gap. */
  std::optional<time_point> mReachableSince;
  /** Start of the last poll that got no answer. */
  std::optional<time_point> mLastFailedPollAt;
  /** When the last answered poll was sent; its report is at least as recent. */
  time_point mReportRequestedAt;
  /** The agent's clock reading in the report that arrived at mLastResponseAt.
   */
  milliseconds mAgentClock{ 0 };
  /** Time of the first list without the instance; none while it is listed. */
  std::optional<time_point> mUnlistedSince;
  /** Requests that this entry sent and that are still unanswered. */
  int mOwnInFlight = 0;
  std::shared_ptr<agent_pool> mConnections;
};

struct directory_state
{
  std::map<std::string, server_view> mServers;
  std::vector<platform::instance> mEntries;
  /** Time of the last list; none before the first one. */
  std::optional<time_point> mListedAt;
};

struct directory_limits
{
  heartbeat_limits mHeartbeat;
  /** Time after which an unlisted instance that doesn't answer is removed.
   * Instances aren't removed at once because the list may be temporarily
   * wrong. */
  milliseconds mRemoveUnresponsiveAfter{ 5000 };
  /** Time after which an unlisted instance that still answers is removed. */
  milliseconds mRemoveAfter{ 60000 };
};

enum class server_state
{
  /** Accepts new requests. */
  Live,
  /** Receives no new requests; those in progress are completed. */
  Leaving,
  /** Its agent hasn't answered within the heartbeat limits. */
  Unresponsive,
  /** Its agent answers but can't reach the backend server. */
  ServerDown,
  /** Its agent hasn't answered yet. */
  Unknown
};

server_state
StateOf(const server_view& aView,
        const heartbeat_limits& aLimits,
        time_point aNow);

/** Name used in logs, metrics and resource status. */
const char*
ToString(server_state aState);

using connection_maker =
  std::function<std::shared_ptr<agent_pool>(const http::endpoint&)>;

/** Applies the platform's instance list, which may lag behind, and removes
 * instances that have been unlisted for too long.
 * @return names of all servers that are known now */
std::vector<std::string>
ApplyList(directory_state& aState,
          const std::vector<platform::instance>& aList,
          const directory_limits& aLimits,
          const connection_maker& aMakeConnections,
          time_point aNow);

enum class apply_report_outcome
{
  Applied,
  /** The instance changed its address or was removed during the poll, or a
   * later poll was answered first. */
  Outdated,
  /** The address now belongs to another instance. */
  OtherInstance
};

/** Applies an agent's report.
 * @param aConnections pool that the report was received on
 * @param aRequestedAt when the poll was sent */
apply_report_outcome
ApplyReport(directory_state& aState,
            const std::string& aName,
            const wire::agent_report& aReport,
            const std::shared_ptr<agent_pool>& aConnections,
            time_point aRequestedAt,
            time_point aNow);

/** Records that a poll got no answer.
 * @param aRequestedAt when the poll was sent */
void
ApplyPollFailure(directory_state& aState,
                 const std::string& aName,
                 time_point aRequestedAt);

/** Updates the server's state from the agent's incarnation and draining flag in
 * the response to a request. */
void
ApplyReply(directory_state& aState,
           const std::string& aName,
           const wire::dispatch_reply& aReply);

} // namespace lavender::membership
