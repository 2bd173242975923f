#include "Duties/Membership/ServerDirectory.h"

#include "Duties/Membership/Reachability.h"
#include "Libraries/Core/CheckedFile.h"
#include "Libraries/Core/Log.h"
#include "Libraries/Wire/Document.h"

#include <map>

namespace lavender::membership {
namespace {

constexpr const char* kListFile = "/instances";

wire::instance_list
ToMessage(const std::vector<platform::instance>& aList)
{
  wire::instance_list message;
  for (const auto& instance : aList) {
    wire::instance_record record;
    record.name = instance.mName;
    record.zone = instance.mAvailabilityZone;
    record.pool = instance.mPool;
    record.role = instance.mRole;
    record.address = http::FormatEndpoint(instance.mEndpoint);
    record.leaving = instance.mIsLeaving;
    message.instances.push_back(std::move(record));
  }
  return message;
}

std::vector<platform::instance>
FromMessage(const wire::instance_list& aMessage)
{
  std::vector<platform::instance> list;
  for (const auto& record : aMessage.instances) {
    if (const auto endpoint = http::ParseEndpoint(record.address)) {
      list.push_back({ record.name,
                       record.zone,
                       record.pool,
                       record.role,
                       *endpoint,
                       record.leaving });
    }
  }
  return list;
}

} // namespace

server_directory::server_directory(directory_options aOptions)
  : mOptions(std::move(aOptions))
  , mPolls({ mOptions.mPollInterval,
             mOptions.mPollThreads,
             std::max<std::size_t>(mOptions.mPollThreads / 4, 1),
             [this](const std::string& aName) { return PollOnce(aName); } })
{
}

server_directory::~server_directory()
{
  Stop();
}

void
server_directory::Start()
{
  LoadList();
  mPolls.Start();
  mListThread = std::thread([this] { ListLoop(); });
}

void
server_directory::Stop()
{
  {
    std::lock_guard lock(mMutex);
    mIsStopping = true;
  }
  mStopped.notify_all();
  if (mListThread.joinable()) {
    mListThread.join();
  }
  mPolls.Stop();
}

bool
server_directory::WaitOrStop(milliseconds aWait)
{
  std::unique_lock lock(mMutex);
  return mStopped.wait_for(lock, aWait, [this] { return mIsStopping; });
}

void
server_directory::ListLoop()
{
  std::string lastFailure;
  do {
    const auto list = platform::ListInstances(mOptions.mPlatform);
    if (list) {
      ApplyNewList(*list);
      SaveList(*list);
    } else if (list.mLastReason != lastFailure) {
      // The last list stays in use, because a platform outage may be long.
      Log(
        log_level::Warning,
        "membership",
        "Instance list not fetched from the platform, keeping the last one: " +
          list.mLastReason);
    }
    lastFailure = list.mLastReason;
  } while (!WaitOrStop(mOptions.mListInterval));
}

void
server_directory::ApplyNewList(const std::vector<platform::instance>& aList)
{
  std::vector<std::string> names;
  {
    std::lock_guard lock(mMutex);
    names = ApplyList(
      mState,
      aList,
      mOptions.mLimits,
      [this](const http::endpoint& aEndpoint) {
        return std::make_shared<agent_pool>(aEndpoint, mOptions.mPollTimeout);
      },
      boot_clock::now());
  }
  mPolls.SetTargets(names);
}

void
server_directory::LoadList()
{
  if (mOptions.mDataFolder.empty()) {
    return;
  }
  const auto bytes = LoadChecked(mOptions.mDataFolder + kListFile);
  const auto message =
    bytes ? wire::Decode<wire::instance_list>(*bytes) : std::nullopt;
  if (!message) {
    Log(log_level::Info,
        "membership",
        "No saved instance list loaded from the data folder: " +
          bytes.mLastReason);
    return;
  }
  ApplyNewList(FromMessage(*message));
}

void
server_directory::SaveList(const std::vector<platform::instance>& aList)
{
  if (mOptions.mDataFolder.empty()) {
    return;
  }
  auto bytes = wire::Encode(ToMessage(aList));
  if (bytes == mSavedListBytes) {
    return;
  }
  const auto failure = SaveChecked(mOptions.mDataFolder + kListFile, bytes);
  if (failure.empty()) {
    mSavedListBytes = std::move(bytes);
  } else {
    Log(log_level::Warning,
        "membership",
        "Instance list not saved to the data folder: " + failure);
  }
}

void
server_directory::CountPoll(const char* aResult)
{
  if (mOptions.mMetrics) {
    mOptions.mMetrics->Count("lavender_polls_total", { { "result", aResult } });
  }
}

poll_outcome
server_directory::PollOnce(const std::string& aName)
{
  std::shared_ptr<agent_pool> connections;
  {
    std::lock_guard lock(mMutex);
    const auto found = mState.mServers.find(aName);
    if (found == mState.mServers.end()) {
      return poll_outcome::Unresponsive;
    }
    connections = found->second.mConnections;
  }
  const auto digest = mOptions.mDigest();
  wire::entry_digest message;
  message.echo = aName;
  message.entry_incarnation = mOptions.mEntryIncarnation;
  message.configuration_revision = digest.mRevision;
  message.fresh_age_ms = digest.mVerificationAge.count();
  const auto requestedAt = boot_clock::now();
  const auto outcome = connections->Run<wire::agent_report>(
    mOptions.mPollTimeout, aName, [&](auto& aClient, auto& aReply) {
      aClient.Report(aReply, message);
    });
  if (outcome.mState != wire::wire_state::Answered) {
    // Idle connections may be broken although new ones would work.
    connections->DropIdle();
    CountPoll("silent");
    std::lock_guard lock(mMutex);
    ApplyPollFailure(mState, aName, requestedAt);
    return poll_outcome::Unresponsive;
  }
  std::unique_lock lock(mMutex);
  const auto taken = ApplyReport(
    mState, aName, outcome.mReply, connections, requestedAt, boot_clock::now());
  CountPoll(taken == apply_report_outcome::OtherInstance ? "other_instance"
                                                         : "answered");
  if (taken == apply_report_outcome::Applied && mObserver) {
    const auto changed = mState.mServers.at(aName);
    lock.unlock();
    mObserver(changed);
  }
  return poll_outcome::Answered;
}

void
server_directory::SetReportObserver(
  std::function<void(const server_view&)> aObserver)
{
  mObserver = std::move(aObserver);
}

agent_freshness
server_directory::AgentFreshness() const
{
  agent_freshness report;
  const auto now = boot_clock::now();
  std::lock_guard lock(mMutex);
  if (mState.mListedAt) {
    report.mKnown = mState.mServers.size();
  }
  for (const auto& [name, view] : mState.mServers) {
    report.mPolled += view.mLastResponseAt || view.mLastFailedPollAt ? 1 : 0;
    if (!view.mLastResponseAt) {
      continue;
    }
    if (IsReachable(view.mLastResponseAt, now) && view.mReachableSince) {
      report.mReachableSince.push_back(*view.mReachableSince);
    }
    report.mHighestChangedRevision =
      std::max(report.mHighestChangedRevision, view.mReportedRevision);
    // Computed from the time at which the request was sent, so the verification
    // is never dated too late.
    const auto verifiedAt =
      view.mReportRequestedAt - view.mReportedVerificationAge;
    report.mLatestVerifiedAt =
      std::max(report.mLatestVerifiedAt.value_or(verifiedAt), verifiedAt);
  }
  return report;
}

void
server_directory::WriteGauges(metrics::registry& aMetrics) const
{
  std::map<std::pair<std::string, std::string>, int> counts;
  const auto now = boot_clock::now();
  for (const auto& view : Servers()) {
    for (const auto state : { server_state::Live,
                              server_state::Leaving,
                              server_state::Unresponsive,
                              server_state::ServerDown,
                              server_state::Unknown }) {
      // States without servers are set to 0, so that no series keeps its
      // previous value.
      counts[{ view.mInstance.mPool, ToString(state) }] +=
        StateOf(view, mOptions.mLimits.mHeartbeat, now) == state ? 1 : 0;
    }
  }
  for (const auto& [series, count] : counts) {
    aMetrics.SetGauge("lavender_servers",
                      { { "pool", series.first }, { "state", series.second } },
                      count);
  }
}

std::vector<server_view>
server_directory::Servers() const
{
  std::lock_guard lock(mMutex);
  std::vector<server_view> views;
  views.reserve(mState.mServers.size());
  for (const auto& [name, view] : mState.mServers) {
    views.push_back(view);
  }
  return views;
}

std::vector<platform::instance>
server_directory::Entries() const
{
  std::lock_guard lock(mMutex);
  return mState.mEntries;
}

std::optional<server_view>
server_directory::Find(const std::string& aName) const
{
  std::lock_guard lock(mMutex);
  const auto found = mState.mServers.find(aName);
  if (found == mState.mServers.end()) {
    return std::nullopt;
  }
  return found->second;
}

void
server_directory::AddInFlight(const std::string& aName, int aChange)
{
  std::lock_guard lock(mMutex);
  if (const auto found = mState.mServers.find(aName);
      found != mState.mServers.end()) {
    found->second.mOwnInFlight += aChange;
  }
}

void
server_directory::ApplyReply(const std::string& aName,
                             const wire::dispatch_reply& aReply)
{
  std::lock_guard lock(mMutex);
  membership::ApplyReply(mState, aName, aReply);
}

} // namespace lavender::membership
