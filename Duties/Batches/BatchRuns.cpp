#include "Duties/Batches/BatchRunner.h"

#include "Duties/Site/ServerCall.h"
#include "Libraries/Core/Base64.h"
#include "Libraries/Core/Mechanisms.h"
#include "Libraries/EventLog/EventLog.h"
#include "Libraries/Json/Text.h"

#include <algorithm>

namespace lavender::batches {

using namespace std::chrono_literals;

namespace {

/** Time for which a server that rejected a run gets none, before a probe run is
 * sent: the server is loading weights (about 0.9 s) or is full for a moment. */
constexpr milliseconds kBusyDelay = 150ms;
/** Time for which a server gets no run after one that ended without a complete
 * response: the server is probably down. */
constexpr milliseconds kFailureDelay = 500ms;
/** Maximum time without an event within a run. Pauses between events are some
 * tens of ms, and a change of weights delays a run by a second or two. */
constexpr milliseconds kRunIdleTimeout = 2500ms;
constexpr milliseconds kConnectTimeout = 300ms;
/** Upper bound of the deadline sent to a server; the time left of an item never
 * exceeds it. */
constexpr milliseconds kMaximumRunTime = 60s;
constexpr unsigned kOk = 200;
constexpr unsigned kUnprocessable = 422;
/** This status and higher ones say that the server failed. */
constexpr unsigned kServerError = 500;
/** A server stops at the deadline that was sent to it, and its response to that
 * arrives within this time. */
constexpr milliseconds kDeadlineMargin = 1s;
/** Maximum size of a body that isn't read, in bytes. */
constexpr std::size_t kMaximumIgnoredBytes = 64 << 10;

/** A stream that stops inside an event is cut off, even where its response ends
 * with its connection and so looks complete. */
edge::call_end
EndOfStream(edge::call_end aEnd, unsigned aStatus, const event_stream& aStream)
{
  return aEnd == edge::call_end::Complete && aStatus == kOk &&
             IsInsideEvent(aStream)
           ? edge::call_end::Broken
           : aEnd;
}

} // namespace

/** State of the response to one run. */
struct batch_runner::run_state
{
  unsigned mStatus = 0;
  site::response_metadata mFacts;
  event_stream mStream;
  std::size_t mIgnoredBytes = 0;
  std::int64_t mVersion = 0;
  bool mHasEvents = false;
  bool mIsStale = false;
  bool mIsBroken = false;
  /** The text is larger than a result can be. */
  bool mIsTooLong = false;
};

void
batch_runner::StartRun(running_batch& aBatch,
                       std::size_t aIndex,
                       const engine_view& aEngine,
                       const site::route& aRoute)
{
  auto& item = aBatch.mItems[aIndex];
  const auto server = mDependencies.mDirectory.mRows.find(aEngine.mId);
  const auto body = DecodeBase64(item.mItem->mBodyBase64);
  if (server == mDependencies.mDirectory.mRows.end()) {
    return;
  }
  if (!body) {
    events::line("item_unreadable")
      .With("request", item.mItem->mId)
      .With("batch", aBatch.mMetadata.mId)
      .With("reason", body.mLastReason);
    StopRun(item);
    FinishItem(aBatch, item, item_end::GivenUp);
    return;
  }
  item.mPhase = item_phase::Running;
  item.mWait.reset();
  item.mApartSince.reset();
  item.mServer = aEngine.mId;
  item.mServerStartedAt = server->second.mServer.mStartedAt;
  item.mServerAddress = server->second.mServer.mAddress;
  item.mRunNumber = ++mLastRunNumber;
  if (const auto probe = mProbes.find(aEngine.mId); probe != mProbes.end()) {
    probe->second = item.mRunNumber;
  }
  item.mSentAt = item.mLastEventAt = boot_clock::now();
  const auto left = EventsLeft(aBatch, item, aRoute);
  const auto expected =
    left.mUpper * RelativeEventTime(aEngine) * UsualEventTime();
  item.mExpectedEnd =
    item.mLastEventAt + std::chrono::duration_cast<milliseconds>(expected);
  routing::RecordSent(mHealths[aEngine.mId].mBreaker, item.mSentAt);
  ++mRunsByServer[aEngine.mId];
  mDependencies.mLimits.RecordSent(server->second.mServer, item.mLastEventAt);
  if (!item.mItem->mGroup.empty()) {
    mAffinities[item.mItem->mGroup] = { aEngine.mId, item.mLastEventAt };
  }

  edge::request request;
  request.mMethod = "POST";
  request.mTarget = item.mItem->mPath;
  request.mHeaders = item.mItem->mHeaders;
  request.mHeaders.Set("Host", aBatch.mMetadata.mHost);
  request.mBody = *body;
  site::attempt attempt;
  attempt.mServerId = aEngine.mId;
  attempt.mCustomer = aBatch.mMetadata.mCustomer;
  attempt.mTimeLeft = std::clamp(
    TimeUntilGivenUp(AgeOf(aBatch.mMetadata), aRoute.mMaximumQueueTime),
    milliseconds(1),
    kMaximumRunTime);
  attempt.mAfterEvent = item.mGenerated.mLastEvent;

  const run_ref ref{ aBatch.mMetadata.mId, aIndex, item.mRunNumber };
  auto run = std::make_shared<run_state>();
  edge::call_options options;
  options.mConnectTimeout = kConnectTimeout;
  options.mSilenceTimeout = kRunIdleTimeout;
  options.mBytesAreProgress = false;
  options.mTotalTimeout = attempt.mTimeLeft + kDeadlineMargin;
  site::server_call_events events;
  events.mOnHead = [this, ref, run](const auto& aHead, const auto& aMetadata) {
    run->mStatus = aHead.mStatus;
    run->mFacts = aMetadata;
    run->mVersion = run->mFacts.mVersion.value_or(0);
    if (const auto* item = Find(ref); item && run->mFacts.mLoad) {
      const auto now = boot_clock::now();
      if (const auto slowdown = run->mFacts.mLoad->mSlowdown) {
        scheduling::RecordSlowdown(mSpeeds[item->mServer], *slowdown, now);
      }
      mDependencies.mLoads.Record(item->mServer, *run->mFacts.mLoad, now);
    }
  };
  events.mOnBody = [this, ref, run](std::string_view aPiece) {
    HandleBody(ref, run, aPiece);
  };
  events.mOnEnd = [this, ref, run](edge::call_end aEnd) {
    HandleRunEnd(ref, run, EndOfStream(aEnd, run->mStatus, run->mStream));
  };
  events::line("item_sent")
    .With("request", item.mItem->mId)
    .With("batch", aBatch.mMetadata.mId)
    .With("server", aEngine.mId)
    .With("own_runs", static_cast<std::int64_t>(aEngine.mOwnRuns))
    .With("relative_time_percent",
          static_cast<std::int64_t>(100 * aEngine.mRelativeTime))
    .With("events_left", static_cast<std::int64_t>(left.mMean))
    .With("expected_ms", static_cast<std::int64_t>(expected.count()))
    .With("after_event", item.mGenerated.mLastEvent.value_or(-1));
  item.mCall = site::CallServer(
    { mDependencies.mClients, mDependencies.mProtocol, mDependencies.mMetrics },
    server->second.mServer.mAddress,
    request,
    attempt,
    options,
    std::move(events));
}

void
batch_runner::HandleBody(const run_ref& aRef,
                         const std::shared_ptr<run_state>& aRun,
                         std::string_view aPiece)
{
  if (aRun->mStatus != kOk) {
    aRun->mIgnoredBytes += aPiece.size();
    if (aRun->mIgnoredBytes > kMaximumIgnoredBytes) {
      AbandonRun(aRef, aRun);
    }
    return;
  }
  if (aRun->mIsStale || aRun->mIsBroken) {
    return;
  }
  const bool isBounded = ParseChunk(
    aRun->mStream,
    aPiece,
    mDependencies.mProtocol.mReadVersionLine,
    [&](stream_event&& aEvent) { HandleEvent(aRef, aRun, std::move(aEvent)); });
  if (auto* item = Find(aRef)) {
    item->mCall.RecordHeld(HeldBytes(aRun->mStream));
  }
  if (!isBounded) {
    AbandonRun(aRef, aRun);
  }
}

void
batch_runner::AbandonRun(const run_ref& aRef,
                         const std::shared_ptr<run_state>& aRun)
{
  if (auto* item = Find(aRef)) {
    item->mCall.Cancel();
    HandleRunEnd(aRef, aRun, edge::call_end::Malformed);
  }
}

void
batch_runner::HandleEvent(const run_ref& aRef,
                          const std::shared_ptr<run_state>& aRun,
                          stream_event&& aEvent)
{
  auto* item = Find(aRef);
  if (!item || aRun->mIsStale || aRun->mIsBroken) {
    return;
  }
  auto& batch = mBatches.at(aRef.mBatchId);
  mProbes.erase(item->mServer);
  aRun->mVersion = aEvent.mVersion.value_or(aRun->mVersion);
  if (aRun->mVersion < batch.mMetadata.mMinimumVersion) {
    aRun->mIsStale = true;
    AbandonRun(aRef, aRun);
    return;
  }
  if (!aEvent.mId || (item->mGenerated.mLastEvent &&
                      *aEvent.mId != *item->mGenerated.mLastEvent + 1)) {
    // An event is missing or duplicated, so no later event can be used.
    aRun->mIsBroken = true;
    AbandonRun(aRef, aRun);
    return;
  }
  if (!json::IsUtf8(aEvent.mData)) {
    // Neither a page of results nor a block can hold it.
    aRun->mIsBroken = true;
    AbandonRun(aRef, aRun);
    return;
  }
  if (WrittenBytesWith(item->mGenerated, aEvent.mData) >
      mDependencies.mMaximumTextBytes) {
    aRun->mIsBroken = true;
    aRun->mIsTooLong = true;
    AbandonRun(aRef, aRun);
    return;
  }
  item->mCall.RecordProgress();
  const auto now = boot_clock::now();
  if (aRun->mHasEvents) {
    scheduling::RecordEventTime(mSpeeds[item->mServer],
                                now - item->mLastEventAt,
                                mRunsByServer[item->mServer],
                                now);
  } else {
    routing::RecordAnswering(mHealths[item->mServer].mBreaker, item->mSentAt);
  }
  aRun->mHasEvents = true;
  item->mLastEventAt = now;
  AddEvent(item->mGenerated, *aEvent.mId, aEvent.mData, aRun->mVersion);
  if (!item->mUnsavedSince) {
    item->mUnsavedSince = now;
  }
  if (!batch.mMetadata.mModel.empty()) {
    mSeenVersions[item->mServer][batch.mMetadata.mModel] = aRun->mVersion;
  }
}

void
batch_runner::HandleRunEnd(const run_ref& aRef,
                           const std::shared_ptr<run_state>& aRun,
                           edge::call_end aEnd)
{
  auto* item = Find(aRef);
  if (!item) {
    return;
  }
  auto& batch = mBatches.at(aRef.mBatchId);
  item->mPhase = item_phase::Waiting;
  CancelMove(*item);
  EndProbe(item->mServer, item->mRunNumber);
  item->mRunNumber = 0;
  --mRunsByServer[item->mServer];
  CountRun(batch, aRef.mIndex, *aRun, aEnd);
  const bool isFailure =
    aEnd != edge::call_end::Unsendable && !aRun->mFacts.mIsNotExecuted &&
    !aRun->mIsStale &&
    (aEnd != edge::call_end::Complete || aRun->mStatus >= kServerError);
  RecordRunEnd(*item, isFailure);
  const auto route = RouteOf(batch, *item->mItem);
  const auto verdict = JudgeRun(*item, *aRun, aEnd, route.get());
  LogRunEnd(*item, batch, verdict.mOutcome, aEnd, aRun->mStatus);
  switch (verdict.mNext) {
    case run_verdict::next::Again:
      break;
    case run_verdict::next::GiveUp:
      FinishItem(batch, *item, item_end::GivenUp);
      return;
    case run_verdict::next::Finish:
      RecordEstimate(*item);
      if (route) {
        scheduling::RecordLength(
          mLengths[batch.mMetadata.mModel],
          HintedEvents(*item->mItem, *route),
          static_cast<int>(*item->mGenerated.mLastEvent) + 1);
      }
      ScoreOrFinishItem(batch, aRef.mIndex);
      break;
  }
  Dispatch();
}

void
batch_runner::CountRun(running_batch& aBatch,
                       std::size_t aIndex,
                       const run_state& aRun,
                       edge::call_end aEnd)
{
  auto& item = aBatch.mItems[aIndex];
  const bool isCutOff = aEnd != edge::call_end::Complete &&
                        edge::MayHaveBeenSent(aEnd) && !aRun.mIsStale;
  if (isCutOff) {
    CountCutOff(aBatch, aIndex, ServerOf(item), item.mServerAddress);
    return;
  }
  if (aEnd == edge::call_end::NotSent) {
    CheckUnreachable(item);
  }
  if (item.mLedger.count(ServerOf(item)) > 0) {
    RecordFate(item.mLedger, ServerOf(item), run_fate::Survived);
  }
}

batch_runner::run_verdict
batch_runner::JudgeRun(item_progress& aItem,
                       const run_state& aRun,
                       edge::call_end aEnd,
                       const site::route* aRoute)
{
  using next = run_verdict::next;
  const bool isComplete = aEnd == edge::call_end::Complete;
  if (aEnd == edge::call_end::Unsendable) {
    return { "cannot_be_sent", next::GiveUp };
  }
  if (isComplete && aRun.mStatus == kOk && !aRun.mIsStale && !aRun.mIsBroken &&
      aItem.mGenerated.mLastEvent) {
    if (aRoute && aRoute->mIsSingleVersion &&
        aItem.mGenerated.mVersions.size() > 1) {
      DiscardText(aItem);
      return { "mixed_versions", next::Again };
    }
    return { "completed", next::Finish };
  }
  if (aRun.mFacts.mIsNotExecuted) {
    BlockServer(aItem.mServer, kBusyDelay);
    if (aRun.mFacts.mIsOtherServer) {
      RecordGone(ServerOf(aItem));
      return { "other_server", next::Again };
    }
    if (IsOn(mechanism::TrialOfOneRun)) {
      mProbes.emplace(aItem.mServer, 0);
    }
    return { "not_executed", next::Again };
  }
  if (isComplete && aRun.mStatus == kUnprocessable) {
    return { "cannot_be_done", next::GiveUp };
  }
  aItem.mAvoidedServer = aItem.mServer;
  if (aRun.mIsTooLong || (isComplete && aRun.mStatus >= kServerError)) {
    if (aRun.mIsTooLong) {
      DiscardText(aItem);
    }
    RecordError(aItem.mErrors);
    if (aRoute && HasFailedTooOften(aItem.mErrors, aRoute->mMaximumAttempts)) {
      return { "too_many_errors", next::GiveUp };
    }
    return { aRun.mIsTooLong ? "text_too_long" : "server_error", next::Again };
  }
  // A server that answers another request still answers.
  if (!isComplete && aEnd != edge::call_end::Foreign) {
    BlockServer(aItem.mServer, kFailureDelay);
  }
  return { "again", next::Again };
}

void
batch_runner::DiscardText(item_progress& aItem)
{
  Restart(aItem.mGenerated);
  aItem.mSaved = {};
}

void
batch_runner::LogRunEnd(const item_progress& aItem,
                        const running_batch& aBatch,
                        const char* aOutcome,
                        edge::call_end aEnd,
                        unsigned aStatus)
{
  events::line("item_run_ended")
    .With("request", aItem.mItem->mId)
    .With("batch", aBatch.mMetadata.mId)
    .With("server", aItem.mServer)
    .With("started_at", aItem.mServerStartedAt)
    .With("outcome", aOutcome)
    .With("end", edge::ToString(aEnd))
    .With("status", static_cast<std::int64_t>(aStatus))
    .With("events", aItem.mGenerated.mLastEvent.value_or(-1));
}

} // namespace lavender::batches
