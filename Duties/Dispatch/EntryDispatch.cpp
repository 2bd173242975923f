#include "Duties/Dispatch/EntryDispatch.h"

#include "Duties/Dispatch/RetryDecision.h"
#include "Libraries/Core/Log.h"
#include "Libraries/Core/ScopeGuard.h"

#include <algorithm>
#include <thread>

namespace lavender::dispatch {
namespace {

using membership::server_view;
using wire::wire_state;
using namespace std::chrono_literals;

constexpr membership::heartbeat_limits kHeartbeatLimits;
constexpr milliseconds kDefaultRetryAfter = 1000ms;
/** Upper bound of the drift between the entry's and the agent's clock between
 * two reports of the agent. */
constexpr milliseconds kClockMargin = 10ms;

milliseconds
TimeLeft(time_point aDeadline)
{
  return std::chrono::duration_cast<milliseconds>(aDeadline -
                                                  boot_clock::now());
}

wire::dispatch_order
ToOrder(const call& aCall,
        const attempt_ticket& aTicket,
        const std::string& aEntryIncarnation)
{
  wire::dispatch_order order;
  order.request_id = aTicket.mId;
  order.agent_incarnation = aTicket.mIncarnation;
  order.issued_at_ms = aTicket.mIssuedAt.count();
  order.entry_incarnation = aEntryIncarnation;
  order.customer = aCall.mCustomer;
  order.key_id = aCall.mKeyId;
  order.operation = aCall.mOperation;
  order.payload = aCall.mPayload;
  order.weight = aCall.mWeight;
  order.cost_tokens = aCall.mCostTokens;
  order.deadline_left_ms = TimeLeft(aCall.mDeadline).count();
  order.repeatable = aCall.mIsRepeatable;
  order.priority = aCall.mPriority;
  order.oldest_weight_version = aCall.mOldestWeightVersion;
  order.method = aCall.mMethod;
  order.path = aCall.mPath;
  return order;
}

call_outcome
Refuse(ran aRan, std::string aReason)
{
  call_outcome outcome;
  outcome.mRan = aRan;
  outcome.mReason = std::move(aReason);
  outcome.mRetryAfter = kDefaultRetryAfter;
  return outcome;
}

bool
IsUsable(const server_view& aServer, time_point aNow)
{
  return membership::StateOf(aServer, kHeartbeatLimits, aNow) ==
         membership::server_state::Live;
}

/** What the outcome of an attempt says about the server's health. */
routing::evidence
EvidenceOf(const call_outcome& aOutcome)
{
  constexpr int kServerError = 500;
  if (aOutcome.mRan == ran::Ran) {
    return aOutcome.mResult.http_status >= kServerError
             ? routing::evidence::Failure
             : routing::evidence::Success;
  }
  if (aOutcome.mRan == ran::NotRun) {
    return aOutcome.mReason == "server_unreachable"
             ? routing::evidence::Failure
             : routing::evidence::Neutral;
  }
  // Other unknown outcomes, such as the caller's deadline or a revoked key,
  // aren't caused by the server.
  return aOutcome.mReason == "server_silent" ||
             aOutcome.mReason == "answer_cut_short"
           ? routing::evidence::Failure
           : routing::evidence::Neutral;
}

} // namespace

entry_dispatch::entry_dispatch(entry_dispatch_options aOptions,
                               membership::server_directory& aDirectory,
                               metrics::registry& aMetrics)
  : mOptions(std::move(aOptions))
  , mDirectory(aDirectory)
  , mMetrics(aMetrics)
  , mRandom(std::random_device()())
{
  mBudget.mLimits = mOptions.mRetryBudget;
  mDirectory.SetReportObserver(
    [this](const server_view& aServer) { ApplyReport(aServer); });
}

void
entry_dispatch::ApplyDemand(const server_view& aServer)
{
  std::vector<admission::customer_load> rows;
  for (const auto& load : aServer.mCustomers) {
    rows.push_back({ load.customer, load.in_flight, load.own });
  }
  std::lock_guard lock(mDemandMutex);
  admission::ApplyAgentLoads(
    mDemand, aServer.mInstance.mName, std::move(rows), boot_clock::now());
}

admission::customer_demand
entry_dispatch::DemandOf(const std::string& aCustomer) const
{
  std::lock_guard lock(mDemandMutex);
  return admission::DemandOf(mDemand, aCustomer);
}

void
entry_dispatch::ApplyReport(const server_view& aServer)
{
  routing::server_report report;
  report.mName = aServer.mInstance.mName;
  report.mAvailabilityZone = aServer.mInstance.mAvailabilityZone;
  report.mSlots = aServer.mLoad.slots;
  report.mRequests = aServer.mLoad.queued + aServer.mLoad.running;
  report.mTokensPerSecond = aServer.mLoad.tokens_per_second;
  report.mAcceptsRequests = IsUsable(aServer, boot_clock::now());
  report.mGeneratedAt = aServer.mReportRequestedAt;
  report.mCachedPrefixes = aServer.mLoad.cached_prefixes;
  ApplyDemand(aServer);
  std::lock_guard lock(mRoutingMutex);
  auto [table, isNew] = mRoutingTables.try_emplace(aServer.mInstance.mPool);
  if (isNew) {
    table->second.mLimits = mOptions.mRouting;
  }
  routing::ApplyReport(table->second, report, boot_clock::now());
}

std::optional<server_view>
entry_dispatch::SelectServer(const std::string& aPool,
                             const std::vector<std::string>& aExcluded,
                             std::int64_t aPrefix)
{
  const routing::route_request request{
    aPrefix, mOptions.mLocalZone, aExcluded, nullptr
  };
  while (true) {
    std::optional<std::string> chosen;
    {
      std::lock_guard lock(mRoutingMutex);
      const auto table = mRoutingTables.find(aPool);
      if (table != mRoutingTables.end()) {
        chosen = routing::ChooseServer(
          table->second, request, mRandom, boot_clock::now());
      }
    }
    if (!chosen) {
      return std::nullopt;
    }
    auto server = mDirectory.Find(*chosen);
    if (server && server->mInstance.mPool == aPool &&
        IsUsable(*server, boot_clock::now())) {
      return server;
    }
    // The server has left or stopped responding since its report. Each
    // iteration excludes one server, so the loop ends.
    std::lock_guard lock(mRoutingMutex);
    routing::MarkUnavailable(mRoutingTables.at(aPool), *chosen);
  }
}

void
entry_dispatch::ApplyRequestCount(const std::string& aPool,
                                  const std::string& aServer,
                                  const wire::load_figures& aLoad)
{
  // A request sent this shortly before the reply arrived may not have reached
  // the agent when it replied, and counts as not included in the figures.
  constexpr milliseconds kTransitTime = 1ms;
  const auto madeAt = boot_clock::now() - kTransitTime;
  std::lock_guard lock(mRoutingMutex);
  if (const auto table = mRoutingTables.find(aPool);
      table != mRoutingTables.end()) {
    routing::ApplyRequestCount(
      table->second, aServer, aLoad.queued + aLoad.running, madeAt);
  }
}

void
entry_dispatch::RecordAttemptEnd(const call& aCall,
                                 const std::string& aServer,
                                 time_point aSentAt,
                                 const call_outcome& aOutcome)
{
  std::lock_guard lock(mRoutingMutex);
  if (const auto table = mRoutingTables.find(aCall.mPool);
      table != mRoutingTables.end()) {
    routing::RecordEnd(
      table->second, aServer, aSentAt, EvidenceOf(aOutcome), boot_clock::now());
  }
}

call_outcome
entry_dispatch::Run(const call& aCall)
{
  std::vector<std::string> tried;
  call_progress progress;
  progress.mIsRepeatable = aCall.mIsRepeatable;
  progress.mMaximumAttempts = mOptions.mMaximumAttempts;
  auto outcome = Refuse(ran::NotRun, "no_server");
  CountFirstAttempt();
  while (true) {
    if (TimeLeft(aCall.mDeadline) <= 0ms) {
      return FinalOutcome(progress, Refuse(ran::NotRun, kDeadline));
    }
    const auto server = SelectServer(aCall.mPool, tried, aCall.mPrefix);
    if (!server) {
      return FinalOutcome(progress, std::move(outcome));
    }
    const auto number = std::to_string(progress.mAttempts + 1);
    const auto ticket = Issue(aCall.mRequestId + "." + number, *server);
    outcome = Attempt(aCall, ticket);
    const bool mayRetry = ApplyAttemptOutcome(progress, outcome);
    const bool isStopped = aCall.mStopReason && !aCall.mStopReason().empty();
    if (!mayRetry || isStopped || !TryConsumeRetry(outcome.mReason)) {
      return FinalOutcome(progress, std::move(outcome));
    }
    if (outcome.mRan == ran::OutcomeUnknown && mOptions.mOnSuperseded) {
      mOptions.mOnSuperseded(ticket);
    }
    tried.push_back(server->mInstance.mName);
  }
}

void
entry_dispatch::CountFirstAttempt()
{
  std::lock_guard lock(mBudgetMutex);
  dispatch::CountFirstAttempt(mBudget, boot_clock::now());
}

bool
entry_dispatch::TryConsumeRetry(const std::string& aReason)
{
  bool isAllowed = false;
  {
    std::lock_guard lock(mBudgetMutex);
    isAllowed = dispatch::TryConsumeRetry(mBudget, boot_clock::now());
  }
  mMetrics.Count(isAllowed ? "lavender_retries_total"
                           : "lavender_retries_refused_total",
                 { { "reason", aReason } });
  return isAllowed;
}

attempt_ticket
entry_dispatch::Issue(const std::string& aAttemptId,
                      const server_view& aServer) const
{
  // The agent read its clock before the entry received the report, and the
  // margin covers the drift of the two clocks until the next report, so the sum
  // is never ahead of the agent's true time.
  const auto sinceHeard = std::chrono::duration_cast<milliseconds>(
    boot_clock::now() - *aServer.mLastResponseAt);
  return { aAttemptId,
           aServer.mInstance.mName,
           aServer.mIncarnation,
           aServer.mAgentClock + sinceHeard - kClockMargin };
}

call_outcome
entry_dispatch::Attempt(const call& aCall, const attempt_ticket& aTicket)
{
  if (aCall.mOnAttempt) {
    aCall.mOnAttempt(aTicket.mServerName);
  }
  const auto& name = aTicket.mServerName;
  const auto sentAt = boot_clock::now();
  {
    std::lock_guard lock(mRoutingMutex);
    routing::RecordSent(
      mRoutingTables[aCall.mPool], name, aCall.mPrefix, sentAt);
  }
  call_outcome outcome;
  scope_guard guard([&] { RecordAttemptEnd(aCall, name, sentAt, outcome); });
  outcome = FollowAttempt(aCall, aTicket, attempt_role::Owner);
  return outcome;
}

call_outcome
entry_dispatch::Fetch(const call& aCall, const attempt_ticket& aTicket)
{
  auto outcome = FollowAttempt(aCall, aTicket, attempt_role::Follower);
  outcome.mSource = answer_source::SharedRun;
  return outcome;
}

call_outcome
entry_dispatch::FollowAttempt(const call& aCall,
                              const attempt_ticket& aTicket,
                              attempt_role aRole)
{
  attempt_state state;
  state.mRole = aRole;
  state.mIncarnation = aTicket.mIncarnation;
  state.mDeadline = aCall.mDeadline;
  auto decision = Begin(mOptions.mLimits, state, boot_clock::now());
  while (decision.mStep != attempt_step::Finish) {
    std::this_thread::sleep_for(decision.mRetryDelay);
    decision =
      Decide(mOptions.mLimits, state, RunStep(aCall, aTicket, decision));
  }
  auto& outcome = decision.mOutcome;
  outcome.mServerName = aTicket.mServerName;
  outcome.mServerIncarnation = aTicket.mIncarnation;
  return std::move(outcome);
}

attempt_event
entry_dispatch::RunStep(const call& aCall,
                        const attempt_ticket& aTicket,
                        const attempt_decision& aDecision)
{
  attempt_event event;
  // Looked up in each step, because a restarted agent may have another address.
  if (const auto server = mDirectory.Find(aTicket.mServerName)) {
    const auto wait = static_cast<std::int32_t>(aDecision.mWait.count());
    auto result = server->mConnections->Run<wire::dispatch_reply>(
      aDecision.mTimeout, aTicket.mId, [&](auto& aClient, auto& aReply) {
        if (aDecision.mStep == attempt_step::Dispatch) {
          aClient.Dispatch(
            aReply, ToOrder(aCall, aTicket, mOptions.mEntryIncarnation), wait);
        } else if (aDecision.mStep == attempt_step::Await) {
          aClient.Await(aReply, aTicket.mId, aTicket.mIncarnation, wait);
        } else {
          aClient.Cancel(aReply,
                         aTicket.mId,
                         aTicket.mIncarnation,
                         aTicket.mIssuedAt.count());
        }
      });
    event.mWire = result.mState;
    event.mReply = std::move(result.mReply);
    if (event.mWire == wire_state::Answered) {
      mDirectory.ApplyReply(aTicket.mServerName, event.mReply);
      ApplyRequestCount(aCall.mPool, aTicket.mServerName, event.mReply.load);
    } else {
      server->mConnections->DropIdle();
    }
  }
  event.mNow = boot_clock::now();
  event.mStopReason = aCall.mStopReason ? aCall.mStopReason() : "";
  const bool isQueued = event.mWire == wire_state::Answered &&
                        event.mReply.state == wire::run_state::QUEUED;
  if (isQueued && event.mStopReason.empty() && aCall.mQueuedStopReason) {
    event.mStopReason = aCall.mQueuedStopReason();
  }
  return event;
}

} // namespace lavender::dispatch
