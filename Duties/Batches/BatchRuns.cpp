#include "Duties/Batches/BatchRunner.h"

#include "Libraries/Core/Base64.h"
#include "Libraries/Core/Mechanisms.h"
#include "Libraries/EventLog/EventLog.h"

#include <algorithm>

namespace lavender::batches {

using namespace std::chrono_literals;

namespace {

/** A server that turned a run away gets none for this long, and then one to
 * try: it loads weights (about 0.9 s) or is full for a moment. */
constexpr milliseconds kBusyPause = 150ms;
/** After a failure that says the server is hardly there. */
constexpr milliseconds kFailurePause = 500ms;
/** Longest silence within a run. A pause between events is some tens of ms,
 * and a change of weights holds a run up for a second or two. */
constexpr milliseconds kRunSilence = 2500ms;
constexpr milliseconds kConnectTimeout = 300ms;
/** Longest time a server may work on one run; more is never left. */
constexpr milliseconds kLongestRun = 60s;
/** Errors of servers that an item is given, times the attempts of its route.
 * Most come from a few bad servers, which get fewer runs after each. */
constexpr int kErrorsPerAttempt = 2;
constexpr unsigned kCannotBeDone = 422;

} // namespace

/** What one run has been told. */
struct batch_runner::run_state
{
  edge::response mHead;
  site::response_metadata mFacts;
  event_stream mStream;
  std::int64_t mVersion = 0;
  bool mHasEvents = false;
  bool mIsStale = false;
  bool mIsBroken = false;
};

void
batch_runner::StartRun(running_batch& aBatch,
                       std::size_t aIndex,
                       const engine_view& aEngine,
                       const site::route& aRoute)
{
  auto& item = aBatch.mItems[aIndex];
  const auto server = mParts.mDirectory.mRows.find(aEngine.mId);
  const auto body = DecodeBase64(item.mItem->mBodyBase64);
  if (!body || server == mParts.mDirectory.mRows.end()) {
    events::line("item_unreadable")
      .With("request", item.mItem->mId)
      .With("reason", body.mLastReason);
    return;
  }
  item.mPhase = item_phase::Running;
  item.mServer = aEngine.mId;
  item.mRun = ++mRuns;
  if (const auto trial = mTrials.find(aEngine.mId); trial != mTrials.end()) {
    trial->second = item.mRun;
  }
  item.mLastSign = boot_clock::now();
  routing::RecordSent(mHealths[aEngine.mId].mBreaker, item.mLastSign);
  ++mRunsByServer[aEngine.mId];
  if (!item.mItem->mGroup.empty()) {
    mHomes[item.mItem->mGroup] = { aEngine.mId, item.mLastSign };
  }

  edge::request request;
  request.mMethod = "POST";
  request.mTarget = item.mItem->mPath;
  request.mHeaders = item.mItem->mHeaders;
  request.mHeaders.Set("Host", aBatch.mHead.mHost);
  request.mBody = *body;
  site::attempt attempt;
  attempt.mServerId = aEngine.mId;
  attempt.mCustomer = aBatch.mHead.mCustomer;
  attempt.mTimeLeft =
    std::clamp(TimeUntilGivenUp(AgeOf(aBatch.mHead), aRoute.mMaximumQueueTime),
               milliseconds(1),
               kLongestRun);
  attempt.mAfterEvent = item.mMade.mLastEvent;

  const place where{ aBatch.mHead.mId, aIndex, item.mRun };
  auto run = std::make_shared<run_state>();
  edge::call_options options;
  options.mConnectTimeout = kConnectTimeout;
  options.mSilenceTimeout = kRunSilence;
  edge::call_events events;
  events.mOnHead = [this, where, run](const edge::response& aHead) {
    run->mHead = aHead;
    run->mFacts = mParts.mProtocol.mReadResponseMetadata(aHead);
    run->mVersion = run->mFacts.mVersion.value_or(0);
  };
  events.mOnBody = [this, where, run](std::string_view aPiece) {
    if (run->mHead.mStatus != 200 || run->mIsStale || run->mIsBroken) {
      return;
    }
    FeedStream(
      run->mStream,
      aPiece,
      mParts.mProtocol.mReadVersionLine,
      [&](stream_event&& aEvent) { TakeEvent(where, run, std::move(aEvent)); });
  };
  events.mOnEnd = [this, where, run](edge::call_end aEnd) {
    TakeRunEnd(where, run, aEnd);
  };
  events::line("item_sent")
    .With("request", item.mItem->mId)
    .With("batch", aBatch.mHead.mId)
    .With("server", aEngine.mId)
    .With("own_runs", static_cast<std::int64_t>(aEngine.mOwnRuns))
    .With("after_event", item.mMade.mLastEvent.value_or(-1));
  item.mCall =
    mParts.mClients.Start(server->second.mServer.mAddress,
                          mParts.mProtocol.mAddress(request, attempt),
                          options,
                          std::move(events));
}

void
batch_runner::TakeEvent(const place& aPlace,
                        const std::shared_ptr<run_state>& aRun,
                        stream_event&& aEvent)
{
  auto* item = Find(aPlace);
  if (!item || aRun->mIsStale || aRun->mIsBroken) {
    return;
  }
  auto& batch = mBatches.at(aPlace.mBatchId);
  mTrials.erase(item->mServer);
  aRun->mVersion = aEvent.mVersion.value_or(aRun->mVersion);
  if (aRun->mVersion < batch.mHead.mMinimumVersion) {
    aRun->mIsStale = true;
    item->mCall.Cancel();
    TakeRunEnd(aPlace, aRun, edge::call_end::Malformed);
    return;
  }
  if (!aEvent.mId ||
      (item->mMade.mLastEvent && *aEvent.mId != *item->mMade.mLastEvent + 1)) {
    // An event is missing or doubled: nothing after it can be used.
    aRun->mIsBroken = true;
    item->mCall.Cancel();
    TakeRunEnd(aPlace, aRun, edge::call_end::Malformed);
    return;
  }
  const auto now = boot_clock::now();
  if (aRun->mHasEvents) {
    NoteEvent(mHealths[item->mServer],
              std::chrono::duration_cast<milliseconds>(now - item->mLastSign));
  }
  aRun->mHasEvents = true;
  item->mLastSign = now;
  AddEvent(item->mMade, *aEvent.mId, aEvent.mData, aRun->mVersion);
  if (!item->mUnsavedSince) {
    item->mUnsavedSince = now;
  }
  if (!batch.mHead.mModel.empty()) {
    mSeenVersions[item->mServer][batch.mHead.mModel] = aRun->mVersion;
  }
}

void
batch_runner::TakeRunEnd(const place& aPlace,
                         const std::shared_ptr<run_state>& aRun,
                         edge::call_end aEnd)
{
  auto* item = Find(aPlace);
  if (!item) {
    return;
  }
  auto& batch = mBatches.at(aPlace.mBatchId);
  const auto route = RouteOf(batch, *item->mItem);
  item->mPhase = item_phase::Waiting;
  EndTrial(item->mServer, item->mRun);
  item->mRun = 0;
  --mRunsByServer[item->mServer];
  const auto status = aRun->mHead.mStatus;
  const bool isForeign =
    status != 0 && aRun->mFacts.mAttemptId != item->mItem->mId;
  const bool isFailure = !aRun->mFacts.mIsNotExecuted && !aRun->mIsStale &&
                         (aEnd != edge::call_end::Complete || status >= 500);
  NoteRunEnd(*item, isFailure);
  const char* outcome = "again";
  if (aEnd == edge::call_end::Complete && status == 200 && !isForeign &&
      !aRun->mIsStale && !aRun->mIsBroken && item->mMade.mLastEvent) {
    if (route && route->mIsSingleVersion && item->mMade.mVersions.size() > 1) {
      Restart(item->mMade);
      item->mSaved = {};
      outcome = "mixed_versions";
    } else {
      LogRunEnd(*item, batch, "completed", aEnd, status);
      TakeText(batch, aPlace.mIndex);
      Dispatch();
      return;
    }
  } else if (aRun->mFacts.mIsNotExecuted) {
    outcome = "not_executed";
    Block(item->mServer, kBusyPause);
    if (IsOn(mechanism::TrialOfOneRun)) {
      mTrials.emplace(item->mServer, 0);
    }
  } else if (aEnd == edge::call_end::Complete && status == kCannotBeDone) {
    LogRunEnd(*item, batch, "cannot_be_done", aEnd, status);
    FinishItem(batch, *item, item_end::GivenUp);
    return;
  } else if (aEnd == edge::call_end::Complete && status >= 500) {
    outcome = "server_error";
    ++item->mErrors;
    item->mAvoided = item->mServer;
    if (route && item->mErrors >= kErrorsPerAttempt * route->mMaximumAttempts) {
      LogRunEnd(*item, batch, "too_many_errors", aEnd, status);
      FinishItem(batch, *item, item_end::GivenUp);
      return;
    }
  } else {
    item->mAvoided = item->mServer;
    if (aEnd != edge::call_end::Complete) {
      Block(item->mServer, kFailurePause);
    }
  }
  LogRunEnd(*item, batch, outcome, aEnd, status);
  Dispatch();
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
    .With("batch", aBatch.mHead.mId)
    .With("server", aItem.mServer)
    .With("outcome", aOutcome)
    .With("end", edge::ToString(aEnd))
    .With("status", static_cast<std::int64_t>(aStatus))
    .With("events", aItem.mMade.mLastEvent.value_or(-1));
}

} // namespace lavender::batches
