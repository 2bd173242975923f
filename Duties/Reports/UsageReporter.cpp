#include "Duties/Reports/UsageReporter.h"

#include "Duties/Leases/GuardedPost.h"
#include "Duties/Reports/Remainder.h"
#include "Libraries/Core/Log.h"

#include <algorithm>
#include <atomic>

namespace lavender::reports {
namespace {

using namespace std::chrono_literals;

constexpr char kLease[] = "usage";
constexpr milliseconds kCallTimeout = 1000ms;
/** Maximum delay between the end of a window and its closing, for agents and
 * entries whose clocks are behind. */
constexpr milliseconds kMaximumCloseDelay = 5000ms;
/** Time within which the last responses of a replaced agent reach their
 * entries. */
constexpr milliseconds kReplacedAgentWait = 5000ms;
/** Minimum wait for an agent that is still listed, because it may be cut off
 * temporarily. */
constexpr milliseconds kUnresponsiveAgentWait = 30000ms;

/** Number of agents or entries that are queried concurrently. With sequential
 * queries, the timeouts of an unresponsive availability zone would add up and
 * delay the report of a window. */
constexpr std::size_t kMaximumConcurrentQueries = 16;

using usage::usage_account;

/** Calls aAction with each index below aItems, from several threads. */
template<typename Action>
void
ForEachConcurrently(std::size_t aItems, const Action& aAction)
{
  std::atomic<std::size_t> next{ 0 };
  std::vector<std::thread> workers;
  for (std::size_t i = 0; i < std::min(aItems, kMaximumConcurrentQueries);
       ++i) {
    workers.emplace_back([&] {
      for (auto index = next++; index < aItems; index = next++) {
        aAction(index);
      }
    });
  }
  for (auto& worker : workers) {
    worker.join();
  }
}

template<typename Item>
void
AppendAll(std::vector<Item>& aAll, std::vector<Item> aItems)
{
  std::move(aItems.begin(), aItems.end(), std::back_inserter(aAll));
}

/** Selects the runs of one agent, because sending all runs to every agent would
 * take traffic quadratic in the size of the fleet. Returns all runs when the
 * incarnation is unknown, as for an agent that was unreachable until now; the
 * agent then selects its own. */
std::vector<wire::superseded_run>
RunsOfAgent(const std::string& aAgentIncarnation,
            const std::vector<wire::superseded_run>& aRuns)
{
  std::vector<wire::superseded_run> own;
  std::copy_if(
    aRuns.begin(), aRuns.end(), std::back_inserter(own), [&](const auto& aRun) {
      return aAgentIncarnation.empty() ||
             aRun.agent_incarnation == aAgentIncarnation;
    });
  return own;
}

template<typename Pool>
wire::wire_result<wire::usage_reply>
QueryUsage(Pool& aPool,
           std::int64_t aThrough,
           const std::vector<wire::usage_bucket>& aSettled = {},
           const std::vector<wire::superseded_run>& aSuperseded = {})
{
  wire::usage_query query;
  query.echo = "usage" + std::to_string(aThrough);
  query.through_window = aThrough;
  query.settled = aSettled;
  query.superseded = aSuperseded;
  return aPool.template Run<wire::usage_reply>(
    kCallTimeout, query.echo, [&](auto& aClient, auto& aReply) {
      aClient.CollectUsage(aReply, query);
    });
}

usage::agent_usage
ToAgentUsage(const wire::usage_reply& aReply)
{
  return { aReply.incarnation, aReply.closed_through, aReply.buckets };
}

} // namespace

usage_reporter::usage_reporter(reporter_options aOptions,
                               membership::server_directory& aDirectory,
                               usage_account& aOwnAccount)
  : mOptions(std::move(aOptions))
  , mDirectory(aDirectory)
  , mOwnAccount(aOwnAccount)
  , mStore(mOptions.mPlatform)
{
}

usage_reporter::~usage_reporter()
{
  Stop();
}

void
usage_reporter::Start()
{
  mThread = std::thread([this] { Run(); });
}

void
usage_reporter::Stop()
{
  {
    std::lock_guard lock(mMutex);
    mIsStopping = true;
  }
  mStopped.notify_all();
  if (mThread.joinable()) {
    mThread.join();
  }
  if (mOptions.mLetExpire && mLastUnansweredAt &&
      boot_clock::now() - *mLastUnansweredAt < mOptions.mMaximumTransitTime) {
    mOptions.mLetExpire(kLease);
  }
}

void
usage_reporter::Run()
{
  std::unique_lock lock(mMutex);
  while (!mIsStopping) {
    lock.unlock();
    if (const auto lease = mOptions.mLeases(kLease)) {
      CheckWindows(*lease);
    }
    lock.lock();
    mStopped.wait_for(
      lock, mOptions.mCheckInterval, [this] { return mIsStopping; });
  }
}

bool
usage_reporter::IsStopping()
{
  std::lock_guard lock(mMutex);
  return mIsStopping;
}

void
usage_reporter::CheckWindows(const leases::held_lease& aLease)
{
  const auto now = std::chrono::system_clock::now();
  if (mFencing != aLease.mFencing) {
    if (!mStore.Load(usage::WindowOf(now, mOptions.mWindow) - 1)) {
      return;
    }
    mFencing = aLease.mFencing;
    mUnansweredSince.clear();
  }
  CollectDrainingAgents();
  const milliseconds window = mOptions.mWindow;
  const auto closeDelay = std::min(window / 4, kMaximumCloseDelay);
  const auto closed = usage::WindowOf(now - closeDelay, mOptions.mWindow) - 1;
  // Windows that were missed, as during an outage, are reported in order.
  while (!IsStopping()) {
    const auto lease = mOptions.mLeases(kLease);
    if (!lease || lease->mFencing != mFencing) {
      return;
    }
    if (!mStore.Newest().mIsReported && !SendNewest(*lease)) {
      return;
    }
    if (mStore.Newest().mWindow >= closed) {
      return;
    }
    StoreNext(mStore.Newest().mWindow + 1);
    if (!mStore.Newest().mIsReported) {
      continue;
    }
    // The window wasn't stored. The next check loads the newest one again.
    mFencing = 0;
    return;
  }
}

void
usage_reporter::StoreNext(std::int64_t aWindow)
{
  const auto all = Collect(aWindow);
  const auto report = usage::BuildReport(
    aWindow,
    all.mAgents,
    all.mFromEntries,
    [this](const std::string& aAgent) { return HasTerminated(aAgent); },
    mStore.Newest().mMarks);
  if (mStore.Store(report)) {
    Settle();
  }
}

bool
usage_reporter::SendNewest(const leases::held_lease& aLease)
{
  const auto& report = mStore.Newest();
  auto body = usage::ToIntakeJson(report);
  body.Set("window_seconds",
           static_cast<std::int64_t>(mOptions.mWindow.count()));
  body.Set("fencing", aLease.mFencing);
  body.Set("holder", mOptions.mPlatform.mCaller);
  const auto response =
    leases::PostUnderLease(mOptions.mPlatform,
                           "/v1/usage/" + std::to_string(report.mWindow),
                           body,
                           aLease);
  const bool isAccepted = response.mState == http::call_state::Answered &&
                          response.mResponse.mStatus == 200;
  if (mOptions.mMetrics) {
    mOptions.mMetrics->Count("lavender_usage_reports_total",
                             { { "result", isAccepted ? "done" : "unknown" } });
  }
  if (!isAccepted) {
    mLastUnansweredAt = boot_clock::now();
    return false;
  }
  Log(log_level::Info,
      "usage",
      "Usage report accepted by the platform: window=" +
        std::to_string(report.mWindow));
  return mStore.MarkReported();
}

usage_reporter::collection
usage_reporter::Collect(std::int64_t aThrough)
{
  collection all;
  // Entries are queried before agents: a run that an entry has counted by then
  // is also counted by its agent, and the agents learn which runs the entries
  // have repeated and must be removed.
  CollectEntries(aThrough, all);
  CollectRemainders(all);
  CollectAgents(aThrough, all);
  for (const auto& agentUsage : all.mAgents) {
    mUnansweredSince.erase(agentUsage.mIncarnation);
  }
  for (const auto& [incarnation, agentUsage] : mDrainingAgents) {
    all.mAgents.push_back(agentUsage);
  }
  return all;
}

void
usage_reporter::CollectAgents(std::int64_t aThrough, collection& aAll)
{
  const auto servers = mDirectory.Servers();
  std::vector<std::optional<usage::agent_usage>> agentUsages(servers.size());
  ForEachConcurrently(servers.size(), [&](std::size_t aIndex) {
    const auto& server = servers[aIndex];
    const auto response =
      QueryUsage(*server.mConnections,
                 aThrough,
                 {},
                 RunsOfAgent(server.mIncarnation, aAll.mSuperseded));
    if (response.mState == wire::wire_state::Answered) {
      agentUsages[aIndex] = ToAgentUsage(response.mReply);
    }
  });
  for (auto& agentUsage : agentUsages) {
    if (agentUsage) {
      aAll.mAgents.push_back(std::move(*agentUsage));
    }
  }
}

void
usage_reporter::CollectDrainingAgents()
{
  const auto& marks = mStore.Newest().mMarks;
  for (auto each = mDrainingAgents.begin(); each != mDrainingAgents.end();) {
    const auto mark = marks.mAgents.find(each->first);
    const bool isIncluded = mark != marks.mAgents.end() &&
                            mark->second >= each->second.mClosedThrough;
    each = isIncluded ? mDrainingAgents.erase(each) : ++each;
  }
  for (const auto& server : mDirectory.Servers()) {
    if (!server.mIsLeaving) {
      continue;
    }
    const auto response =
      QueryUsage(*server.mConnections, mStore.Newest().mWindow);
    if (response.mState == wire::wire_state::Answered &&
        !response.mReply.buckets.empty()) {
      mDrainingAgents[response.mReply.incarnation] =
        ToAgentUsage(response.mReply);
    }
  }
}

void
usage_reporter::CollectEntries(std::int64_t aThrough, collection& aAll)
{
  AppendAll(aAll.mFromEntries, mOwnAccount.Buckets(aThrough));
  AppendAll(aAll.mSuperseded, mOwnAccount.Superseded());
  const auto pools = OtherEntries();
  std::vector<wire::usage_reply> replies(pools.size());
  ForEachConcurrently(pools.size(), [&](std::size_t aIndex) {
    auto response = QueryUsage(*pools[aIndex], aThrough);
    if (response.mState == wire::wire_state::Answered) {
      replies[aIndex] = std::move(response.mReply);
    }
  });
  for (auto& reply : replies) {
    AppendAll(aAll.mFromEntries, std::move(reply.buckets));
    AppendAll(aAll.mSuperseded, std::move(reply.superseded));
  }
}

void
usage_reporter::CollectRemainders(collection& aAll)
{
  auto left = ReadRemainders(mOptions.mPlatform);
  AppendAll(aAll.mFromEntries, std::move(left.mBuckets));
  AppendAll(aAll.mSuperseded, std::move(left.mSuperseded));
}

void
usage_reporter::Settle()
{
  const auto& report = mStore.Newest();
  const auto settle = [&](auto& aPool) {
    // Queried again, because the responses received before the report was
    // stored may be outdated.
    const auto response = QueryUsage(aPool, report.mWindow);
    if (response.mState != wire::wire_state::Answered) {
      return;
    }
    const auto included =
      usage::IncludedBuckets(report.mMarks, response.mReply.buckets);
    if (!included.empty()) {
      QueryUsage(aPool, report.mWindow, included);
    }
  };
  const auto servers = mDirectory.Servers();
  ForEachConcurrently(servers.size(), [&](std::size_t aIndex) {
    settle(*servers[aIndex].mConnections);
  });
  const auto pools = OtherEntries();
  ForEachConcurrently(pools.size(),
                      [&](std::size_t aIndex) { settle(*pools[aIndex]); });
  mOwnAccount.Settle(
    usage::IncludedBuckets(report.mMarks, mOwnAccount.Buckets(report.mWindow)));
  DropRemainders(mOptions.mPlatform, report.mMarks);
}

bool
usage_reporter::HasTerminated(const std::string& aAgentIncarnation)
{
  const auto now = boot_clock::now();
  const auto since = mUnansweredSince.try_emplace(aAgentIncarnation, now);
  const auto servers = mDirectory.Servers();
  const bool mayComeBack =
    std::any_of(servers.begin(), servers.end(), [&](const auto& aServer) {
      return aServer.mIncarnation == aAgentIncarnation;
    });
  const auto wait = mayComeBack ? std::max<milliseconds>(kUnresponsiveAgentWait,
                                                         3 * mOptions.mWindow)
                                : kReplacedAgentWait;
  return now - since.first->second >= wait;
}

std::vector<usage_reporter::entry_pool*>
usage_reporter::OtherEntries()
{
  std::vector<entry_pool*> pools;
  for (const auto& entry : mDirectory.Entries()) {
    if (entry.mName == mOptions.mEntryName) {
      continue;
    }
    auto& pool = mPools[http::FormatEndpoint(entry.mEndpoint)];
    if (!pool) {
      pool = std::make_unique<entry_pool>(entry.mEndpoint, kCallTimeout);
    }
    pools.push_back(pool.get());
  }
  return pools;
}

} // namespace lavender::reports
