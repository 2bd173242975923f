#include "Duties/Forwarding/ForwardedRequest.h"

#include "Duties/Site/ServerCall.h"
#include "Libraries/EventLog/EventLog.h"

#include <utility>

namespace lavender::forwarding {

using namespace std::chrono_literals;

namespace {

/** Deadline of a request for which neither the caller nor the route sets one.
 */
constexpr milliseconds kDefaultDeadline = 30s;
/** The server's deadline and the entry's own end this much before the caller's,
 * because the response takes some time to reach the caller. */
constexpr milliseconds kReturnMargin = 10ms;
/** A server on the same network accepts a connection within a few ms; three
 * retransmissions of a lost SYN would take seconds. */
constexpr milliseconds kConnectTimeout = 150ms;
/** Retry-After of a refused request. */
constexpr milliseconds kRetryAfter = 200ms;
/** A response that isn't a stream is buffered up to this size, so that the
 * request can be sent to another server if the connection breaks; a larger one
 * is forwarded as it arrives. */
constexpr std::size_t kMaximumBufferedBytes = 256 << 10;
/** Maximum size of what waits to be written to the caller, in bytes, apart from
 * what one read adds. */
constexpr std::size_t kMaximumUnsentBytes = 256 << 10;
/** Reason of what happens to requests because the process is told to stop. */
constexpr char kStopReason[] = "process stops";

/** Copies the header fields except hop-by-hop ones. */
edge::header_list
CopyEndToEndHeaders(const edge::header_list& aHeaders)
{
  edge::header_list copy;
  for (const auto& [name, value] : aHeaders.mFields) {
    if (!edge::IsConnectionField(name)) {
      copy.Add(name, value);
    }
  }
  return copy;
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
  auto timeout = mCaller.mCallerTimeout.value_or(kDefaultDeadline);
  if (mRoute->mTimeout) {
    timeout = std::min(timeout, *mRoute->mTimeout);
  }
  mDeadline = mExchange->mReadAt + timeout - kReturnMargin;
  // All attempts send the same body; each copy of a large one could use up the
  // memory.
  auto& request = mExchange->mRequest;
  request.mSharedBody =
    std::make_shared<const std::string>(std::exchange(request.mBody, {}));
}

void
forwarded_request::Start()
{
  const auto self = shared_from_this();
  mForwarder.mUnderWay[this] = self;
  mExchange->OnCallerLeft([self] {
    if (!self->mIsEnded) {
      self->mEnd = request_end::BrokenOff;
      self->LogEnd("caller_left", 0, "caller closed its connection");
      self->EndAttempt(routing::evidence::Neutral);
      self->Release();
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
forwarded_request::CurrentBudget() const
{
  attempt_budget budget;
  budget.mRetryPolicy = mRoute->mRetryPolicy;
  budget.mAttemptsLeft =
    mRoute->mMaximumAttempts - static_cast<int>(mTriedServers.size());
  budget.mTimeLeft = TimeLeft();
  budget.mMayHaveRun = mMayHaveRun;
  return budget;
}

void
forwarded_request::TryNext()
{
  if (!mForwarder.MaySend(mRoute->mName, TimeLeft())) {
    if (mMayHaveRun) {
      FailUnknown(kStopReason);
    } else {
      Refuse(kStopReason);
    }
    return;
  }
  const bool mayReuse = mRoute->mRetryPolicy == site::retry_policy::Idempotent;
  const auto selected = mForwarder.mDependencies.mRouter.SelectServer(
    *mRoute,
    mCustomer.get(),
    mTriedServers,
    mayReuse ? connection_use::Any : connection_use::New);
  if (!selected) {
    if (mMayHaveRun) {
      FailUnknown("no other server");
    } else {
      Refuse("no server takes work");
    }
    return;
  }
  Send(*selected);
}

void
forwarded_request::Send(const selected_server& aSelected)
{
  mSelected = aSelected;
  mTriedServers.push_back(aSelected.mServer.mId);
  mResponse.reset();
  mFacts = {};
  mSentAt = boot_clock::now();
  mFirstSentAt = mFirstSentAt.value_or(mSentAt);
  mIsAttemptOpen = true;
  auto& parts = mForwarder.mDependencies;
  parts.mRouter.RecordSent(aSelected, mSentAt);

  site::attempt attempt;
  attempt.mServerId = aSelected.mServer.mId;
  attempt.mCustomer = mCustomer ? mCustomer->mName : std::string();
  attempt.mTimeLeft = TimeLeft();
  edge::call_options options;
  options.mConnectTimeout = kConnectTimeout;
  options.mSilenceTimeout = TimeLeft() + 1s;
  options.mMayReuse = mRoute->mRetryPolicy == site::retry_policy::Idempotent;
  const auto self = shared_from_this();
  site::server_call_events events;
  events.mOnHead = [self](const auto& aHead, const auto& aMetadata) {
    self->HandleHead(aHead, aMetadata);
  };
  events.mOnBody = [self](auto aPiece) { self->HandleBody(aPiece); };
  events.mOnEnd = [self](auto aEnd) { self->HandleEnd(aEnd); };
  events::line("sent")
    .With("request", mCaller.mAttemptId)
    .With("server", aSelected.mServer.mId)
    .With("requests_there", static_cast<std::int64_t>(aSelected.mRequests))
    .With("attempt", static_cast<std::int64_t>(mTriedServers.size()))
    .With("time_left_ms", attempt.mTimeLeft);
  ArmAttemptTimer();
  mCall = site::CallServer({ parts.mClients, parts.mProtocol, parts.mMetrics },
                           aSelected.mServer.mAddress,
                           mExchange->mRequest,
                           attempt,
                           options,
                           std::move(events));
}

void
forwarded_request::ArmAttemptTimer()
{
  const auto timeout = FirstByteTimeout(*mRoute, CurrentBudget());
  if (timeout >= TimeLeft()) {
    mAttemptTimer.cancel();
    return;
  }
  mAttemptTimer.expires_after(timeout);
  mAttemptTimer.async_wait(
    [self = shared_from_this(),
     attempts = mTriedServers.size()](const auto& aError) {
      if (aError || self->mIsEnded || !self->mIsAttemptOpen ||
          self->mTriedServers.size() != attempts || self->mIsStreaming) {
        return;
      }
      self->mCall.Cancel();
      self->HandleEnd(edge::call_end::TimedOut);
    });
}

void
forwarded_request::HandleHead(const edge::response& aHead,
                              const site::response_metadata& aMetadata)
{
  mFacts = aMetadata;
  mResponse = aHead;
  if (mFacts.mLoad) {
    mForwarder.mDependencies.mRouter.RecordLoad(
      mSelected, *mFacts.mLoad, boot_clock::now());
  }
  if (!mFacts.mIsNotExecuted) {
    ReportStarted();
  }
  if (mRoute->mIsStream && aHead.mStatus == 200 && !mIsStreaming) {
    mIsStreaming = true;
    mStreamEnd = BeginStream(aHead);
    mExchange->Begin(aHead.mStatus, CopyEndToEndHeaders(aHead.mHeaders));
    mAttemptTimer.cancel();
    return;
  }
  ArmAttemptTimer();
}

void
forwarded_request::HandleBody(std::string_view aPiece)
{
  if (mIsStreaming) {
    WriteToCaller(aPiece);
    return;
  }
  mResponse->mBody.append(aPiece);
  mCall.RecordHeld(mResponse->mBody.capacity());
  if (mResponse->mBody.size() <= kMaximumBufferedBytes) {
    ArmAttemptTimer();
    return;
  }
  if (mFacts.mIsNotExecuted) {
    // Nothing of such a response is forwarded.
    mCall.Cancel();
    HandleEnd(edge::call_end::Malformed);
    return;
  }
  mIsStreaming = true;
  mAttemptTimer.cancel();
  mExchange->Begin(mResponse->mStatus,
                   CopyEndToEndHeaders(mResponse->mHeaders));
  WriteToCaller(std::exchange(mResponse->mBody, {}));
}

void
forwarded_request::WriteToCaller(std::string_view aPiece)
{
  RecordBytes(mStreamEnd, aPiece);
  mExchange->Write(aPiece);
  mCall.RecordHeld(mExchange->Unsent());
  if (mExchange->Unsent() <= kMaximumUnsentBytes) {
    return;
  }
  mCall.Pause();
  mExchange->OnWritten([weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->ResumeReading();
    }
  });
}

void
forwarded_request::ResumeReading()
{
  if (!mIsEnded && mExchange->Unsent() <= kMaximumUnsentBytes) {
    mExchange->OnWritten(nullptr);
    mCall.RecordHeld(mExchange->Unsent());
    mCall.Resume();
  }
}

void
forwarded_request::ReportStarted()
{
  if (!mIsStartReported && mForwarder.mDependencies.mOnStarted && mCustomer) {
    mIsStartReported = true;
    mForwarder.mDependencies.mOnStarted(mCustomer->mName);
  }
}

void
forwarded_request::HandleEnd(edge::call_end aEnd)
{
  mAttemptTimer.cancel();
  if (aEnd == edge::call_end::Complete && IsCutOff(mStreamEnd)) {
    aEnd = edge::call_end::Broken;
  }
  attempt_end end;
  end.mEnd = aEnd;
  end.mStatus = mResponse ? mResponse->mStatus : 0;
  end.mIsNotExecuted = mResponse && mFacts.mIsNotExecuted;
  const auto execution = ExecutionOf(end);
  EndAttempt(aEnd != edge::call_end::Complete || end.mStatus >= 500
               ? (end.mIsNotExecuted ? routing::evidence::Neutral
                                     : routing::evidence::Failure)
               : routing::evidence::Success);
  if (execution == execution::Unknown) {
    mMayHaveRun = true;
    ReportStarted();
  }
  if (mIsStreaming) {
    // The caller already has part of the response, so the response can only be
    // completed or aborted.
    if (aEnd == edge::call_end::Complete) {
      mExchange->Finish();
      LogEnd("streamed", end.mStatus, "whole");
    } else {
      mExchange->Abort();
      LogEnd("cut", end.mStatus, edge::ToString(aEnd));
    }
    Release();
    return;
  }
  const auto step = DecideNext(end, CurrentBudget());
  events::line("attempt_ended")
    .With("request", mCaller.mAttemptId)
    .With("server", mSelected.mServer.mId)
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
    mSelected, mSentAt, aEvidence, boot_clock::now());
}

void
forwarded_request::Deliver()
{
  edge::response response;
  response.mStatus = mResponse->mStatus;
  response.mHeaders = CopyEndToEndHeaders(mResponse->mHeaders);
  response.mBody = std::move(mResponse->mBody);
  LogEnd("answered", response.mStatus, "server's answer");
  mExchange->Answer(std::move(response));
  Release();
}

void
forwarded_request::Refuse(const char* aReason)
{
  mForwarder.mDependencies.mMetrics.Count("lavender_refusals_total",
                                          { { "reason", aReason } });
  LogEnd("refused", 503, aReason);
  edge::AnswerOwn(mExchange, 503, kRetryAfter);
  Release();
}

void
forwarded_request::FailUnknown(const char* aReason)
{
  mForwarder.mDependencies.mMetrics.Count("lavender_failures_total",
                                          { { "reason", aReason } });
  LogEnd("failed", 502, aReason);
  edge::AnswerOwn(mExchange, 502);
  Release();
}

void
forwarded_request::TimeOut()
{
  mEnd = request_end::BrokenOff;
  EndAttempt(routing::evidence::Failure);
  if (mIsStreaming) {
    LogEnd("cut", 0, "deadline");
    mExchange->Abort();
  } else {
    LogEnd("failed", 504, "deadline");
    edge::AnswerOwn(mExchange, 504);
  }
  Release();
}

milliseconds
forwarded_request::Age(time_point aNow) const
{
  return mFirstSentAt
           ? std::chrono::duration_cast<milliseconds>(aNow - *mFirstSentAt)
           : milliseconds(0);
}

bool
forwarded_request::EndUnlessBegun()
{
  if (mIsEnded || mIsStreaming) {
    return false;
  }
  mEnd = request_end::BrokenOff;
  EndAttempt(routing::evidence::Neutral);
  ReportStarted();
  FailUnknown(kStopReason);
  return true;
}

void
forwarded_request::Cut()
{
  if (mIsEnded) {
    return;
  }
  mEnd = request_end::BrokenOff;
  EndAttempt(routing::evidence::Neutral);
  mForwarder.mDependencies.mMetrics.Count("lavender_stop_cuts_total",
                                          { { "route", mRoute->mName } });
  LogEnd("cut", 0, kStopReason);
  mExchange->Abort();
  Release();
}

void
forwarded_request::Release()
{
  mIsEnded = true;
  mForwarder.mUnderWay.erase(this);
  if (mFirstSentAt) {
    RecordDuration(
      mForwarder.mDurations[mRoute->mName], Age(boot_clock::now()), mEnd);
  }
  mCall.Cancel();
  mDeadlineTimer.cancel();
  mAttemptTimer.cancel();
  // Breaks the reference cycle: the exchange's handler owns this object, and
  // this object owns the exchange.
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
    .With("attempts", static_cast<std::int64_t>(mTriedServers.size()))
    .With("took_ms", took);
  mForwarder.mDependencies.mMetrics.Observe(
    "lavender_request_seconds",
    { { "pool", mRoute->mPools.front().mPool }, { "outcome", aOutcome } },
    boot_clock::now() - mExchange->mReadAt);
}

} // namespace lavender::forwarding
