#include "Duties/Membership/DirectoryState.h"

#include <set>

namespace lavender::membership {
namespace {

void
TakeListed(server_view& aView,
           const platform::instance& aInstance,
           const connection_maker& aMakeConnections)
{
  const bool isMoved = http::FormatEndpoint(aView.mInstance.mEndpoint) !=
                       http::FormatEndpoint(aInstance.mEndpoint);
  aView.mInstance = aInstance;
  aView.mGoneSince.reset();
  if (isMoved || !aView.mConnections) {
    // Another process answers there: nothing known of the old one holds.
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
IsToBeForgotten(const server_view& aView,
                const directory_limits& aLimits,
                time_point aNow)
{
  const auto gone = aNow - *aView.mGoneSince;
  if (gone >= aLimits.mForgetAfter) {
    return true;
  }
  return gone >= aLimits.mForgetSilentAfter &&
         JudgeHeartbeat({ aView.mLastResponseAt, aView.mLastFailedPollAt },
                        aLimits.mHeartbeat,
                        aNow) != liveness::Live;
}

/** Draining never ends within one incarnation. Answers may overtake each
 * other, so an older one must not make the agent look open again. */
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
  const auto live = JudgeHeartbeat(
    { aView.mLastResponseAt, aView.mLastFailedPollAt }, aLimits, aNow);
  if (live != liveness::Live) {
    return live == liveness::Unknown ? server_state::Unknown
                                     : server_state::Silent;
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
    case server_state::Silent:
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
      TakeListed(aState.mServers[instance.mName], instance, aMakeConnections);
    }
  }
  std::vector<std::string> names;
  for (auto item = aState.mServers.begin(); item != aState.mServers.end();) {
    auto& view = item->second;
    if (listed.count(item->first) == 0 && !view.mGoneSince) {
      view.mGoneSince = aNow;
    }
    if (view.mGoneSince && IsToBeForgotten(view, aLimits, aNow)) {
      item = aState.mServers.erase(item);
    } else {
      names.push_back(item->first);
      ++item;
    }
  }
  return names;
}

report_outcome
ApplyReport(directory_state& aState,
            const std::string& aName,
            const wire::agent_report& aReport,
            const std::shared_ptr<agent_pool>& aConnections,
            time_point aAskedAt,
            time_point aNow)
{
  const auto found = aState.mServers.find(aName);
  if (found == aState.mServers.end() ||
      found->second.mConnections != aConnections ||
      aAskedAt < found->second.mReportRequestedAt) {
    // A report that was overtaken may be a predecessor's at this address.
    return report_outcome::Outdated;
  }
  auto& view = found->second;
  if (aReport.server_name != aName) {
    // Work for this instance's pool must not go to whoever answers there now.
    view.mLastFailedPollAt = aAskedAt;
    view.mLastResponseAt.reset();
    return report_outcome::OtherInstance;
  }
  view.mIsLeaving =
    IsLeavingNow(view, aReport.agent_incarnation, aReport.draining);
  view.mIncarnation = aReport.agent_incarnation;
  view.mLoad = aReport.load;
  view.mCustomers = aReport.customers;
  view.mIsServerReachable = aReport.server_reachable;
  view.mModel = aReport.model;
  view.mWeightVersion = aReport.weight_version;
  view.mWitnessedRevision = aReport.witnessed_revision;
  view.mWitnessedFreshAge = milliseconds(aReport.witnessed_fresh_age_ms);
  view.mAgentClock = milliseconds(aReport.clock_ms);
  view.mReportRequestedAt = aAskedAt;
  view.mLastResponseAt = aNow;
  return report_outcome::Taken;
}

void
TakeSilence(directory_state& aState,
            const std::string& aName,
            time_point aAskedAt)
{
  if (const auto found = aState.mServers.find(aName);
      found != aState.mServers.end()) {
    found->second.mLastFailedPollAt = aAskedAt;
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
    // A restarted process, or a late word of its predecessor. Which of them
    // serves now, and whether it drains, is for the next report to tell.
    view.mLastResponseAt.reset();
    return;
  }
  view.mIsLeaving =
    IsLeavingNow(view, aReply.agent_incarnation, aReply.draining);
}

} // namespace lavender::membership
