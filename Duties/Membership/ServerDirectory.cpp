#include "Duties/Membership/ServerDirectory.h"

#include "Libraries/Core/Log.h"

namespace lavender::membership {

server_directory::server_directory(directory_options aOptions)
  : mOptions(std::move(aOptions))
{
}

server_directory::~server_directory()
{
  Stop();
}

void
server_directory::Start()
{
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
  for (auto& [name, thread] : mPollThreads) {
    if (thread.joinable()) {
      thread.join();
    }
  }
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
  do {
    if (const auto list = platform::ListInstances(mOptions.mPlatform)) {
      TakeList(*list);
    } else {
      // The last list goes on serving: the platform may be down for long.
      Log(log_level::Warning, "membership", "No list: " + list.mLastReason);
    }
  } while (!WaitOrStop(mOptions.mListEvery));
}

void
server_directory::TakeList(const std::vector<platform::instance>& aList)
{
  std::lock_guard lock(mMutex);
  if (mIsStopping) {
    return;
  }
  std::vector<platform::instance> entries;
  for (const auto& instance : aList) {
    if (instance.mRole == "entry") {
      entries.push_back(instance);
      continue;
    }
    auto& view = mServers[instance.mName];
    const bool isMoved = http::FormatEndpoint(view.mInstance.mEndpoint) !=
                         http::FormatEndpoint(instance.mEndpoint);
    view.mInstance = instance;
    if (isMoved || !view.mConnections) {
      view.mConnections =
        std::make_shared<agent_pool>(instance.mEndpoint, mOptions.mPollTimeout);
      view.mHeardAt.reset();
      view.mIncarnation.clear();
    }
    if (mPollThreads.count(instance.mName) == 0) {
      mPollThreads[instance.mName] =
        std::thread([this, name = instance.mName] { PollLoop(name); });
    }
  }
  mEntries = std::move(entries);
}

void
server_directory::PollLoop(const std::string& aName)
{
  do {
    PollOnce(aName);
  } while (!WaitOrStop(mOptions.mPollEvery));
}

void
server_directory::PollOnce(const std::string& aName)
{
  std::shared_ptr<agent_pool> connections;
  {
    std::lock_guard lock(mMutex);
    connections = mServers[aName].mConnections;
  }
  const auto digest = mOptions.mDigest();
  wire::entry_digest message;
  message.echo = aName;
  message.entry_incarnation = mOptions.mEntryIncarnation;
  message.configuration_revision = digest.mRevision;
  message.fresh_age_ms = digest.mFreshAge.count();
  const auto askedAt = boot_clock::now();
  const auto outcome = connections->Run<wire::agent_report>(
    mOptions.mPollTimeout, aName, [&](auto& aClient, auto& aReply) {
      aClient.Report(aReply, message);
    });
  if (outcome.mState != wire::wire_state::Answered) {
    // Old connections may be dead while new ones work.
    connections->DropIdle();
    return;
  }
  const auto& report = outcome.mReply;
  std::unique_lock lock(mMutex);
  auto& view = mServers[aName];
  view.mReportedAt = askedAt;
  view.mIncarnation = report.agent_incarnation;
  view.mLoad = report.load;
  view.mIsLeaving = report.draining || view.mInstance.mIsLeaving;
  view.mIsServerReachable = report.server_reachable;
  view.mModel = report.model;
  view.mWeightVersion = report.weight_version;
  view.mWitnessedRevision = report.witnessed_revision;
  view.mWitnessedFreshAge = milliseconds(report.witnessed_fresh_age_ms);
  view.mAgentClock = milliseconds(report.clock_ms);
  view.mHeardAt = boot_clock::now();
  const auto changed = view;
  lock.unlock();
  if (mObserver) {
    mObserver(changed);
  }
}

void
server_directory::OnReport(std::function<void(const server_view&)> aObserver)
{
  mObserver = std::move(aObserver);
}

std::vector<server_view>
server_directory::Servers() const
{
  std::lock_guard lock(mMutex);
  std::vector<server_view> views;
  views.reserve(mServers.size());
  for (const auto& [name, view] : mServers) {
    views.push_back(view);
  }
  return views;
}

std::vector<platform::instance>
server_directory::Entries() const
{
  std::lock_guard lock(mMutex);
  return mEntries;
}

std::optional<server_view>
server_directory::Find(const std::string& aName) const
{
  std::lock_guard lock(mMutex);
  const auto found = mServers.find(aName);
  if (found == mServers.end()) {
    return std::nullopt;
  }
  return found->second;
}

void
server_directory::AddInFlight(const std::string& aName, int aChange)
{
  std::lock_guard lock(mMutex);
  if (const auto found = mServers.find(aName); found != mServers.end()) {
    found->second.mOwnInFlight += aChange;
  }
}

void
server_directory::TakeReply(const std::string& aName,
                            const wire::dispatch_reply& aReply)
{
  std::lock_guard lock(mMutex);
  if (const auto found = mServers.find(aName); found != mServers.end()) {
    if (found->second.mIncarnation != aReply.agent_incarnation) {
      // The new process gets requests once its report has told its clock.
      found->second.mHeardAt.reset();
    }
    found->second.mIsLeaving =
      aReply.draining || found->second.mInstance.mIsLeaving;
  }
}

} // namespace lavender::membership
