#include "Duties/Forwarding/ForwardedRequest.h"

#include "Libraries/EventLog/EventLog.h"

namespace lavender::forwarding {

using namespace std::chrono_literals;

namespace {

/** Time for a request whose caller and route name none. */
constexpr milliseconds kDefaultDeadline = 30s;
/** The answer needs a moment on its way back: the server's deadline and ours
 * end this much before the caller's. */
constexpr milliseconds kReturnMargin = 10ms;
/** A server on the same network accepts within a few ms; three tries of a lost
 * first packet would take seconds. */
constexpr milliseconds kConnectTimeout = 150ms;
/** When to come back while no server is known to be free. */
constexpr milliseconds kRetryAfter = 200ms;
/** A plain answer is held whole until here, so that another server can be
 * tried when it breaks; larger ones are passed on as they come. */
constexpr std::size_t kHeldAnswerBytes = 256 << 10;

/** A server's header fields without those of its connection. */
edge::header_list
PassedOn(const edge::header_list& aHeaders)
{
  edge::header_list passed;
  for (const auto& [name, value] : aHeaders.mFields) {
    if (!edge::IsConnectionField(name)) {
      passed.Add(name, value);
    }
  }
  return passed;
}

} // namespace

forwarded_request::forwarded_request(
  forwarder& aForwarder,
  edge::exchange_ptr aExchange,
  std::shared_ptr<const site::route> aRoute,
  std::shared_ptr<const site::customer> aCustomer)
  : mForwarder(aForwarder)
  , mExchange(std::move(aExchange))
  , mRoute(std::move(aRoute))
  , mCustomer(std::move(aCustomer))
  , mCaller(aForwarder.mDependencies.mProtocol.mReadCallerMetadata(
      mExchange->mRequest))
  , mDeadlineTimer(aForwarder.mDependencies.mLoop)
  , mAttemptTimer(aForwarder.mDependencies.mLoop)
{
  auto patience = mCaller.mCallerTimeout.value_or(kDefaultDeadline);
  if (mRoute->mTimeout) {
    patience = std::min(patience, *mRoute->mTimeout);
  }
  mDeadline = mExchange->mReadAt + patience - kReturnMargin;
}

void
forwarded_request::Start()
{
  const auto self = shared_from_this();
  mExchange->OnCallerLeft([self] {
    if (!self->mIsEnded) {
      self->LogEnd("caller_left", 0, "caller closed its connection");
      self->EndAttempt(routing::evidence::Neutral);
      self->Forget();
    }
  });
  mDeadlineTimer.expires_after(TimeLeft());
  mDeadlineTimer.async_wait([self](const auto& aError) {
    if (!aError && !self->mIsEnded) {
      self->TimeOut();
    }
  });
  TryNext();
}

milliseconds
forwarded_request::TimeLeft() const
{
  return std::max(
    milliseconds(0),
    std::chrono::duration_cast<milliseconds>(mDeadline - boot_clock::now()));
}

attempt_budget
forwarded_request::Budget() const
{
  attempt_budget budget;
  budget.mRetryPolicy = mRoute->mRetryPolicy;
  budget.mAttemptsLeft =
    mRoute->mMaximumAttempts - static_cast<int>(mTried.size());
  budget.mTimeLeft = TimeLeft();
  budget.mMayHaveRun = mMayHaveRun;
  return budget;
}

void
forwarded_request::TryNext()
{
  const auto pick =
    mForwarder.mDependencies.mRouter.SelectServer(*mRoute, mTried);
  if (!pick) {
    if (mMayHaveRun) {
      FailUnknown("no other server");
    } else {
      Refuse("no server takes work");
    }
    return;
  }
  Send(*pick);
}

void
forwarded_request::Send(const selected_server& aPick)
{
  mPick = aPick;
  mTried.push_back(aPick.mServer.mId);
  mAnswer.reset();
  mFacts = {};
  mIsMismatched = false;
  mSentAt = boot_clock::now();
  mIsAttemptOpen = true;
  auto& parts = mForwarder.mDependencies;
  parts.mRouter.RecordSent(aPick, mSentAt);

  site::attempt attempt;
  attempt.mServerId = aPick.mServer.mId;
  attempt.mCustomer = mCustomer ? mCustomer->mName : std::string();
  attempt.mTimeLeft = TimeLeft();
  edge::call_options options;
  options.mConnectTimeout = kConnectTimeout;
  options.mSilenceTimeout = TimeLeft() + 1s;
  options.mMayReuse = mRoute->mRetryPolicy == site::retry_policy::Idempotent;
  const auto self = shared_from_this();
  edge::call_events events;
  events.mOnHead = [self](const auto& aHead) { self->TakeHead(aHead); };
  events.mOnBody = [self](auto aPiece) { self->TakeBody(aPiece); };
  events.mOnEnd = [self](auto aEnd) { self->TakeEnd(aEnd); };
  events::line("sent")
    .With("request", mCaller.mAttemptId)
    .With("server", aPick.mServer.mId)
    .With("requests_there", static_cast<std::int64_t>(aPick.mRequests))
    .With("attempt", static_cast<std::int64_t>(mTried.size()))
    .With("time_left_ms", attempt.mTimeLeft);
  ArmAttempt();
  mCall =
    parts.mClients.Start(aPick.mServer.mAddress,
                         parts.mProtocol.mAddress(mExchange->mRequest, attempt),
                         options,
                         std::move(events));
}

void
forwarded_request::ArmAttempt()
{
  const auto patience = PatienceFor(*mRoute, Budget());
  if (patience >= TimeLeft()) {
    mAttemptTimer.cancel();
    return;
  }
  mAttemptTimer.expires_after(patience);
  mAttemptTimer.async_wait(
    [self = shared_from_this(), attempts = mTried.size()](const auto& aError) {
      if (aError || self->mIsEnded || !self->mIsAttemptOpen ||
          self->mTried.size() != attempts || self->mAnswer) {
        return;
      }
      self->mCall.Cancel();
      self->TakeEnd(edge::call_end::TimedOut);
    });
}

void
forwarded_request::TakeHead(const edge::response& aHead)
{
  mFacts = mForwarder.mDependencies.mProtocol.mReadResponseMetadata(aHead);
  mAnswer = aHead;
  mIsMismatched = !mFacts.mAttemptId.empty() && !mCaller.mAttemptId.empty() &&
                  mFacts.mAttemptId != mCaller.mAttemptId;
  if (mIsMismatched) {
    mCall.Cancel();
    TakeEnd(edge::call_end::Malformed);
    return;
  }
  if (mFacts.mLoad) {
    mForwarder.mDependencies.mRouter.RecordLoad(
      mPick, *mFacts.mLoad, boot_clock::now());
  }
  if (!mFacts.mIsNotExecuted) {
    CountStart();
  }
  if (mRoute->mIsStream && aHead.mStatus == 200 && !mIsStreaming) {
    mIsStreaming = true;
    mExchange->Begin(aHead.mStatus, PassedOn(aHead.mHeaders));
  }
}

void
forwarded_request::TakeBody(std::string_view aPiece)
{
  if (mIsStreaming) {
    mExchange->Write(aPiece);
    return;
  }
  mAnswer->mBody.append(aPiece);
  if (mAnswer->mBody.size() > kHeldAnswerBytes && !mFacts.mIsNotExecuted) {
    mIsStreaming = true;
    mExchange->Begin(mAnswer->mStatus, PassedOn(mAnswer->mHeaders));
    mExchange->Write(mAnswer->mBody);
    mAnswer->mBody.clear();
  }
}

void
forwarded_request::CountStart()
{
  if (!mIsCounted && mForwarder.mDependencies.mOnStarted && mCustomer) {
    mIsCounted = true;
    mForwarder.mDependencies.mOnStarted(mCustomer->mName);
  }
}

void
forwarded_request::TakeEnd(edge::call_end aEnd)
{
  mAttemptTimer.cancel();
  attempt_end end;
  end.mEnd = aEnd;
  end.mStatus = mAnswer ? mAnswer->mStatus : 0;
  end.mIsNotExecuted = mAnswer && mFacts.mIsNotExecuted;
  end.mIsMismatched = mIsMismatched;
  const auto execution = ExecutionOf(end);
  EndAttempt(aEnd != edge::call_end::Complete || end.mStatus >= 500
               ? (end.mIsNotExecuted ? routing::evidence::Neutral
                                     : routing::evidence::Failure)
               : routing::evidence::Success);
  if (execution == execution::Unknown) {
    mMayHaveRun = true;
    CountStart();
  }
  if (mIsStreaming) {
    // Part of the answer is with the caller: it can only be whole or cut.
    if (aEnd == edge::call_end::Complete) {
      mExchange->Finish();
      LogEnd("streamed", end.mStatus, "whole");
    } else {
      mExchange->Abort();
      LogEnd("cut", end.mStatus, edge::ToString(aEnd));
    }
    Forget();
    return;
  }
  const auto step = DecideNext(end, Budget());
  events::line("attempt_ended")
    .With("request", mCaller.mAttemptId)
    .With("server", mPick.mServer.mId)
    .With("end", edge::ToString(aEnd))
    .With("status", static_cast<std::int64_t>(end.mStatus))
    .With(
      "took_ms",
      std::chrono::duration_cast<milliseconds>(boot_clock::now() - mSentAt));
  switch (step) {
    case next_step::Deliver:
      Deliver();
      return;
    case next_step::RetryOnAnotherServer:
      mForwarder.mDependencies.mMetrics.Count(
        "lavender_retries_total", { { "reason", edge::ToString(aEnd) } });
      TryNext();
      return;
    case next_step::RefuseNotRun:
      Refuse("servers did not run it");
      return;
    case next_step::FailUnknown:
      FailUnknown(edge::ToString(aEnd));
      return;
  }
}

void
forwarded_request::EndAttempt(routing::evidence aEvidence)
{
  if (!mIsAttemptOpen) {
    return;
  }
  mIsAttemptOpen = false;
  mForwarder.mDependencies.mRouter.RecordEnd(
    mPick, mSentAt, aEvidence, boot_clock::now());
}

void
forwarded_request::Deliver()
{
  edge::response answer;
  answer.mStatus = mAnswer->mStatus;
  answer.mHeaders = PassedOn(mAnswer->mHeaders);
  answer.mBody = std::move(mAnswer->mBody);
  LogEnd("answered", answer.mStatus, "server's answer");
  mExchange->Answer(std::move(answer));
  Forget();
}

void
forwarded_request::Refuse(const char* aReason)
{
  mForwarder.mDependencies.mMetrics.Count("lavender_refusals_total",
                                          { { "reason", aReason } });
  LogEnd("refused", 503, aReason);
  edge::AnswerOwn(mExchange, 503, kRetryAfter);
  Forget();
}

void
forwarded_request::FailUnknown(const char* aReason)
{
  mForwarder.mDependencies.mMetrics.Count("lavender_failures_total",
                                          { { "reason", aReason } });
  LogEnd("failed", 502, aReason);
  edge::AnswerOwn(mExchange, 502);
  Forget();
}

void
forwarded_request::TimeOut()
{
  EndAttempt(routing::evidence::Failure);
  if (mIsStreaming) {
    LogEnd("cut", 0, "deadline");
    mExchange->Abort();
  } else {
    LogEnd("failed", 504, "deadline");
    edge::AnswerOwn(mExchange, 504);
  }
  Forget();
}

void
forwarded_request::Forget()
{
  mIsEnded = true;
  mCall.Cancel();
  mDeadlineTimer.cancel();
  mAttemptTimer.cancel();
  // The exchange's handler holds this object, and this object the exchange.
  mExchange->OnCallerLeft(nullptr);
  mExchange.reset();
}

void
forwarded_request::LogEnd(const char* aOutcome,
                          unsigned aStatus,
                          const char* aReason)
{
  const auto took = std::chrono::duration_cast<milliseconds>(
    boot_clock::now() - mExchange->mReadAt);
  events::line("request_ended")
    .With("request", mCaller.mAttemptId)
    .With("route", mRoute->mName)
    .With("outcome", aOutcome)
    .With("status", static_cast<std::int64_t>(aStatus))
    .With("reason", aReason)
    .With("attempts", static_cast<std::int64_t>(mTried.size()))
    .With("took_ms", took);
  mForwarder.mDependencies.mMetrics.Observe(
    "lavender_request_seconds",
    { { "pool", mRoute->mPools.front().mPool }, { "outcome", aOutcome } },
    boot_clock::now() - mExchange->mReadAt);
}

} // namespace lavender::forwarding
