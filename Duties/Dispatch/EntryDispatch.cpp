#include "Duties/Dispatch/EntryDispatch.h"

#include "Libraries/Core/Log.h"
#include "Libraries/Core/ScopeGuard.h"

#include <algorithm>
#include <thread>

namespace lavender::dispatch {
namespace {

using membership::server_view;
using wire::run_state;
using wire::wire_state;
using namespace std::chrono_literals;
using reply_result = wire::wire_result<wire::dispatch_reply>;

/** Silence after which a server gets no new requests. */
constexpr milliseconds kHeartbeatLimit = 2500ms;
constexpr milliseconds kDefaultRetryAfter = 1000ms;

milliseconds
Left(time_point aDeadline)
{
  return std::chrono::duration_cast<milliseconds>(aDeadline -
                                                  boot_clock::now());
}

wire::dispatch_order
ToOrder(const call& aCall,
        const std::string& aAttemptId,
        const server_view& aServer,
        const std::string& aEntryIncarnation)
{
  wire::dispatch_order order;
  order.request_id = aAttemptId;
  order.agent_incarnation = aServer.mIncarnation;
  order.entry_incarnation = aEntryIncarnation;
  order.customer = aCall.mCustomer;
  order.key_id = aCall.mKeyId;
  order.operation = aCall.mOperation;
  order.payload = aCall.mPayload;
  order.weight = aCall.mWeight;
  order.cost_tokens = aCall.mCostTokens;
  order.deadline_left_ms = Left(aCall.mDeadline).count();
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
  return aServer.mHeardAt && aNow - *aServer.mHeardAt < kHeartbeatLimit &&
         !aServer.mIsLeaving && !aServer.mInstance.mIsLeaving &&
         aServer.mIsServerReachable;
}

/** What an attempt's end says about its server. */
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
  // Given up by the caller's deadline or a withdrawn key: not its fault.
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
  mDirectory.OnReport(
    [this](const server_view& aServer) { TakeReport(aServer); });
}

void
entry_dispatch::TakeReport(const server_view& aServer)
{
  routing::server_report report;
  report.mName = aServer.mInstance.mName;
  report.mAvailabilityZone = aServer.mInstance.mAvailabilityZone;
  report.mSlots = aServer.mLoad.slots;
  report.mRequests = aServer.mLoad.queued + aServer.mLoad.running;
  report.mDrainRate = aServer.mLoad.tokens_per_second;
  report.mTakesWork = IsUsable(aServer, boot_clock::now());
  report.mMadeAt = aServer.mReportedAt;
  report.mCachedPrefixes = aServer.mLoad.cached_prefixes;
  std::lock_guard lock(mRoutesMutex);
  auto [table, isNew] = mRoutes.try_emplace(aServer.mInstance.mPool);
  if (isNew) {
    table->second.mLimits = mOptions.mRouting;
  }
  routing::TakeReport(table->second, report, boot_clock::now());
}

std::optional<server_view>
entry_dispatch::Pick(const std::string& aPool,
                     const std::vector<std::string>& aExcluded,
                     std::int64_t aPrefix)
{
  const routing::route_request request{ aPrefix, mOptions.mOwnZone, aExcluded };
  while (true) {
    std::optional<std::string> chosen;
    {
      std::lock_guard lock(mRoutesMutex);
      const auto table = mRoutes.find(aPool);
      if (table != mRoutes.end()) {
        chosen =
          routing::Choose(table->second, request, mRandom, boot_clock::now());
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
    // It left or fell silent since its report; one row fewer each time.
    std::lock_guard lock(mRoutesMutex);
    routing::TakeOut(mRoutes.at(aPool), *chosen);
  }
}

void
entry_dispatch::TakeEvidence(const call& aCall,
                             const std::string& aServer,
                             time_point aSentAt,
                             const call_outcome& aOutcome)
{
  std::lock_guard lock(mRoutesMutex);
  if (const auto table = mRoutes.find(aCall.mPool); table != mRoutes.end()) {
    routing::NoteEnded(
      table->second, aServer, aSentAt, EvidenceOf(aOutcome), boot_clock::now());
  }
}

call_outcome
entry_dispatch::Run(const call& aCall)
{
  std::vector<std::string> tried;
  call_outcome outcome = Refuse(ran::NotRun, "no_server");
  for (int attempt = 1; attempt <= mOptions.mMaximumAttempts; ++attempt) {
    if (Left(aCall.mDeadline) <= 0ms) {
      return Refuse(ran::NotRun, "deadline");
    }
    const auto server = Pick(aCall.mPool, tried, aCall.mPrefix);
    if (!server) {
      return outcome;
    }
    outcome =
      Attempt(aCall, aCall.mRequestId + "." + std::to_string(attempt), *server);
    if (outcome.mRan != ran::NotRun) {
      return outcome;
    }
    if (aCall.mStopReason && !aCall.mStopReason().empty()) {
      return outcome;
    }
    mMetrics.Count("lavender_retries_total", { { "reason", outcome.mReason } });
    tried.push_back(server->mInstance.mName);
  }
  return outcome;
}

call_outcome
entry_dispatch::Attempt(const call& aCall,
                        const std::string& aAttemptId,
                        const server_view& aServer)
{
  const std::string& name = aServer.mInstance.mName;
  const auto sentAt = boot_clock::now();
  {
    std::lock_guard lock(mRoutesMutex);
    routing::NoteSent(mRoutes[aCall.mPool], name, aCall.mPrefix, sentAt);
  }
  call_outcome outcome;
  scope_guard guard([&] { TakeEvidence(aCall, name, sentAt, outcome); });
  const auto order =
    ToOrder(aCall, aAttemptId, aServer, mOptions.mEntryIncarnation);
  auto first = aServer.mConnections->Run<wire::dispatch_reply>(
    mOptions.mSilence, aAttemptId, [&](auto& aClient, auto& aReply) {
      aClient.Dispatch(
        aReply, order, static_cast<int>(mOptions.mWaitSlice.count()));
    });
  outcome =
    Follow(&aCall, aAttemptId, aServer, aCall.mDeadline, std::move(first));
  return outcome;
}

call_outcome
entry_dispatch::Fetch(const std::string& aRequestId,
                      const std::string& aServerName,
                      const std::string& aServerIncarnation,
                      time_point aDeadline)
{
  auto server = mDirectory.Find(aServerName);
  if (!server || server->mIncarnation != aServerIncarnation) {
    // The only process that knew the outcome is gone.
    return Refuse(ran::OutcomeUnknown, "server_restarted");
  }
  reply_result first;
  first.mState = wire_state::Unknown;
  return Follow(nullptr, aRequestId, *server, aDeadline, std::move(first));
}

call_outcome
entry_dispatch::Follow(const call* aCall,
                       const std::string& aAttemptId,
                       const server_view& aServer,
                       time_point aDeadline,
                       reply_result aFirst)
{
  const std::string& name = aServer.mInstance.mName;
  auto heardAt = boot_clock::now();
  reply_result last = std::move(aFirst);
  while (true) {
    if (last.mState == wire_state::Answered) {
      heardAt = boot_clock::now();
      mDirectory.TakeReply(name, last.mReply);
      if (last.mReply.agent_incarnation != aServer.mIncarnation) {
        return Refuse(ran::OutcomeUnknown, "server_restarted");
      }
      if (last.mReply.state == run_state::FINISHED) {
        call_outcome outcome;
        outcome.mRan = ran::Ran;
        outcome.mResult = std::move(last.mReply.result);
        outcome.mServerName = name;
        outcome.mServerIncarnation = aServer.mIncarnation;
        return outcome;
      }
      if (last.mReply.state == run_state::NOT_RUN) {
        auto refused = Refuse(ran::NotRun, last.mReply.reason);
        if (last.mReply.retry_after_ms > 0) {
          refused.mRetryAfter = milliseconds(last.mReply.retry_after_ms);
        }
        return refused;
      }
      if (last.mReply.state == run_state::OUTCOME_UNKNOWN) {
        return Refuse(ran::OutcomeUnknown, last.mReply.reason);
      }
      if (last.mReply.state == run_state::UNKNOWN_ID) {
        return Settle(aAttemptId, aServer, "dispatch_lost");
      }
    } else {
      aServer.mConnections->DropIdle();
      if (boot_clock::now() - heardAt > mOptions.mGiveUpAfter) {
        return Refuse(ran::OutcomeUnknown, "server_silent");
      }
    }
    if (Left(aDeadline) <= 0ms) {
      return Settle(aAttemptId, aServer, "deadline");
    }
    if (aCall && aCall->mStopReason) {
      if (const auto reason = aCall->mStopReason(); !reason.empty()) {
        return Settle(aAttemptId, aServer, reason);
      }
    }
    if (last.mState == wire_state::NotSent) {
      std::this_thread::sleep_for(50ms);
    }
    last = aServer.mConnections->Run<wire::dispatch_reply>(
      mOptions.mSilence, aAttemptId, [&](auto& aClient, auto& aReply) {
        aClient.Await(aReply,
                      aAttemptId,
                      aServer.mIncarnation,
                      static_cast<int>(mOptions.mWaitSlice.count()));
      });
  }
}

call_outcome
entry_dispatch::Settle(const std::string& aAttemptId,
                       const server_view& aServer,
                       const std::string& aReason)
{
  const auto last = aServer.mConnections->Run<wire::dispatch_reply>(
    mOptions.mSilence, aAttemptId, [&](auto& aClient, auto& aReply) {
      aClient.Cancel(aReply, aAttemptId, aServer.mIncarnation);
    });
  const bool isSameAgent =
    last.mState == wire_state::Answered &&
    last.mReply.agent_incarnation == aServer.mIncarnation;
  if (!isSameAgent) {
    return Refuse(ran::OutcomeUnknown, aReason);
  }
  if (last.mReply.state == run_state::NOT_RUN) {
    return Refuse(ran::NotRun, aReason);
  }
  if (last.mReply.state == run_state::FINISHED) {
    call_outcome outcome;
    outcome.mRan = ran::Ran;
    outcome.mResult = last.mReply.result;
    outcome.mServerName = aServer.mInstance.mName;
    outcome.mServerIncarnation = aServer.mIncarnation;
    return outcome;
  }
  return Refuse(ran::OutcomeUnknown, aReason);
}

} // namespace lavender::dispatch
