#include "Duties/Batches/BatchRunner.h"

#include "Libraries/Core/Base64.h"
#include "Libraries/EventLog/EventLog.h"

#include <algorithm>
#include <boost/asio/post.hpp>

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
/** How often waiting items are looked at when nothing else happens. */
constexpr milliseconds kLookEach = 100ms;
/** Longest time a server may work on one run; more is never left. */
constexpr milliseconds kLongestRun = 60s;

/** Runs that leave a slow server at once, and how often one item does: each
 * move reads the item's tokens again. */
constexpr int kMostMovesAtOnce = 8;
constexpr int kMostMovesOfItem = 2;
/** Errors of servers that an item is given, times the attempts of its route.
 * Most come from a few bad servers, which get fewer runs after each. */
constexpr int kErrorsPerAttempt = 2;

constexpr unsigned kCannotBeDone = 422;

milliseconds
AgeOf(const batch_head& aHead)
{
  return std::chrono::duration_cast<milliseconds>(
    std::chrono::system_clock::now() - aHead.mSubmittedAt);
}

} // namespace

/** What one run has been told. */
struct batch_runner::run_state
{
  edge::response mHead;
  site::answer_facts mFacts;
  event_stream mStream;
  std::int64_t mVersion = 0;
  bool mHasEvents = false;
  bool mIsStale = false;
  bool mIsBroken = false;
};

batch_runner::batch_runner(runner_parts aParts)
  : mParts(std::move(aParts))
  , mTimer(mParts.mLoop)
{
}

void
batch_runner::Add(const batch_head& aHead,
                  std::shared_ptr<const submission> aSubmission,
                  const std::function<bool(const std::string&)>& aHasResult)
{
  running_batch batch;
  batch.mHead = aHead;
  batch.mSubmission = std::move(aSubmission);
  for (const auto& item : batch.mSubmission->mItems) {
    item_progress progress;
    progress.mItem = &item;
    if (aHasResult(item.mId)) {
      progress.mPhase = item_phase::Ended;
    }
    batch.mItems.push_back(std::move(progress));
  }
  Remove(aHead.mId);
  mBatches[aHead.mId] = std::move(batch);
  Dispatch();
}

void
batch_runner::Remove(const std::string& aBatchId)
{
  const auto found = mBatches.find(aBatchId);
  if (found == mBatches.end()) {
    return;
  }
  for (auto& item : found->second.mItems) {
    StopRun(item);
  }
  mBatches.erase(found);
  ForgetGone();
  Dispatch();
}

void
batch_runner::ForgetGone()
{
  ForgetOldHomes(mHomes, boot_clock::now());
  const auto forget = [this](auto& aRows, const auto& aIsUnused) {
    for (auto row = aRows.begin(); row != aRows.end();) {
      const bool isGone = mParts.mDirectory.mRows.count(row->first) == 0;
      row = isGone && aIsUnused(row->second) ? aRows.erase(row) : ++row;
    }
  };
  const auto always = [](const auto&) { return true; };
  forget(mRunsByServer, [](int aRuns) { return aRuns == 0; });
  forget(mBlocked, always);
  forget(mTrials, always);
  forget(mSeenVersions, always);
  forget(mHealths, always);
}

std::size_t
batch_runner::KnownServers() const
{
  return std::max({ mRunsByServer.size(),
                    mBlocked.size(),
                    mSeenVersions.size(),
                    mHealths.size() });
}

void
batch_runner::TakeListed(const std::string& aBatchId,
                         const std::vector<std::string>& aItemIds)
{
  const auto found = mBatches.find(aBatchId);
  if (found == mBatches.end()) {
    return;
  }
  for (auto& item : found->second.mItems) {
    if (std::find(aItemIds.begin(), aItemIds.end(), item.mItem->mId) !=
        aItemIds.end()) {
      StopRun(item);
      item.mPhase = item_phase::Ended;
    }
  }
}

void
batch_runner::NoteRunEnd(const item_progress& aItem, bool aIsFailure)
{
  routing::NoteEnded(mHealths[aItem.mServer].mBreaker,
                     aIsFailure ? routing::evidence::Failure
                                : routing::evidence::Success,
                     RunBreakerLimits(),
                     boot_clock::now());
}

void
batch_runner::EndTrial(const std::string& aServer, std::uint64_t aRun)
{
  const auto trial = mTrials.find(aServer);
  if (trial != mTrials.end() && trial->second == aRun) {
    trial->second = 0;
  }
}

void
batch_runner::StopRun(item_progress& aItem)
{
  if (aItem.mPhase != item_phase::Running) {
    return;
  }
  routing::NoteEnded(mHealths[aItem.mServer].mBreaker,
                     routing::evidence::Neutral,
                     RunBreakerLimits(),
                     boot_clock::now());
  aItem.mCall.Cancel();
  EndTrial(aItem.mServer, aItem.mRun);
  aItem.mRun = 0;
  aItem.mPhase = item_phase::Waiting;
  --mRunsByServer[aItem.mServer];
}

item_progress*
batch_runner::Find(const place& aPlace)
{
  const auto found = mBatches.find(aPlace.mBatchId);
  if (found == mBatches.end()) {
    return nullptr;
  }
  auto& item = found->second.mItems[aPlace.mIndex];
  return item.mRun == aPlace.mRun ? &item : nullptr;
}

void
batch_runner::Dispatch()
{
  if (mIsDispatchPosted) {
    return;
  }
  mIsDispatchPosted = true;
  boost::asio::post(mParts.mLoop, [this] {
    mIsDispatchPosted = false;
    DispatchNow();
  });
}

std::shared_ptr<const site::route>
batch_runner::RouteOf(const running_batch& aBatch,
                      const batch_item& aItem) const
{
  return mParts.mConfiguration ? site::FindRoute(*mParts.mConfiguration,
                                                 aBatch.mHead.mHost,
                                                 aItem.mPath)
                               : nullptr;
}

std::vector<engine_view>
batch_runner::Engines() const
{
  std::vector<engine_view> engines;
  const auto now = boot_clock::now();
  const double usual = UsualEventTime(mHealths);
  for (const auto& [id, row] : mParts.mDirectory.mRows) {
    if (row.mServer.mIsLeaving ||
        !MayUse(mHealths, id, mParts.mDirectory.mRows.size(), now)) {
      continue;
    }
    engine_view engine;
    engine.mId = id;
    engine.mPool = row.mServer.mPool;
    engine.mAvailabilityZone = row.mServer.mAvailabilityZone;
    engine.mSlots = row.mServer.mSlots;
    engine.mVersions = row.mServer.mVersions;
    if (const auto seen = mSeenVersions.find(id); seen != mSeenVersions.end()) {
      for (const auto& [model, version] : seen->second) {
        engine.mVersions[model] = std::max(engine.mVersions[model], version);
      }
    }
    if (const auto runs = mRunsByServer.find(id); runs != mRunsByServer.end()) {
      engine.mOwnRuns = runs->second;
    }
    if (const auto trial = mTrials.find(id); trial != mTrials.end()) {
      engine.mSlots =
        trial->second == 0 ? std::min(engine.mSlots, engine.mOwnRuns + 1) : 0;
    }
    if (const auto blocked = mBlocked.find(id); blocked != mBlocked.end()) {
      engine.mBlockedUntil = blocked->second;
    }
    if (const auto health = mHealths.find(id); health != mHealths.end()) {
      engine.mIsSlow = IsSlow(health->second, usual);
    }
    engines.push_back(std::move(engine));
  }
  return engines;
}

void
batch_runner::GiveUpLate(running_batch& aBatch)
{
  for (auto& item : aBatch.mItems) {
    if (item.mPhase == item_phase::Ended) {
      continue;
    }
    const auto route = RouteOf(aBatch, *item.mItem);
    if (route &&
        TimeUntilGivenUp(AgeOf(aBatch.mHead), route->mMaximumQueueing) <= 0ms) {
      StopRun(item);
      FinishItem(aBatch, item, false);
    }
  }
}

void
batch_runner::DispatchNow()
{
  const auto now = boot_clock::now();
  auto engines = Engines();
  struct candidate
  {
    item_rank mRank;
    running_batch* mBatch;
    std::size_t mIndex;
  };
  std::vector<candidate> waiting;
  for (auto& [id, batch] : mBatches) {
    GiveUpLate(batch);
    const auto submitted = std::chrono::duration_cast<milliseconds>(
      batch.mHead.mSubmittedAt.time_since_epoch());
    for (std::size_t i = 0; i < batch.mItems.size(); ++i) {
      if (batch.mItems[i].mPhase == item_phase::Waiting) {
        waiting.push_back(
          { { submitted.count(), batch.mItems[i].mItem->mExpectedTokens },
            &batch,
            i });
      }
    }
  }
  std::stable_sort(
    waiting.begin(), waiting.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.mRank < aRight.mRank;
    });
  for (const auto& next : waiting) {
    auto& item = next.mBatch->mItems[next.mIndex];
    const auto route = RouteOf(*next.mBatch, *item.mItem);
    if (!route) {
      continue;
    }
    const auto chosen =
      ChooseEngine(engines, NeedOf(*next.mBatch, item, *route), mHomes, now);
    if (chosen) {
      ++engines[*chosen].mOwnRuns;
      StartRun(*next.mBatch, next.mIndex, engines[*chosen], *route);
    }
  }
  if (waiting.empty()) {
    MoveFromSlow(engines, now);
  }
  PlanLook();
}

void
batch_runner::PlanLook()
{
  const bool isBusy =
    std::any_of(mBatches.begin(), mBatches.end(), [](const auto& aEntry) {
      const auto& items = aEntry.second.mItems;
      return std::any_of(items.begin(), items.end(), [](const auto& aItem) {
        return aItem.mPhase != item_phase::Ended;
      });
    });
  if (!isBusy) {
    return;
  }
  mTimer.expires_after(kLookEach);
  mTimer.async_wait([this](const auto& aError) {
    if (!aError) {
      Dispatch();
    }
  });
}

void
batch_runner::MoveFromSlow(std::vector<engine_view>& aEngines, time_point aNow)
{
  int moves = 0;
  for (auto& [id, batch] : mBatches) {
    for (std::size_t i = 0; i < batch.mItems.size(); ++i) {
      auto& item = batch.mItems[i];
      const auto at = std::find_if(
        aEngines.begin(), aEngines.end(), [&](const auto& aEngine) {
          return aEngine.mId == item.mServer;
        });
      if (item.mPhase != item_phase::Running || at == aEngines.end() ||
          !at->mIsSlow || item.mMoves >= kMostMovesOfItem ||
          moves >= kMostMovesAtOnce) {
        continue;
      }
      const auto route = RouteOf(batch, *item.mItem);
      if (!route || !route->mIsResumable) {
        continue;
      }
      const auto chosen =
        ChooseEngine(aEngines, NeedOf(batch, item, *route), mHomes, aNow);
      if (!chosen || aEngines[*chosen].mIsSlow) {
        continue;
      }
      events::line("item_moved")
        .With("request", item.mItem->mId)
        .With("batch", id)
        .With("server", item.mServer)
        .With("to", aEngines[*chosen].mId)
        .With(
          "event_ms",
          static_cast<std::int64_t>(mHealths[item.mServer].mEventMilliseconds));
      mParts.mMetrics.Count("lavender_batch_moves_total", {});
      --at->mOwnRuns;
      StopRun(item);
      ++item.mMoves;
      ++moves;
      ++aEngines[*chosen].mOwnRuns;
      StartRun(batch, i, aEngines[*chosen], *route);
    }
  }
}

item_need
batch_runner::NeedOf(const running_batch& aBatch,
                     const item_progress& aItem,
                     const site::route& aRoute)
{
  item_need need;
  for (const auto& pool : aRoute.mPools) {
    need.mPools.push_back(pool.mPool);
  }
  need.mModel = aBatch.mHead.mModel;
  need.mMinimumVersion = aBatch.mHead.mMinimumVersion;
  need.mGroup = aItem.mItem->mGroup;
  need.mAvoided = aItem.mAvoided;
  return need;
}

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
  routing::NoteSent(mHealths[aEngine.mId].mBreaker, item.mLastSign);
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
    std::clamp(TimeUntilGivenUp(AgeOf(aBatch.mHead), aRoute.mMaximumQueueing),
               milliseconds(1),
               kLongestRun);
  attempt.mAfterEvent = item.mLastEvent;

  const place where{ aBatch.mHead.mId, aIndex, item.mRun };
  auto run = std::make_shared<run_state>();
  edge::call_options options;
  options.mConnectTimeout = kConnectTimeout;
  options.mSilenceTimeout = kRunSilence;
  edge::call_events events;
  events.mOnHead = [this, where, run](const edge::response& aHead) {
    run->mHead = aHead;
    run->mFacts = mParts.mProtocol.mReadAnswer(aHead);
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
    .With("after_event", item.mLastEvent.value_or(-1));
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
      (item->mLastEvent && *aEvent.mId != *item->mLastEvent + 1)) {
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
  if (item->mHasText) {
    item->mText += '\n';
  }
  item->mHasText = true;
  item->mText += aEvent.mData;
  item->mLastEvent = aEvent.mId;
  if (item->mVersions.empty() || item->mVersions.back() != aRun->mVersion) {
    item->mVersions.push_back(aRun->mVersion);
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
      !aRun->mIsStale && !aRun->mIsBroken && item->mHasText) {
    if (route && route->mIsSingleVersion && item->mVersions.size() > 1) {
      item->mText.clear();
      item->mHasText = false;
      item->mLastEvent.reset();
      item->mVersions.clear();
      outcome = "mixed_versions";
    } else {
      LogRunEnd(*item, batch, "completed", aEnd, status);
      FinishItem(batch, *item, true);
      Dispatch();
      return;
    }
  } else if (aRun->mFacts.mIsNotExecuted) {
    outcome = "not_executed";
    Block(item->mServer, kBusyPause);
    mTrials.emplace(item->mServer, 0);
  } else if (aEnd == edge::call_end::Complete && status == kCannotBeDone) {
    LogRunEnd(*item, batch, "cannot_be_done", aEnd, status);
    FinishItem(batch, *item, false);
    return;
  } else if (aEnd == edge::call_end::Complete && status >= 500) {
    outcome = "server_error";
    ++item->mErrors;
    item->mAvoided = item->mServer;
    if (route && item->mErrors >= kErrorsPerAttempt * route->mMaximumAttempts) {
      LogRunEnd(*item, batch, "too_many_errors", aEnd, status);
      FinishItem(batch, *item, false);
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
batch_runner::FinishItem(running_batch& aBatch,
                         item_progress& aItem,
                         bool aIsDone)
{
  aItem.mPhase = item_phase::Ended;
  item_result result;
  result.mItemId = aItem.mItem->mId;
  result.mIsCompleted = aIsDone;
  if (aIsDone) {
    result.mText = std::move(aItem.mText);
    result.mVersions = aItem.mVersions;
  }
  aItem.mText.clear();
  mParts.mMetrics.Count("lavender_batch_items_total",
                        { { "result", aIsDone ? "completed" : "given_up" } });
  mParts.mOnResult(aBatch.mHead.mId, std::move(result));
}

void
batch_runner::Block(const std::string& aServer, milliseconds aPause)
{
  mBlocked[aServer] = boot_clock::now() + aPause;
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
    .With("end", edge::WordFor(aEnd))
    .With("status", static_cast<std::int64_t>(aStatus))
    .With("events", aItem.mLastEvent.value_or(-1));
}

} // namespace lavender::batches
