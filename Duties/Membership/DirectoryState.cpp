#include "Duties/Membership/DirectoryState.h"

#include "Duties/Membership/Reachability.h"

#include <set>

namespace lavender::membership {
namespace {

void
ApplyInstance(server_view& aView,
              const platform::instance& aInstance,
              const connection_maker& aMakeConnections)
{
  const bool isMoved = http::FormatEndpoint(aView.mInstance.mEndpoint) !=
                       http::FormatEndpoint(aInstance.mEndpoint);
  aView.mInstance = aInstance;
  aView.mUnlistedSince.reset();
  if (isMoved || !aView.mConnections) {
    // The instance has a new address, so a new process runs there and the state
    // of the old one is invalid.
    aView.mConnections = aMakeConnections(aInstance.mEndpoint);
    aView.mLastResponseAt.reset();
    aView.mLastFailedPollAt.reset();
    aView.mReportRequestedAt = {};
    aView.mIncarnation.clear();
    aView.mIsLeaving = false;
  }
  aView.mIsLeaving = aView.mIsLeaving || aInstance.mIsLeaving;
}

bool
IsExpired(const server_view& aView,
          const directory_limits& aLimits,
          time_point aNow)
{
  const auto unlistedFor = aNow - *aView.mUnlistedSince;
  if (unlistedFor >= aLimits.mRemoveAfter) {
    return true;
  }
  return unlistedFor >= aLimits.mRemoveUnresponsiveAfter &&
         EvaluateHeartbeat({ aView.mLastResponseAt, aView.mLastFailedPollAt },
                           aLimits.mHeartbeat,
                           aNow) != liveness::Live;
}

/** An incarnation that drains never stops draining. Answers may arrive out of
 * order, so an older answer must not reset the flag. */
bool
IsLeavingNow(const server_view& aView,
             const std::string& aIncarnation,
             bool aIsDraining)
{
  return aIsDraining || aView.mInstance.mIsLeaving ||
         (aView.mIncarnation == aIncarnation && aView.mIsLeaving);
}

} // namespace

server_state
StateOf(const server_view& aView,
        const heartbeat_limits& aLimits,
        time_point aNow)
{
  const auto live = EvaluateHeartbeat(
    { aView.mLastResponseAt, aView.mLastFailedPollAt }, aLimits, aNow);
  if (live != liveness::Live) {
    return live == liveness::Unknown ? server_state::Unknown
                                     : server_state::Unresponsive;
  }
  if (aView.mIsLeaving || aView.mInstance.mIsLeaving) {
    return server_state::Leaving;
  }
  return aView.mIsServerReachable ? server_state::Live
                                  : server_state::ServerDown;
}

const char*
ToString(server_state aState)
{
  switch (aState) {
    case server_state::Live:
      return "live";
    case server_state::Leaving:
      return "leaving";
    case server_state::Unresponsive:
      return "silent";
    case server_state::ServerDown:
      return "server_down";
    case server_state::Unknown:
      break;
  }
  return "unknown";
}

std::vector<std::string>
ApplyList(directory_state& aState,
          const std::vector<platform::instance>& aList,
          const directory_limits& aLimits,
          const connection_maker& aMakeConnections,
          time_point aNow)
{
  aState.mListedAt = aNow;
  aState.mEntries.clear();
  std::set<std::string> listed;
  for (const auto& instance : aList) {
    if (instance.mRole == "entry") {
      aState.mEntries.push_back(instance);
    } else {
      listed.insert(instance.mName);
      ApplyInstance(
        aState.mServers[instance.mName], instance, aMakeConnections);
    }
  }
  std::vector<std::string> names;
  for (auto item = aState.mServers.begin(); item != aState.mServers.end();) {
    auto& view = item->second;
    if (listed.count(item->first) == 0 && !view.mUnlistedSince) {
      view.mUnlistedSince = aNow;
    }
    if (view.mUnlistedSince && IsExpired(view, aLimits, aNow)) {
      item = aState.mServers.erase(item);
    } else {
      names.push_back(item->first);
      ++item;
    }
  }
  return names;
}

apply_report_outcome
ApplyReport(directory_state& aState,
            const std::string& aName,
            const wire::agent_report& aReport,
            const std::shared_ptr<agent_pool>& aConnections,
            time_point aRequestedAt,
            time_point aNow)
{
  const auto found = aState.mServers.find(aName);
  if (found == aState.mServers.end() ||
      found->second.mConnections != aConnections ||
      aRequestedAt < found->second.mReportRequestedAt) {
    // A report that arrives out of order may come from a previous process at
    // this address.
    return apply_report_outcome::Outdated;
  }
  auto& view = found->second;
  if (aReport.server_name != aName) {
    // Requests for this instance's pool must not be sent to the other instance
    // that now uses its address.
    view.mLastFailedPollAt = aRequestedAt;
    view.mLastResponseAt.reset();
    return apply_report_outcome::OtherInstance;
  }
  view.mIsLeaving =
    IsLeavingNow(view, aReport.agent_incarnation, aReport.draining);
  view.mIncarnation = aReport.agent_incarnation;
  view.mLoad = aReport.load;
  view.mCustomers = aReport.customers;
  view.mIsServerReachable = aReport.server_reachable;
  view.mModel = aReport.model;
  view.mWeightVersion = aReport.weight_version;
  view.mReportedRevision = aReport.witnessed_revision;
  view.mReportedVerificationAge = milliseconds(aReport.witnessed_fresh_age_ms);
  view.mAgentClock = milliseconds(aReport.clock_ms);
  view.mReportRequestedAt = aRequestedAt;
  view.mReachableSince =
    ReachableSince(view.mReachableSince, view.mLastResponseAt, aNow);
  view.mLastResponseAt = aNow;
  return apply_report_outcome::Applied;
}

void
ApplyPollFailure(directory_state& aState,
                 const std::string& aName,
                 time_point aRequestedAt)
{
  if (const auto found = aState.mServers.find(aName);
      found != aState.mServers.end()) {
    found->second.mLastFailedPollAt = aRequestedAt;
  }
}

void
ApplyReply(directory_state& aState,
           const std::string& aName,
           const wire::dispatch_reply& aReply)
{
  const auto found = aState.mServers.find(aName);
  if (found == aState.mServers.end()) {
    return;
  }
  auto& view = found->second;
  if (view.mIncarnation != aReply.agent_incarnation) {
    // The response comes from a restarted agent, or is a late one from its
    // predecessor. The next report shows which incarnation runs now and whether
    // it drains.
    view.mLastResponseAt.reset();
    return;
  }
  view.mIsLeaving =
    IsLeavingNow(view, aReply.agent_incarnation, aReply.draining);
}

} // namespace lavender::membership
