#include "Duties/Batches/BatchRunner.h"

#include <algorithm>

namespace lavender::batches {

batch_runner::batch_runner(runner_dependencies aParts)
  : mParts(std::move(aParts))
  , mTimer(mParts.mLoop)
{
}

void
batch_runner::Add(const batch_metadata& aHead,
                  std::shared_ptr<const submission> aSubmission,
                  const std::function<bool(const std::string&)>& aHasResult,
                  stored_texts aStored)
{
  running_batch batch;
  batch.mHead = aHead;
  batch.mSubmission = std::move(aSubmission);
  for (const auto& item : batch.mSubmission->mItems) {
    item_progress progress;
    progress.mItem = &item;
    if (aHasResult(item.mId)) {
      progress.mPhase = item_phase::Ended;
    } else {
      NoteOpenItem(batch.mGroups, item.mGroup);
    }
    batch.mItems.push_back(std::move(progress));
  }
  Remove(aHead.mId);
  mBatches[aHead.mId] = std::move(batch);
  TakeStored(mBatches[aHead.mId], std::move(aStored));
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

milliseconds
batch_runner::DueIn(const std::string& aBatchId) const
{
  const auto batch = mBatches.find(aBatchId);
  if (batch == mBatches.end() || batch->second.mItems.empty()) {
    return milliseconds(0);
  }
  const auto& running = batch->second;
  const auto route = RouteOf(running, *running.mItems.front().mItem);
  return (route ? route->mResultsDueAfter : site::route().mResultsDueAfter) -
         AgeOf(running.mHead);
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
      MarkEnded(found->second, item);
    }
  }
}

void
batch_runner::NoteRunEnd(const item_progress& aItem, bool aIsFailure)
{
  routing::RecordEnd(mHealths[aItem.mServer].mBreaker,
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
  if (aItem.mPhase == item_phase::Scoring) {
    mParts.mRewards.Cancel(std::exchange(aItem.mReward, 0));
    aItem.mRun = 0;
    aItem.mPhase = item_phase::Waiting;
    return;
  }
  if (aItem.mPhase != item_phase::Running) {
    return;
  }
  routing::RecordEnd(mHealths[aItem.mServer].mBreaker,
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
batch_runner::MarkEnded(running_batch& aBatch, item_progress& aItem)
{
  if (aItem.mPhase != item_phase::Ended) {
    aItem.mPhase = item_phase::Ended;
    NoteResult(aBatch.mGroups, aItem.mItem->mGroup);
  }
}

void
batch_runner::FinishItem(running_batch& aBatch,
                         item_progress& aItem,
                         item_end aEnd,
                         std::optional<std::string> aScore)
{
  const bool isDone = aEnd == item_end::Completed;
  MarkEnded(aBatch, aItem);
  item_result result;
  result.mItemId = aItem.mItem->mId;
  result.mIsCompleted = isDone;
  if (isDone) {
    result.mText = std::move(aItem.mMade.mData);
    result.mVersions = aItem.mMade.mVersions;
    result.mScore = std::move(aScore);
  }
  aItem.mMade = {};
  mParts.mMetrics.Count("lavender_batch_items_total",
                        { { "result", isDone ? "completed" : "given_up" } });
  mParts.mOnResult(aBatch.mHead.mId, std::move(result));
}

void
batch_runner::Block(const std::string& aServer, milliseconds aPause)
{
  mBlocked[aServer] = boot_clock::now() + aPause;
}

} // namespace lavender::batches
