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
/** After a window's end, for witnesses whose clocks are behind. */
constexpr milliseconds kLongestCloseLag = 5000ms;
/** A replaced agent's last answers reach their entries within this. */
constexpr milliseconds kReplacedFor = 5000ms;
/** An agent that may be cut off and come back is waited for longer. */
constexpr milliseconds kSilentFor = 30000ms;

/** Witnesses asked at the same time: asked one after another, those of a zone
 * that fell silent would make a window as late as their timeouts add up to. */
constexpr std::size_t kSideBySide = 16;

using usage::usage_account;

/** Does something for each item, several at a time; the action gets the item's
 * place. */
template<typename Action>
void
SideBySide(std::size_t aItems, const Action& aAction)
{
  std::atomic<std::size_t> next{ 0 };
  std::vector<std::thread> workers;
  for (std::size_t i = 0; i < std::min(aItems, kSideBySide); ++i) {
    workers.emplace_back([&] {
      for (auto place = next++; place < aItems; place = next++) {
        aAction(place);
      }
    });
  }
  for (auto& worker : workers) {
    worker.join();
  }
}

template<typename Item>
void
TakeAll(std::vector<Item>& aAll, std::vector<Item> aItems)
{
  std::move(aItems.begin(), aItems.end(), std::back_inserter(aAll));
}

/** Those of one agent: the lists of all agents, sent to each, would grow with
 * the square of the fleet. All of them for an agent that hasn't said yet who it
 * is, as one that was out of reach until now; it picks its own. */
std::vector<wire::superseded_run>
RunsOf(const std::string& aAgentIncarnation,
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
Ask(Pool& aPool,
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

usage::agent_offer
ToOffer(const wire::usage_reply& aReply)
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
  if (mOptions.mLetExpire && mUnansweredAt &&
      boot_clock::now() - *mUnansweredAt < mOptions.mMaximumTransitTime) {
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
      Look(*lease);
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
usage_reporter::Look(const leases::held_lease& aLease)
{
  const auto now = std::chrono::system_clock::now();
  if (mFencing != aLease.mFencing) {
    if (!mStore.Load(usage::WindowOf(now, mOptions.mWindow) - 1)) {
      return;
    }
    mFencing = aLease.mFencing;
    mMissingSince.clear();
  }
  CollectDrained();
  const milliseconds window = mOptions.mWindow;
  const auto lag = std::min(window / 4, kLongestCloseLag);
  const auto closed = usage::WindowOf(now - lag, mOptions.mWindow) - 1;
  // Windows that were missed, as in an outage, follow one by one.
  while (!IsStopping()) {
    const auto lease = mOptions.mLeases(kLease);
    if (!lease || lease->mFencing != mFencing) {
      return;
    }
    if (!mStore.Newest().mIsReported && !Report(*lease)) {
      return;
    }
    if (mStore.Newest().mWindow >= closed) {
      return;
    }
    FixNext(mStore.Newest().mWindow + 1);
    if (!mStore.Newest().mIsReported) {
      continue;
    }
    // Not fixed: another look tells more.
    mFencing = 0;
    return;
  }
}

void
usage_reporter::FixNext(std::int64_t aWindow)
{
  const auto all = Collect(aWindow);
  const auto report = usage::MakeReport(
    aWindow,
    all.mAgents,
    all.mFromEntries,
    [this](const std::string& aAgent) { return IsGone(aAgent); },
    mStore.Newest().mMarks);
  if (mStore.Fix(report)) {
    Settle();
  }
}

bool
usage_reporter::Report(const leases::held_lease& aLease)
{
  const auto& report = mStore.Newest();
  auto body = usage::DescribeFigures(report);
  body.Set("window_seconds",
           static_cast<std::int64_t>(mOptions.mWindow.count()));
  body.Set("fencing", aLease.mFencing);
  body.Set("holder", mOptions.mPlatform.mCaller);
  const auto answer =
    leases::PostUnderLease(mOptions.mPlatform,
                           "/v1/usage/" + std::to_string(report.mWindow),
                           body,
                           aLease);
  const bool isTaken = answer.mState == http::call_state::Answered &&
                       answer.mResponse.mStatus == 200;
  if (mOptions.mMetrics) {
    mOptions.mMetrics->Count("lavender_usage_reports_total",
                             { { "result", isTaken ? "done" : "unknown" } });
  }
  if (!isTaken) {
    mUnansweredAt = boot_clock::now();
    return false;
  }
  Log(log_level::Info,
      "usage",
      "Reported window=" + std::to_string(report.mWindow));
  return mStore.NoteReported();
}

usage_reporter::collection
usage_reporter::Collect(std::int64_t aThrough)
{
  collection all;
  // Entries first: what an entry has counted by now, its agent has too, and
  // what an entry repeated elsewhere is taken out by the agent.
  CollectEntries(aThrough, all);
  CollectRemainders(all);
  CollectAgents(aThrough, all);
  for (const auto& offer : all.mAgents) {
    mMissingSince.erase(offer.mIncarnation);
  }
  for (const auto& [incarnation, offer] : mDrained) {
    all.mAgents.push_back(offer);
  }
  return all;
}

void
usage_reporter::CollectAgents(std::int64_t aThrough, collection& aAll)
{
  const auto servers = mDirectory.Servers();
  std::vector<std::optional<usage::agent_offer>> offers(servers.size());
  SideBySide(servers.size(), [&](std::size_t aPlace) {
    const auto& server = servers[aPlace];
    const auto answer = Ask(*server.mConnections,
                            aThrough,
                            {},
                            RunsOf(server.mIncarnation, aAll.mSuperseded));
    if (answer.mState == wire::wire_state::Answered) {
      offers[aPlace] = ToOffer(answer.mReply);
    }
  });
  for (auto& offer : offers) {
    if (offer) {
      aAll.mAgents.push_back(std::move(*offer));
    }
  }
}

void
usage_reporter::CollectDrained()
{
  const auto& marks = mStore.Newest().mMarks;
  for (auto each = mDrained.begin(); each != mDrained.end();) {
    const auto mark = marks.mAgents.find(each->first);
    const bool isFixed = mark != marks.mAgents.end() &&
                         mark->second >= each->second.mClosedThrough;
    each = isFixed ? mDrained.erase(each) : ++each;
  }
  for (const auto& server : mDirectory.Servers()) {
    if (!server.mIsLeaving) {
      continue;
    }
    const auto answer = Ask(*server.mConnections, mStore.Newest().mWindow);
    if (answer.mState == wire::wire_state::Answered &&
        !answer.mReply.buckets.empty()) {
      mDrained[answer.mReply.incarnation] = ToOffer(answer.mReply);
    }
  }
}

void
usage_reporter::CollectEntries(std::int64_t aThrough, collection& aAll)
{
  TakeAll(aAll.mFromEntries, mOwnAccount.Buckets(aThrough));
  TakeAll(aAll.mSuperseded, mOwnAccount.Superseded());
  const auto pools = OtherEntries();
  std::vector<wire::usage_reply> told(pools.size());
  SideBySide(pools.size(), [&](std::size_t aPlace) {
    auto answer = Ask(*pools[aPlace], aThrough);
    if (answer.mState == wire::wire_state::Answered) {
      told[aPlace] = std::move(answer.mReply);
    }
  });
  for (auto& reply : told) {
    TakeAll(aAll.mFromEntries, std::move(reply.buckets));
    TakeAll(aAll.mSuperseded, std::move(reply.superseded));
  }
}

void
usage_reporter::CollectRemainders(collection& aAll)
{
  auto left = ReadRemainders(mOptions.mPlatform);
  TakeAll(aAll.mFromEntries, std::move(left.mBuckets));
  TakeAll(aAll.mSuperseded, std::move(left.mSuperseded));
}

void
usage_reporter::Settle()
{
  const auto& report = mStore.Newest();
  const auto settle = [&](auto& aPool) {
    // Asked again, since an answer taken before the fix may be older.
    const auto answer = Ask(aPool, report.mWindow);
    if (answer.mState != wire::wire_state::Answered) {
      return;
    }
    const auto included =
      usage::IncludedOf(report.mMarks, answer.mReply.buckets);
    if (!included.empty()) {
      Ask(aPool, report.mWindow, included);
    }
  };
  const auto servers = mDirectory.Servers();
  SideBySide(servers.size(), [&](std::size_t aPlace) {
    settle(*servers[aPlace].mConnections);
  });
  const auto pools = OtherEntries();
  SideBySide(pools.size(), [&](std::size_t aPlace) { settle(*pools[aPlace]); });
  mOwnAccount.Settle(
    usage::IncludedOf(report.mMarks, mOwnAccount.Buckets(report.mWindow)));
  DropRemainders(mOptions.mPlatform, report.mMarks);
}

bool
usage_reporter::IsGone(const std::string& aAgentIncarnation)
{
  const auto now = boot_clock::now();
  const auto since = mMissingSince.try_emplace(aAgentIncarnation, now);
  const auto servers = mDirectory.Servers();
  const bool mayComeBack =
    std::any_of(servers.begin(), servers.end(), [&](const auto& aServer) {
      return aServer.mIncarnation == aAgentIncarnation;
    });
  const auto wait = mayComeBack
                      ? std::max<milliseconds>(kSilentFor, 3 * mOptions.mWindow)
                      : kReplacedFor;
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
