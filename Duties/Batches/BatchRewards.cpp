#include "Duties/Batches/BatchRunner.h"

#include "Libraries/EventLog/EventLog.h"

namespace lavender::batches {

void
batch_runner::ScoreOrFinishItem(running_batch& aBatch, std::size_t aIndex)
{
  auto& item = aBatch.mItems[aIndex];
  item.mGenerated.mIsComplete = true;
  if (!item.mItem->mReward) {
    FinishItem(aBatch, item, item_end::Completed);
    return;
  }
  item.mPhase = item_phase::Scoring;
  item.mRunNumber = ++mLastRunNumber;
  const auto route = RouteOf(aBatch, *item.mItem);
  const auto now = boot_clock::now();
  const auto age = AgeOf(aBatch.mMetadata);
  const auto limits = route ? *route : site::route();
  const run_ref ref{ aBatch.mMetadata.mId, aIndex, item.mRunNumber };

  rewards::reward_request request;
  request.mCall = *item.mItem->mReward;
  request.mItemId = item.mItem->mId;
  request.mCustomer = aBatch.mMetadata.mCustomer;
  request.mGiveUpAt = now + TimeUntilGivenUp(age, limits.mMaximumQueueTime);
  request.mPriority = [this, ref, dueAt = now - age + limits.mResultsDueAfter] {
    return rewards::reward_priority{ dueAt, OpenItemsInGroup(ref) };
  };
  request.mMaySend = [this, ref] {
    const auto* scored = Find(ref);
    return scored && IsCountSettled(*scored) &&
           mBatches.at(ref.mBatchId).mTerm.mPhase == term_phase::Begun;
  };
  request.mMayUse = [this, ref](const site::server_start& aServer) {
    return Find(ref) && MayUse(mBatches.at(ref.mBatchId).mTerm, aServer);
  };
  request.mMayHedge = [this, ref] {
    const auto* scored = Find(ref);
    return scored && scored->mLedger.empty();
  };
  request.mOnCutOff = [this, ref](const site::backend_server& aServer) {
    if (Find(ref)) {
      CountCutOff(mBatches.at(ref.mBatchId),
                  ref.mIndex,
                  site::StartOf(aServer),
                  aServer.mAddress);
    }
  };
  request.mOnEnd = [this, ref](std::optional<std::string> aScore) {
    HandleScore(ref, std::move(aScore));
  };
  item.mRewardCall = mDependencies.mRewards.Start(std::move(request));
}

int
batch_runner::OpenItemsInGroup(const run_ref& aRef) const
{
  const auto batch = mBatches.find(aRef.mBatchId);
  if (batch == mBatches.end()) {
    return 0;
  }
  const auto& group = batch->second.mItems[aRef.mIndex].mItem->mGroup;
  return OpenItems(batch->second.mGroups, group);
}

void
batch_runner::HandleScore(const run_ref& aRef,
                          std::optional<std::string> aScore)
{
  auto* item = Find(aRef);
  if (!item) {
    return;
  }
  item->mRewardCall = 0;
  item->mRunNumber = 0;
  auto& batch = mBatches.at(aRef.mBatchId);
  if (!aScore) {
    events::line("item_unscored")
      .With("request", item->mItem->mId)
      .With("batch", aRef.mBatchId)
      .With("reason", "its reward call failed as often as its route allows");
  }
  const auto end = aScore ? item_end::Completed : item_end::GivenUp;
  FinishItem(batch, *item, end, std::move(aScore));
}

} // namespace lavender::batches
