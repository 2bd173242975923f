#include "Duties/Batches/BatchRunner.h"

#include <algorithm>

namespace lavender::batches {

batch_runner::batch_runner(runner_dependencies aDependencies)
  : mDependencies(std::move(aDependencies))
  , mTimer(mDependencies.mLoop)
{
}

void
batch_runner::Add(const batch_metadata& aMetadata,
                  std::shared_ptr<const submission> aSubmission,
                  const std::function<bool(const std::string&)>& aHasResult,
                  stored_progress aStored)
{
  auto batch = MakeRunningBatch(aMetadata, std::move(aSubmission), aHasResult);
  batch.mIsEndAsked = aStored.mIsEndAsked;
  batch.mHadOtherOwner = aStored.mHadOtherOwner;
  Remove(aMetadata.mId);
  auto& added = mBatches[aMetadata.mId] = std::move(batch);
  RestoreTexts(added, std::move(aStored.mTexts));
  ApplyPlannedRuns(added, aStored.mIsFirstOwner);
  ApplyStoredRuns(aMetadata.mId, aStored.mRuns);
  ApplyStoredErrors(aMetadata.mId, aStored.mErrors, false);
  if (aStored.mIsFirstOwner) {
    added.mTerm = FirstTerm(std::move(aStored.mServers));
  } else {
    for (auto& item : added.mItems) {
      item.mMayHaveRunUnstored =
        !AreRunsPlaced(*item.mItem) && MayRunUnstored(item.mLedger);
      RecordEarlierOwners(item.mErrors, 1 + aStored.mTermsBegun);
    }
    BeginLaterTerm(added, std::move(aStored.mServers));
  }
  ApplyCarriedRuns(aMetadata.mId, aStored.mCarriedRuns);
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
  RemoveStaleState();
  Dispatch();
}

void
batch_runner::RemoveStaleState()
{
  ExpireAffinities(mAffinities, boot_clock::now());
  const auto forget = [this](auto& aRows, const auto& aIsUnused) {
    for (auto row = aRows.begin(); row != aRows.end();) {
      const bool isGone = mDependencies.mDirectory.mRows.count(row->first) == 0;
      row = isGone && aIsUnused(row->second) ? aRows.erase(row) : ++row;
    }
  };
  const auto always = [](const auto&) { return true; };
  forget(mRunsByServer, [](int aRuns) { return aRuns == 0; });
  forget(mBlocked, always);
  forget(mProbes, always);
  forget(mSeenVersions, always);
  forget(mHealths, always);
  forget(mSpeeds, always);
  forget(mStartTimes, always);
  const auto isListed = [this](const site::server_start& aStart) {
    const auto row = mDependencies.mDirectory.mRows.find(aStart.mId);
    return row != mDependencies.mDirectory.mRows.end() &&
           site::StartOf(row->second.mServer) == aStart;
  };
  for (auto server = mGone.begin(); server != mGone.end();) {
    server = isListed(server->first) ? std::next(server) : mGone.erase(server);
  }
  for (auto asked = mAskedServers.begin(); asked != mAskedServers.end();) {
    asked =
      isListed(asked->first) ? std::next(asked) : mAskedServers.erase(asked);
  }
}

milliseconds
batch_runner::DueIn(const std::string& aBatchId) const
{
  const auto batch = mBatches.find(aBatchId);
  return batch == mBatches.end() ? milliseconds(0) : DueIn(batch->second);
}

milliseconds
batch_runner::DueIn(const running_batch& aBatch) const
{
  if (aBatch.mItems.empty()) {
    return milliseconds(0);
  }
  const auto route = RouteOf(aBatch, *aBatch.mItems.front().mItem);
  return (route ? route->mResultsDueAfter : site::route().mResultsDueAfter) -
         AgeOf(aBatch.mMetadata);
}

int
batch_runner::RunsOn(const std::string& aServer) const
{
  const auto runs = mRunsByServer.find(aServer);
  return runs == mRunsByServer.end() ? 0 : runs->second;
}

std::size_t
batch_runner::KnownServers() const
{
  return std::max({ mRunsByServer.size(),
                    mBlocked.size(),
                    mSeenVersions.size(),
                    mHealths.size(),
                    mSpeeds.size(),
                    mStartTimes.size() });
}

void
batch_runner::MarkListed(const std::string& aBatchId,
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
batch_runner::RecordRunEnd(const item_progress& aItem, bool aIsFailure)
{
  routing::RecordEnd(mHealths[aItem.mServer].mBreaker,
                     aItem.mSentAt,
                     aIsFailure ? routing::evidence::Failure
                                : routing::evidence::Success,
                     RunBreakerLimits(),
                     boot_clock::now());
}

void
batch_runner::EndProbe(const std::string& aServer, std::uint64_t aRun)
{
  const auto probe = mProbes.find(aServer);
  if (probe != mProbes.end() && probe->second == aRun) {
    probe->second = 0;
  }
}

void
batch_runner::StopRun(item_progress& aItem)
{
  if (aItem.mPhase == item_phase::Scoring) {
    mDependencies.mRewards.Cancel(std::exchange(aItem.mRewardCall, 0));
    CancelAttempts(aItem.mRewardAttempts, aItem.mLedger);
    aItem.mRunNumber = 0;
    aItem.mPhase = item_phase::Waiting;
    return;
  }
  if (aItem.mPhase == item_phase::Reserved) {
    RecordFate(aItem.mLedger, ServerOf(aItem), run_fate::Survived);
    aItem.mPhase = item_phase::Waiting;
    return;
  }
  if (aItem.mPhase != item_phase::Running) {
    return;
  }
  routing::RecordEnd(mHealths[aItem.mServer].mBreaker,
                     aItem.mSentAt,
                     routing::evidence::Neutral,
                     RunBreakerLimits(),
                     boot_clock::now());
  aItem.mCall.Cancel();
  CancelMove(aItem);
  EndProbe(aItem.mServer, aItem.mRunNumber);
  aItem.mRunNumber = 0;
  aItem.mPhase = item_phase::Waiting;
  --mRunsByServer[aItem.mServer];
}

item_progress*
batch_runner::Find(const run_ref& aRef)
{
  const auto found = mBatches.find(aRef.mBatchId);
  if (found == mBatches.end()) {
    return nullptr;
  }
  auto& item = found->second.mItems[aRef.mIndex];
  return item.mRunNumber == aRef.mRunNumber ? &item : nullptr;
}

void
batch_runner::MarkEnded(running_batch& aBatch, item_progress& aItem)
{
  if (aItem.mPhase != item_phase::Ended) {
    aItem.mPhase = item_phase::Ended;
    RecordResult(aBatch.mGroups, aItem.mItem->mGroup);
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
    result.mText = std::move(aItem.mGenerated.mData);
    result.mVersions = aItem.mGenerated.mVersions;
    result.mScore = std::move(aScore);
  }
  aItem.mGenerated = {};
  mDependencies.mMetrics.Count(
    "lavender_batch_items_total",
    { { "result", isDone ? "completed" : "given_up" } });
  mDependencies.mOnResult(aBatch.mMetadata.mId, std::move(result));
}

void
batch_runner::BlockServer(const std::string& aServer, milliseconds aDelay)
{
  mBlocked[aServer] = boot_clock::now() + aDelay;
}

} // namespace lavender::batches
