#include "Duties/Rewards/RewardCaller.h"

#include "Libraries/Core/Base64.h"
#include "Libraries/Core/Mechanisms.h"
#include "Libraries/EventLog/EventLog.h"

#include <algorithm>

namespace lavender::rewards {

using namespace std::chrono_literals;

namespace {

/** A server on the same network accepts within a few ms. */
constexpr milliseconds kConnectTimeout = 150ms;
/** Pause after a server had no place, or while no server can be used: some
 * places come free in it. */
constexpr milliseconds kBusyPause = 60ms;
/** How often a call is looked at again for which there is no route. */
constexpr milliseconds kNoRoutePause = 500ms;
/** Time for a call whose route names none. */
constexpr milliseconds kDefaultTime = 10s;

milliseconds
Since(time_point aStart, time_point aNow)
{
  return std::chrono::duration_cast<milliseconds>(aNow - aStart);
}

} // namespace

/** One sending of a call to one server. */
struct reward_client::sending
{
  forwarding::selected_server mPick;
  edge::call_handle mHandle;
  time_point mSentAt;
  /** Given up as silent then. */
  time_point mEndsAt;
  site::response_metadata mFacts;
  unsigned mStatus = 0;
  bool mIsHedge = false;
  bool mIsOpen = true;
};

struct reward_client::call
{
  std::uint64_t mNumber = 0;
  reward_request mRequest;
  time_point mAskedAt;
  /** Not sent before then. */
  time_point mNotBefore;
  std::vector<std::shared_ptr<sending>> mOpen;
  /** Servers that didn't serve it, or that have it now. */
  std::vector<std::string> mTried;
  /** When a second copy is sent; max for never. */
  time_point mHedgeAt = time_point::max();
  std::unique_ptr<boost::asio::steady_timer> mTimer;
  int mErrors = 0;
  int mSendings = 0;
  bool mIsOver = false;
};

reward_client::reward_client(client_dependencies aParts)
  : mDependencies(std::move(aParts))
  , mTimer(mDependencies.mLoop)
{
}

std::uint64_t
reward_client::Start(reward_request aRequest)
{
  auto started = std::make_shared<call>();
  started->mNumber = ++mNumbers;
  started->mRequest = std::move(aRequest);
  started->mAskedAt = boot_clock::now();
  started->mNotBefore = started->mAskedAt;
  started->mTimer =
    std::make_unique<boost::asio::steady_timer>(mDependencies.mLoop);
  mCalls[started->mNumber] = started;
  PlanDispatch(0ms);
  return started->mNumber;
}

void
reward_client::Cancel(std::uint64_t aNumber)
{
  const auto found = mCalls.find(aNumber);
  if (found == mCalls.end()) {
    return;
  }
  // Held here: the list's own pointer goes with its entry.
  const auto cancelled = found->second;
  Retire(cancelled);
}

void
reward_client::PlanDispatch(milliseconds aPause)
{
  const auto at = boot_clock::now() + aPause;
  if (mDispatchAt <= at) {
    return;
  }
  mDispatchAt = at;
  mTimer.expires_after(aPause);
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
  std::vector<std::pair<reward_rank, call_ptr>> waiting;
  for (const auto& [number, held] : mCalls) {
    if (!held->mOpen.empty()) {
      continue;
    }
    if (held->mNotBefore > now) {
      PlanDispatch(Since(now, held->mNotBefore) + 1ms);
      continue;
    }
    waiting.emplace_back(held->mRequest.mRank(), held);
  }
  if (IsOn(mechanism::RewardOrder)) {
    std::stable_sort(waiting.begin(),
                     waiting.end(),
                     [](const auto& aLeft, const auto& aRight) {
                       return aLeft.first < aRight.first;
                     });
  }
  for (const auto& [rank, next] : waiting) {
    if (!next->mIsOver && !Send(next)) {
      PlanDispatch(kBusyPause);
    }
  }
}

std::optional<forwarding::selected_server>
reward_client::PickFor(const call_ptr& aCall, const site::route& aRoute)
{
  auto pick = mDependencies.mRouter.SelectServer(aRoute, aCall->mTried);
  if (!pick) {
    // Each server has been tried: all but those that have the call now may be
    // again.
    aCall->mTried.clear();
    for (const auto& open : aCall->mOpen) {
      aCall->mTried.push_back(open->mPick.mServer.mId);
    }
    pick = mDependencies.mRouter.SelectServer(aRoute, aCall->mTried);
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

bool
reward_client::Send(const call_ptr& aCall)
{
  const auto route = RouteOf(*aCall);
  if (!route) {
    // It may come back with the next configuration; until then the item waits,
    // as one without a route of its own does.
    aCall->mNotBefore = boot_clock::now() + kNoRoutePause;
    events::line("reward_unroutable")
      .With("request", aCall->mRequest.mItemId)
      .With("reward", aCall->mRequest.mCall.mId);
    return false;
  }
  const auto pick = PickFor(aCall, *route);
  if (!pick || mUnderWay[pick->mPool] >=
                 MostUnderWay(mDependencies.mRouter.SlotsOf(pick->mPool))) {
    return false;
  }
  SendTo(aCall, *route, *pick);
  return true;
}

void
reward_client::SendTo(const call_ptr& aCall,
                      const site::route& aRoute,
                      const forwarding::selected_server& aPick)
{
  const auto now = boot_clock::now();
  const auto timeLeft =
    std::max(1ms,
             std::min(Since(now, aCall->mRequest.mGiveUpAt),
                      aRoute.mTimeout.value_or(kDefaultTime)));
  auto sent = std::make_shared<sending>();
  sent->mPick = aPick;
  sent->mSentAt = now;
  sent->mEndsAt = now + PatienceFor(aRoute.mTargetLatency, timeLeft);
  sent->mIsHedge = !aCall->mOpen.empty();
  aCall->mOpen.push_back(sent);
  aCall->mTried.push_back(aPick.mServer.mId);
  if (aCall->mSendings++ == 0) {
    NoteFirstSending(mBudget);
  }
  aCall->mHedgeAt = sent->mIsHedge
                      ? time_point::max()
                      : now + HedgeAfter(mDurations, aRoute.mTargetLatency);
  ++mUnderWay[aPick.mPool];
  mDependencies.mRouter.RecordSent(aPick, now);
  events::line("reward_sent")
    .With("request", aCall->mRequest.mItemId)
    .With("reward", aCall->mRequest.mCall.mId)
    .With("server", aPick.mServer.mId)
    .With("requests_there", static_cast<std::int64_t>(aPick.mRequests))
    .With("sending", static_cast<std::int64_t>(aCall->mSendings))
    .With("hedge", static_cast<std::int64_t>(sent->mIsHedge))
    .With("waited_ms", Since(aCall->mAskedAt, now));
  StartSending(aCall, sent, timeLeft);
  Arm(aCall);
}

void
reward_client::StartSending(const call_ptr& aCall,
                            const std::shared_ptr<sending>& aSending,
                            milliseconds aTimeLeft)
{
  const auto& asked = aCall->mRequest;
  const auto& server = aSending->mPick.mServer;
  edge::request request;
  request.mMethod = "POST";
  request.mTarget = asked.mCall.mPath;
  request.mHeaders.Set("Host", asked.mCall.mHost);
  // Checked when the batch was submitted.
  request.mBody = DecodeBase64(asked.mCall.mBodyBase64).mValue.value_or("");
  site::attempt attempt;
  attempt.mAttemptId = asked.mCall.mId;
  attempt.mServerId = server.mId;
  attempt.mCustomer = asked.mCustomer;
  attempt.mTimeLeft = aTimeLeft;
  edge::call_options options;
  options.mConnectTimeout = kConnectTimeout;
  options.mSilenceTimeout = aTimeLeft + 1s;
  edge::call_events events;
  events.mOnHead = [this, aSending](const edge::response& aHead) {
    TakeHead(aSending, aHead);
  };
  events.mOnBody = [](std::string_view) {};
  events.mOnEnd = [this, aCall, aSending](edge::call_end aEnd) {
    TakeEnd(aCall, aSending, aEnd);
  };
  aSending->mHandle = mDependencies.mClients.Start(
    server.mAddress,
    mDependencies.mProtocol.mAddress(request, attempt),
    options,
    std::move(events));
}

void
reward_client::TakeHead(const std::shared_ptr<sending>& aSending,
                        const edge::response& aHead)
{
  aSending->mStatus = aHead.mStatus;
  aSending->mFacts = mDependencies.mProtocol.mReadResponseMetadata(aHead);
  if (aSending->mFacts.mLoad) {
    mDependencies.mRouter.RecordLoad(
      aSending->mPick, *aSending->mFacts.mLoad, boot_clock::now());
  }
}

answer_kind
reward_client::KindOf(const call& aCall,
                      const sending& aSending,
                      edge::call_end aEnd)
{
  answer_view view;
  view.mEnd = aEnd;
  view.mStatus = aSending.mStatus;
  view.mIsNotExecuted = aSending.mFacts.mIsNotExecuted;
  view.mIsMismatched = aSending.mFacts.mAttemptId != aCall.mRequest.mCall.mId;
  view.mIsSigned = !aSending.mFacts.mSignature.empty();
  return Judge(view);
}

void
reward_client::TakeEnd(const call_ptr& aCall,
                       const std::shared_ptr<sending>& aSending,
                       edge::call_end aEnd)
{
  if (aCall->mIsOver || !aSending->mIsOpen) {
    return;
  }
  const auto kind = KindOf(*aCall, *aSending, aEnd);
  aCall->mErrors += kind == answer_kind::ServerError ? 1 : 0;
  aCall->mOpen.erase(
    std::remove(aCall->mOpen.begin(), aCall->mOpen.end(), aSending),
    aCall->mOpen.end());
  Close(aSending,
        kind == answer_kind::Scored       ? routing::evidence::Success
        : kind == answer_kind::TurnedAway ? routing::evidence::Neutral
                                          : routing::evidence::Failure);
  LogAnswer(*aCall, *aSending, kind, aEnd);
  if (kind == answer_kind::TurnedAway) {
    NoteTurnedAway(mBudget);
  }
  Decide(aCall, aSending, kind);
}

void
reward_client::LogAnswer(const call& aCall,
                         const sending& aSending,
                         answer_kind aKind,
                         edge::call_end aEnd)
{
  events::line("reward_answered")
    .With("request", aCall.mRequest.mItemId)
    .With("reward", aCall.mRequest.mCall.mId)
    .With("server", aSending.mPick.mServer.mId)
    .With("outcome", ToString(aKind))
    .With("end", edge::ToString(aEnd))
    .With("status", static_cast<std::int64_t>(aSending.mStatus))
    .With("errors", static_cast<std::int64_t>(aCall.mErrors))
    .With("hedge", static_cast<std::int64_t>(aSending.mIsHedge))
    .With("took_ms", Since(aSending.mSentAt, boot_clock::now()));
  mDependencies.mMetrics.Count("lavender_reward_answers_total",
                               { { "outcome", ToString(aKind) } });
}

void
reward_client::Decide(const call_ptr& aCall,
                      const std::shared_ptr<sending>& aSending,
                      answer_kind aKind)
{
  const auto now = boot_clock::now();
  const auto route = RouteOf(*aCall);
  // Without its route nobody knows how often the call may fail.
  const auto step =
    route || aKind == answer_kind::Scored
      ? DecideNext(aKind, aCall->mErrors, route ? route->mMaximumAttempts : 1)
      : next_step::SendLater;
  switch (step) {
    case next_step::Deliver:
      NoteDuration(mDurations, Since(aSending->mSentAt, now));
      Finish(aCall, std::move(aSending->mFacts.mSignature));
      return;
    case next_step::GiveUp:
      Finish(aCall, std::nullopt);
      return;
    case next_step::SendLater:
    case next_step::SendAgain:
      break;
  }
  const auto pause = aKind == answer_kind::ServerError
                       ? 0ms
                       : PauseBefore(step, aCall->mSendings);
  aCall->mNotBefore = now + pause;
  PlanDispatch(pause);
}

void
reward_client::Arm(const call_ptr& aCall)
{
  auto at = aCall->mHedgeAt;
  for (const auto& open : aCall->mOpen) {
    at = std::min(at, open->mEndsAt);
  }
  aCall->mTimer->expires_after(std::max(0ms, Since(boot_clock::now(), at)) +
                               1ms);
  aCall->mTimer->async_wait([this, aCall](const auto& aError) {
    if (!aError && !aCall->mIsOver) {
      Look(aCall);
    }
  });
}

void
reward_client::Look(const call_ptr& aCall)
{
  const auto now = boot_clock::now();
  const auto open = aCall->mOpen;
  for (const auto& sent : open) {
    if (now >= sent->mEndsAt && sent->mIsOpen) {
      sent->mHandle.Cancel();
      TakeEnd(aCall, sent, edge::call_end::TimedOut);
    }
  }
  if (aCall->mIsOver || aCall->mOpen.empty()) {
    return;
  }
  if (now >= aCall->mHedgeAt) {
    aCall->mHedgeAt = time_point::max();
    if (TakeHedge(mBudget) && Send(aCall)) {
      mDependencies.mMetrics.Count("lavender_reward_hedges_total", {});
      return;
    }
  }
  Arm(aCall);
}

void
reward_client::Close(const std::shared_ptr<sending>& aSending,
                     routing::evidence aEvidence)
{
  if (!aSending->mIsOpen) {
    return;
  }
  aSending->mIsOpen = false;
  aSending->mHandle.Cancel();
  --mUnderWay[aSending->mPick.mPool];
  mDependencies.mRouter.RecordEnd(
    aSending->mPick, aSending->mSentAt, aEvidence, boot_clock::now());
}

void
reward_client::Retire(const call_ptr& aCall)
{
  mCalls.erase(aCall->mNumber);
  aCall->mIsOver = true;
  aCall->mTimer->cancel();
  for (const auto& open : std::exchange(aCall->mOpen, {})) {
    Close(open, routing::evidence::Neutral);
  }
  PlanDispatch(0ms);
}

void
reward_client::Finish(const call_ptr& aCall, std::optional<std::string> aScore)
{
  Retire(aCall);
  mDependencies.mMetrics.Count("lavender_rewards_total",
                               { { "end", aScore ? "scored" : "given_up" } });
  mDependencies.mMetrics.Observe("lavender_reward_seconds",
                                 { { "end", aScore ? "scored" : "given_up" } },
                                 boot_clock::now() - aCall->mAskedAt);
  const auto done = std::move(aCall->mRequest.mOnEnd);
  done(std::move(aScore));
}

} // namespace lavender::rewards
