#include "Duties/Rewards/RewardCaller.h"

#include "Duties/Site/ServerCall.h"
#include "Libraries/Core/Base64.h"
#include "Libraries/Core/Mechanisms.h"
#include "Libraries/EventLog/EventLog.h"

#include <algorithm>

namespace lavender::rewards {

using namespace std::chrono_literals;

namespace {

/** Connections to a server on the same network are established within a few ms.
 */
constexpr milliseconds kConnectTimeout = 150ms;
/** Delay after a server had no free slot, or while no server is usable. Some
 * slots become free in that time. */
constexpr milliseconds kBusyDelay = 60ms;
/** Interval at which a call that may not be sent is looked at again, if nobody
 * tells that it may. */
constexpr milliseconds kNotAllowedDelay = 100ms;
/** Interval at which a call without a route is dispatched again. */
constexpr milliseconds kNoRouteDelay = 500ms;
/** Time limit of a call whose route names none. */
constexpr milliseconds kDefaultTimeout = 10s;
/** Maximum size of a response's body, which isn't kept: the score is in the
 * head. A page of results, which holds a text at least, is no larger. */
constexpr std::size_t kMaximumBodyBytes = 1 << 20;

milliseconds
MillisecondsBetween(time_point aStart, time_point aEnd)
{
  return std::chrono::duration_cast<milliseconds>(aEnd - aStart);
}

} // namespace

/** One attempt of a call at one server. */
struct reward_client::send_attempt
{
  forwarding::selected_server mPick;
  edge::call_handle mHandle;
  time_point mSentAt;
  /** Time at which the attempt is abandoned. */
  time_point mDeadline;
  site::response_metadata mFacts;
  unsigned mStatus = 0;
  std::size_t mBodyBytes = 0;
  bool mIsHedge = false;
  bool mIsOpen = true;
};

struct reward_client::call
{
  std::uint64_t mNumber = 0;
  reward_request mRequest;
  time_point mStartedAt;
  /** Earliest time of the next attempt. */
  time_point mNotBefore;
  /** When the last attempt ended, or the call began. */
  time_point mWaitsSince;
  call_wait mWait = call_wait::NotAllowed;
  std::vector<std::shared_ptr<send_attempt>> mOpenAttempts;
  /** Servers that failed the call or are processing it. */
  std::vector<std::string> mTriedServers;
  /** Time at which a second copy is sent; max for never. */
  time_point mHedgeAt = time_point::max();
  std::unique_ptr<boost::asio::steady_timer> mTimer;
  int mErrors = 0;
  int mAttempts = 0;
  bool mIsFinished = false;
};

reward_client::reward_client(client_dependencies aDependencies)
  : mDependencies(std::move(aDependencies))
  , mTimer(mDependencies.mLoop)
{
}

std::uint64_t
reward_client::Start(reward_request aRequest)
{
  auto started = std::make_shared<call>();
  started->mNumber = ++mLastNumber;
  started->mRequest = std::move(aRequest);
  started->mStartedAt = boot_clock::now();
  started->mNotBefore = started->mStartedAt;
  started->mWaitsSince = started->mStartedAt;
  started->mTimer =
    std::make_unique<boost::asio::steady_timer>(mDependencies.mLoop);
  mCalls[started->mNumber] = started;
  ScheduleDispatch(0ms);
  return started->mNumber;
}

void
reward_client::Cancel(std::uint64_t aNumber)
{
  const auto found = mCalls.find(aNumber);
  if (found == mCalls.end()) {
    return;
  }
  // Keeps the call alive while its map entry is erased.
  const auto cancelled = found->second;
  RemoveCall(cancelled);
}

void
reward_client::ScheduleDispatch(milliseconds aDelay)
{
  const auto at = boot_clock::now() + aDelay;
  if (mDispatchAt <= at) {
    return;
  }
  mDispatchAt = at;
  mTimer.expires_after(aDelay);
  mTimer.async_wait([this](const auto& aError) {
    if (!aError) {
      mDispatchAt = time_point::max();
      Dispatch();
    }
  });
}

void
reward_client::Dispatch()
{
  const auto now = boot_clock::now();
  std::vector<std::pair<reward_priority, call_ptr>> waiting;
  for (const auto& [number, held] : mCalls) {
    if (!held->mOpenAttempts.empty()) {
      continue;
    }
    if (!held->mRequest.mMaySend()) {
      held->mWait = call_wait::NotAllowed;
      ScheduleDispatch(kNotAllowedDelay);
      continue;
    }
    if (held->mNotBefore > now) {
      held->mWait = held->mWait == call_wait::NoRoute ? call_wait::NoRoute
                                                      : call_wait::RetryDelay;
      ScheduleDispatch(MillisecondsBetween(now, held->mNotBefore) + 1ms);
      continue;
    }
    waiting.emplace_back(held->mRequest.mPriority(), held);
  }
  if (IsOn(mechanism::RewardOrder)) {
    std::stable_sort(waiting.begin(),
                     waiting.end(),
                     [](const auto& aLeft, const auto& aRight) {
                       return aLeft.first < aRight.first;
                     });
  }
  for (const auto& [priority, next] : waiting) {
    if (!next->mIsFinished && Send(next) == send_result::Waits) {
      ScheduleDispatch(kBusyDelay);
    }
  }
}

std::optional<forwarding::selected_server>
reward_client::PickServer(const call_ptr& aCall,
                          const site::route& aRoute,
                          const site::customer* aCustomer)
{
  aCall->mWait = call_wait::NoServer;
  const auto select = [&]() -> std::optional<forwarding::selected_server> {
    auto excluded = aCall->mTriedServers;
    while (auto found =
             mDependencies.mRouter.SelectServer(aRoute, aCustomer, excluded)) {
      const auto use = aCall->mRequest.mMayUse(site::StartOf(found->mServer));
      if (use == server_use::Allowed) {
        return found;
      }
      aCall->mWait = std::max(aCall->mWait, WaitFor(use));
      excluded.push_back(found->mServer.mId);
    }
    return std::nullopt;
  };
  auto pick = select();
  if (!pick) {
    // All servers have been tried. They may be tried again, except for those
    // that are processing the call.
    aCall->mTriedServers.clear();
    for (const auto& open : aCall->mOpenAttempts) {
      aCall->mTriedServers.push_back(open->mPick.mServer.mId);
    }
    pick = select();
  }
  return pick;
}

std::shared_ptr<const site::route>
reward_client::RouteOf(const call& aCall) const
{
  const auto& asked = aCall.mRequest.mCall;
  return mDependencies.mConfiguration
           ? site::FindRoute(
               *mDependencies.mConfiguration, asked.mHost, asked.mPath)
           : nullptr;
}

std::optional<waiting_call>
reward_client::WaitOf(std::uint64_t aNumber) const
{
  const auto found = mCalls.find(aNumber);
  return found != mCalls.end() && found->second->mOpenAttempts.empty()
           ? std::optional(
               waiting_call{ found->second->mWaitsSince, found->second->mWait })
           : std::nullopt;
}

bool
reward_client::HasRoom(const std::string& aPool) const
{
  const auto inFlight = mInFlight.find(aPool);
  return inFlight == mInFlight.end() ||
         inFlight->second <
           MaximumInFlight(mDependencies.mRouter.SlotsOf(aPool));
}

std::optional<forwarding::selected_server>
reward_client::ChooseServer(const call_ptr& aCall, const site::route& aRoute)
{
  const auto& request = aCall->mRequest;
  const auto* customer =
    site::FindCustomer(*mDependencies.mConfiguration, request.mCustomer);
  if (const auto reserved = request.mReserved()) {
    auto pick = mDependencies.mRouter.SelectThis(aRoute, customer, *reserved);
    if (pick && HasRoom(pick->mPool) &&
        request.mMayUse(*reserved) == server_use::Allowed) {
      return pick;
    }
  }
  auto pick = PickServer(aCall, aRoute, customer);
  if (pick && !HasRoom(pick->mPool)) {
    aCall->mWait = call_wait::NoRoom;
    return std::nullopt;
  }
  return pick;
}

reward_client::send_result
reward_client::Send(const call_ptr& aCall)
{
  const auto route = RouteOf(*aCall);
  if (!route) {
    aCall->mWait = call_wait::NoRoute;
    // A later configuration may have a route again. Until then the item waits,
    // like an item without a route of its own.
    aCall->mNotBefore = boot_clock::now() + kNoRouteDelay;
    events::line("reward_unroutable")
      .With("request", aCall->mRequest.mItemId)
      .With("reward", aCall->mRequest.mCall.mId);
    return send_result::Waits;
  }
  const auto pick = ChooseServer(aCall, *route);
  if (!pick) {
    return send_result::Waits;
  }
  if (!aCall->mRequest.mReserve(site::StartOf(pick->mServer))) {
    ScheduleDispatch(kNotAllowedDelay);
    return send_result::Reserved;
  }
  SendTo(aCall, *route, *pick);
  return send_result::Sent;
}

void
reward_client::SendTo(const call_ptr& aCall,
                      const site::route& aRoute,
                      const forwarding::selected_server& aPick)
{
  const auto now = boot_clock::now();
  const auto timeLeft =
    std::max(1ms,
             std::min(MillisecondsBetween(now, aCall->mRequest.mGiveUpAt),
                      aRoute.mTimeout.value_or(kDefaultTimeout)));
  auto sent = std::make_shared<send_attempt>();
  sent->mPick = aPick;
  sent->mSentAt = now;
  sent->mDeadline = now + AttemptTimeout(aRoute.mTargetLatency, timeLeft);
  sent->mIsHedge = !aCall->mOpenAttempts.empty();
  aCall->mOpenAttempts.push_back(sent);
  aCall->mTriedServers.push_back(aPick.mServer.mId);
  if (aCall->mAttempts++ == 0) {
    RecordFirstAttempt(mBudget);
  }
  aCall->mHedgeAt = sent->mIsHedge
                      ? time_point::max()
                      : now + HedgeDelay(mDurations, aRoute.mTargetLatency);
  ++mInFlight[aPick.mPool];
  mDependencies.mRouter.RecordSent(aPick, now);
  events::line("reward_sent")
    .With("request", aCall->mRequest.mItemId)
    .With("reward", aCall->mRequest.mCall.mId)
    .With("server", aPick.mServer.mId)
    .With("requests_there", static_cast<std::int64_t>(aPick.mRequests))
    .With("sending", static_cast<std::int64_t>(aCall->mAttempts))
    .With("hedge", static_cast<std::int64_t>(sent->mIsHedge))
    .With("waited_ms", MillisecondsBetween(aCall->mStartedAt, now));
  SendRequest(aCall, sent, timeLeft);
  ArmTimer(aCall);
}

void
reward_client::SendRequest(const call_ptr& aCall,
                           const std::shared_ptr<send_attempt>& aAttempt,
                           milliseconds aTimeLeft)
{
  const auto& asked = aCall->mRequest;
  const auto& server = aAttempt->mPick.mServer;
  edge::request request;
  request.mMethod = "POST";
  request.mTarget = asked.mCall.mPath;
  request.mHeaders.Set("Host", asked.mCall.mHost);
  // The encoding was checked when the batch was submitted.
  request.mBody = DecodeBase64(asked.mCall.mBodyBase64).mValue.value_or("");
  site::attempt attempt;
  attempt.mAttemptId = asked.mCall.mId;
  attempt.mServerId = server.mId;
  attempt.mCustomer = asked.mCustomer;
  attempt.mTimeLeft = aTimeLeft;
  edge::call_options options;
  options.mConnectTimeout = kConnectTimeout;
  options.mSilenceTimeout = aTimeLeft + 1s;
  site::server_call_events events;
  events.mOnHead = [this, aAttempt](const auto& aHead, const auto& aMetadata) {
    HandleHead(aAttempt, aHead.mStatus, aMetadata);
  };
  events.mOnBody = [this, aCall, aAttempt](std::string_view aPiece) {
    HandleBody(aCall, aAttempt, aPiece);
  };
  events.mOnEnd = [this, aCall, aAttempt](edge::call_end aEnd) {
    HandleEnd(aCall, aAttempt, aEnd);
  };
  aAttempt->mHandle = site::CallServer(
    { mDependencies.mClients, mDependencies.mProtocol, mDependencies.mMetrics },
    server.mAddress,
    request,
    attempt,
    options,
    std::move(events));
}

void
reward_client::HandleHead(const std::shared_ptr<send_attempt>& aAttempt,
                          unsigned aStatus,
                          const site::response_metadata& aMetadata)
{
  aAttempt->mStatus = aStatus;
  aAttempt->mFacts = aMetadata;
  if (aAttempt->mFacts.mLoad) {
    mDependencies.mRouter.RecordLoad(
      aAttempt->mPick, *aAttempt->mFacts.mLoad, boot_clock::now());
  }
}

void
reward_client::HandleBody(const call_ptr& aCall,
                          const std::shared_ptr<send_attempt>& aAttempt,
                          std::string_view aPiece)
{
  aAttempt->mBodyBytes += aPiece.size();
  if (aAttempt->mBodyBytes > kMaximumBodyBytes && aAttempt->mIsOpen) {
    aAttempt->mHandle.Cancel();
    HandleEnd(aCall, aAttempt, edge::call_end::Malformed);
  }
}

response_kind
reward_client::Classify(const send_attempt& aAttempt, edge::call_end aEnd)
{
  response_summary view;
  view.mEnd = aEnd;
  view.mStatus = aAttempt.mStatus;
  view.mIsNotExecuted = aAttempt.mFacts.mIsNotExecuted;
  view.mHasSignature = !aAttempt.mFacts.mSignature.empty();
  return ClassifyResponse(view);
}

void
reward_client::HandleEnd(const call_ptr& aCall,
                         const std::shared_ptr<send_attempt>& aAttempt,
                         edge::call_end aEnd)
{
  if (aCall->mIsFinished || !aAttempt->mIsOpen) {
    return;
  }
  const auto kind = Classify(*aAttempt, aEnd);
  aCall->mWaitsSince = boot_clock::now();
  aCall->mWait = call_wait::RetryDelay;
  aCall->mErrors += kind == response_kind::ServerError ? 1 : 0;
  aCall->mOpenAttempts.erase(std::remove(aCall->mOpenAttempts.begin(),
                                         aCall->mOpenAttempts.end(),
                                         aAttempt),
                             aCall->mOpenAttempts.end());
  CloseAttempt(aAttempt,
               kind == response_kind::Scored     ? routing::evidence::Success
               : kind == response_kind::Rejected ? routing::evidence::Neutral
                                                 : routing::evidence::Failure);
  LogResponse(*aCall, *aAttempt, kind, aEnd);
  if (aEnd != edge::call_end::Complete && edge::MayHaveBeenSent(aEnd)) {
    aCall->mRequest.mOnCutOff(aAttempt->mPick.mServer);
  } else {
    aCall->mRequest.mOnSurvived(site::StartOf(aAttempt->mPick.mServer));
  }
  if (kind == response_kind::Rejected) {
    RecordRejection(mBudget);
  }
  ActOnResponse(aCall, aAttempt, kind);
}

void
reward_client::LogResponse(const call& aCall,
                           const send_attempt& aAttempt,
                           response_kind aKind,
                           edge::call_end aEnd)
{
  events::line("reward_answered")
    .With("request", aCall.mRequest.mItemId)
    .With("reward", aCall.mRequest.mCall.mId)
    .With("server", aAttempt.mPick.mServer.mId)
    .With("outcome", ToString(aKind))
    .With("end", edge::ToString(aEnd))
    .With("status", static_cast<std::int64_t>(aAttempt.mStatus))
    .With("errors", static_cast<std::int64_t>(aCall.mErrors))
    .With("hedge", static_cast<std::int64_t>(aAttempt.mIsHedge))
    .With("took_ms", MillisecondsBetween(aAttempt.mSentAt, boot_clock::now()));
  mDependencies.mMetrics.Count("lavender_reward_answers_total",
                               { { "outcome", ToString(aKind) } });
}

void
reward_client::ActOnResponse(const call_ptr& aCall,
                             const std::shared_ptr<send_attempt>& aAttempt,
                             response_kind aKind)
{
  const auto now = boot_clock::now();
  const auto route = RouteOf(*aCall);
  // Without the route it is unknown how often the call may fail.
  const auto step =
    route || aKind == response_kind::Scored
      ? DecideNext(aKind, aCall->mErrors, route ? route->mMaximumAttempts : 1)
      : next_step::SendLater;
  switch (step) {
    case next_step::Deliver:
      RecordDuration(mDurations, MillisecondsBetween(aAttempt->mSentAt, now));
      FinishCall(aCall, std::move(aAttempt->mFacts.mSignature));
      return;
    case next_step::GiveUp:
      FinishCall(aCall, std::nullopt);
      return;
    case next_step::SendLater:
    case next_step::SendAgain:
      break;
  }
  const auto delay = aKind == response_kind::ServerError
                       ? 0ms
                       : RetryDelay(step, aCall->mAttempts);
  aCall->mNotBefore = now + delay;
  ScheduleDispatch(delay);
}

void
reward_client::ArmTimer(const call_ptr& aCall)
{
  auto at = aCall->mHedgeAt;
  for (const auto& open : aCall->mOpenAttempts) {
    at = std::min(at, open->mDeadline);
  }
  aCall->mTimer->expires_after(
    std::max(0ms, MillisecondsBetween(boot_clock::now(), at)) + 1ms);
  aCall->mTimer->async_wait([this, aCall](const auto& aError) {
    if (!aError && !aCall->mIsFinished) {
      CheckTimeouts(aCall);
    }
  });
}

void
reward_client::CheckTimeouts(const call_ptr& aCall)
{
  const auto now = boot_clock::now();
  const auto open = aCall->mOpenAttempts;
  for (const auto& sent : open) {
    if (now >= sent->mDeadline && sent->mIsOpen) {
      sent->mHandle.Cancel();
      HandleEnd(aCall, sent, edge::call_end::TimedOut);
    }
  }
  if (aCall->mIsFinished || aCall->mOpenAttempts.empty()) {
    return;
  }
  if (now >= aCall->mHedgeAt) {
    aCall->mHedgeAt = time_point::max();
    if (aCall->mRequest.mMayHedge() && ConsumeHedge(mBudget) &&
        Send(aCall) == send_result::Sent) {
      mDependencies.mMetrics.Count("lavender_reward_hedges_total", {});
      return;
    }
  }
  ArmTimer(aCall);
}

void
reward_client::CloseAttempt(const std::shared_ptr<send_attempt>& aAttempt,
                            routing::evidence aEvidence)
{
  if (!aAttempt->mIsOpen) {
    return;
  }
  aAttempt->mIsOpen = false;
  aAttempt->mHandle.Cancel();
  --mInFlight[aAttempt->mPick.mPool];
  mDependencies.mRouter.RecordEnd(
    aAttempt->mPick, aAttempt->mSentAt, aEvidence, boot_clock::now());
}

void
reward_client::RemoveCall(const call_ptr& aCall)
{
  mCalls.erase(aCall->mNumber);
  aCall->mIsFinished = true;
  aCall->mTimer->cancel();
  for (const auto& open : std::exchange(aCall->mOpenAttempts, {})) {
    CloseAttempt(open, routing::evidence::Neutral);
  }
  ScheduleDispatch(0ms);
}

void
reward_client::FinishCall(const call_ptr& aCall,
                          std::optional<std::string> aScore)
{
  RemoveCall(aCall);
  mDependencies.mMetrics.Count("lavender_rewards_total",
                               { { "end", aScore ? "scored" : "given_up" } });
  mDependencies.mMetrics.Observe("lavender_reward_seconds",
                                 { { "end", aScore ? "scored" : "given_up" } },
                                 boot_clock::now() - aCall->mStartedAt);
  const auto done = std::move(aCall->mRequest.mOnEnd);
  done(std::move(aScore));
}

} // namespace lavender::rewards
