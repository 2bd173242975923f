#include "Services/Agent/AgentHandler.h"

#include "Libraries/Core/Log.h"

#include <algorithm>

namespace lavender::agent {
namespace {

using namespace std::chrono_literals;
using wire::run_state;

constexpr milliseconds kServerPollInterval = 300ms;
constexpr milliseconds kMaximumWait = 2000ms;

milliseconds
ClampWait(std::int32_t aWait)
{
  return std::clamp(milliseconds(aWait), 0ms, kMaximumWait);
}

} // namespace

agent_handler::agent_handler(identity aIdentity,
                             dispatch::backend_server aServer,
                             dispatch::agent_dispatch& aDispatch,
                             weights::versioned_backend& aWeights,
                             usage::usage_account& aUsage,
                             metrics::registry& aMetrics)
  : mIdentity(std::move(aIdentity))
  , mServer(std::move(aServer))
  , mDispatch(aDispatch)
  , mWeights(aWeights)
  , mUsage(aUsage)
  , mMetrics(aMetrics)
  , mPollThread([this] { PollServer(); })
{
}

agent_handler::~agent_handler()
{
  Stop();
}

void
agent_handler::Stop()
{
  {
    std::lock_guard lock(mMutex);
    mIsStopping = true;
  }
  mStopped.notify_all();
  if (mPollThread.joinable()) {
    mPollThread.join();
  }
}

void
agent_handler::PollServer()
{
  std::unique_lock lock(mMutex);
  while (!mIsStopping) {
    lock.unlock();
    server_state state;
    state.mLoad = dispatch::ReadLoad(mServer);
    if (mServer.mKind == dispatch::backend_kind::Engine) {
      state.mWeights = mWeights.Refresh();
    }
    state.mReadAt = boot_clock::now();
    lock.lock();
    mState = state;
    mStopped.wait_for(
      lock, kServerPollInterval, [this] { return mIsStopping; });
  }
}

bool
agent_handler::RefuseOtherIncarnation(wire::dispatch_reply& aReply,
                                      const std::string& aId,
                                      const std::string& aIncarnation)
{
  if (aIncarnation == mIdentity.mIncarnation) {
    return false;
  }
  // The call is meant for an earlier process, whose requests this one does not
  // know.
  aReply.echo = aId;
  aReply.agent_incarnation = mIdentity.mIncarnation;
  aReply.state = run_state::UNKNOWN_ID;
  aReply.reason = "other_incarnation";
  return true;
}

void
agent_handler::Dispatch(wire::dispatch_reply& aReply,
                        const wire::dispatch_order& aOrder,
                        const std::int32_t aWait)
{
  aReply = mDispatch.Dispatch(aOrder, ClampWait(aWait));
  if (aReply.state == run_state::NOT_RUN) {
    mMetrics.Count("lavender_agent_refusals_total",
                   { { "reason", aReply.reason } });
  }
}

void
agent_handler::Await(wire::dispatch_reply& aReply,
                     const std::string& aId,
                     const std::string& aIncarnation,
                     const std::int32_t aWait)
{
  if (!RefuseOtherIncarnation(aReply, aId, aIncarnation)) {
    aReply = mDispatch.Await(aId, ClampWait(aWait));
  }
}

void
agent_handler::Cancel(wire::dispatch_reply& aReply,
                      const std::string& aId,
                      const std::string& aIncarnation,
                      const std::int64_t aIssuedAt)
{
  if (!RefuseOtherIncarnation(aReply, aId, aIncarnation)) {
    aReply = mDispatch.Cancel(aId, time_point(milliseconds(aIssuedAt)));
  }
}

void
agent_handler::Report(wire::agent_report& aReport,
                      const wire::entry_digest& aDigest)
{
  const auto now = boot_clock::now();
  const auto ledgerLoad = mDispatch.Load();
  aReport.customers = mDispatch.CustomerLoads(aDigest.entry_incarnation);
  std::lock_guard lock(mMutex);
  const auto verifiedAt = now - milliseconds(aDigest.fresh_age_ms);
  if (aDigest.configuration_revision > 0) {
    mWitnessed.mRevision =
      std::max(mWitnessed.mRevision, aDigest.configuration_revision);
    mWitnessed.mVerifiedAt = std::max(mWitnessed.mVerifiedAt, verifiedAt);
  }
  aReport.echo = aDigest.echo;
  aReport.agent_incarnation = mIdentity.mIncarnation;
  aReport.server_name = mIdentity.mName;
  aReport.zone = mIdentity.mAvailabilityZone;
  aReport.pool = mIdentity.mPool;
  aReport.load = mState.mLoad.mFigures;
  aReport.load.queued = ledgerLoad.queued;
  // All requests pass through the ledger, so its count is exact. The server's
  // own figure lags and would show a burst long after its end.
  aReport.load.running = ledgerLoad.running;
  if (ledgerLoad.tokens_per_second > 0) {
    aReport.load.tokens_per_second = ledgerLoad.tokens_per_second;
  }
  aReport.load.slots = ledgerLoad.slots;
  aReport.load.queue_delay_ms = ledgerLoad.queue_delay_ms;
  aReport.load.age_ms =
    std::chrono::duration_cast<milliseconds>(now - mState.mReadAt).count();
  aReport.draining = mDispatch.IsDraining();
  aReport.model = mState.mWeights.mModel;
  aReport.weight_version = mState.mWeights.mVersion;
  aReport.witnessed_revision = mWitnessed.mRevision;
  aReport.witnessed_fresh_age_ms =
    std::chrono::duration_cast<milliseconds>(now - mWitnessed.mVerifiedAt)
      .count();
  aReport.clock_ms =
    std::chrono::duration_cast<milliseconds>(now.time_since_epoch()).count();
  aReport.server_reachable = mState.mLoad.mIsReachable;
}

void
agent_handler::Swap(wire::swap_reply& aReply, const wire::swap_order& aOrder)
{
  aReply = mWeights.QueueSwap(aOrder);
}

void
agent_handler::CollectUsage(wire::usage_reply& aReply,
                            const wire::usage_query& aQuery)
{
  aReply.echo = aQuery.echo;
  aReply.incarnation = mIdentity.mIncarnation;
  mUsage.Settle(aQuery.settled);
  mUsage.RemoveSupersededRuns(mIdentity.mIncarnation, aQuery.superseded);
  // A drained agent counts no more usage, so it reports the open window too.
  const bool isDrained =
    mDispatch.IsDraining() && mDispatch.PendingRequestCount() == 0;
  const auto open =
    usage::WindowOf(std::chrono::system_clock::now(), mIdentity.mUsageWindow);
  aReply.closed_through =
    mUsage.Close(isDrained ? open : std::min(aQuery.through_window, open - 1));
  aReply.buckets = mUsage.Buckets(isDrained ? open : aQuery.through_window);
}

void
agent_handler::Drain(wire::drain_reply& aReply, const wire::drain_order& aOrder)
{
  aReply.echo = aOrder.echo;
  {
    std::lock_guard lock(mMutex);
    if (aOrder.fencing < mHighestDrainFencing) {
      // An entry whose lease has expired must not drain a server that the next
      // lease holder keeps in use.
      mMetrics.Count("lavender_agent_refusals_total",
                     { { "reason", "old_fencing_number" } });
      return;
    }
    mHighestDrainFencing = aOrder.fencing;
  }
  if (!mDispatch.IsDraining()) {
    Log(
      log_level::Info, "agent", "Drain ordered by an entry: " + aOrder.reason);
  }
  mDispatch.StartDrain();
  aReply.draining = true;
  aReply.requests_left =
    static_cast<std::int32_t>(mDispatch.PendingRequestCount());
}

} // namespace lavender::agent
