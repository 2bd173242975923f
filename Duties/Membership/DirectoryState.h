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

/** Which backend servers exist, and what is known of each. */
namespace lavender::membership {

using agent_pool = wire::connection_pool<wire::agent_serviceClient>;

/** What an entry knows of one backend server. */
struct server_view
{
  platform::instance mInstance;
  /** Of the agent that answered last; empty before the first answer. */
  std::string mIncarnation;
  wire::load_figures mLoad;
  /** Customers with requests on the server, over all entries. */
  std::vector<wire::customer_load> mCustomers;
  /** The agent said so, or the platform's list does. */
  bool mIsLeaving = false;
  bool mIsServerReachable = false;
  std::string mModel;
  std::int64_t mWeightVersion = 0;
  std::int64_t mWitnessedRevision = 0;
  milliseconds mWitnessedFreshAge{ 0 };
  std::optional<time_point> mLastResponseAt;
  /** Start of the last poll that got no answer. */
  std::optional<time_point> mLastFailedPollAt;
  /** When the last answered poll left: its report is no older. */
  time_point mReportRequestedAt;
  /** The agent's clock when the entry heard from it at mLastResponseAt. */
  milliseconds mAgentClock{ 0 };
  /** Last list that didn't name the instance any more, from its first on. */
  std::optional<time_point> mGoneSince;
  /** Requests that this entry sent and has no answer to. */
  int mOwnInFlight = 0;
  std::shared_ptr<agent_pool> mConnections;
};

struct directory_state
{
  std::map<std::string, server_view> mServers;
  std::vector<platform::instance> mEntries;
  /** None before the first list. */
  std::optional<time_point> mListedAt;
};

struct directory_limits
{
  heartbeat_limits mHeartbeat;
  /** An instance that is gone from the list is forgotten after this when it
   * is silent too: the list may be wrong for a moment. */
  milliseconds mForgetSilentAfter{ 5000 };
  /** The same for one that goes on answering. */
  milliseconds mForgetAfter{ 60000 };
};

enum class server_state
{
  /** Takes new work. */
  Live,
  /** Gets no new work; what it has goes on. */
  Leaving,
  /** Its agent gave no answer for too long. */
  Silent,
  /** Its agent answers, the server behind doesn't. */
  ServerDown,
  /** Not heard yet. */
  Unknown
};

server_state
StateOf(const server_view& aView,
        const heartbeat_limits& aLimits,
        time_point aNow);

/** Word for logs, metrics and status. */
const char*
ToString(server_state aState);

using connection_maker =
  std::function<std::shared_ptr<agent_pool>(const http::endpoint&)>;

/** Takes the platform's list, which lags, and forgets instances that have
 * been gone for long.
 * @return names of the servers that are known now */
std::vector<std::string>
ApplyList(directory_state& aState,
          const std::vector<platform::instance>& aList,
          const directory_limits& aLimits,
          const connection_maker& aMakeConnections,
          time_point aNow);

enum class report_outcome
{
  Taken,
  /** The instance moved or was forgotten while it was asked. */
  Outdated,
  /** Another instance has been given the address. */
  OtherInstance
};

/** Takes an agent's report.
 * @param aConnections that the report came on
 * @param aAskedAt when the poll left */
report_outcome
ApplyReport(directory_state& aState,
            const std::string& aName,
            const wire::agent_report& aReport,
            const std::shared_ptr<agent_pool>& aConnections,
            time_point aAskedAt,
            time_point aNow);

/** Notes that a poll got no answer. */
void
TakeSilence(directory_state& aState,
            const std::string& aName,
            time_point aAskedAt);

/** Takes what any reply told of its agent. */
void
ApplyReply(directory_state& aState,
           const std::string& aName,
           const wire::dispatch_reply& aReply);

} // namespace lavender::membership
