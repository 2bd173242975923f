#include "Duties/Batches/BatchRunner.h"

#include "Libraries/EventLog/EventLog.h"

namespace lavender::batches {

void
batch_runner::TakeText(running_batch& aBatch, std::size_t aIndex)
{
  auto& item = aBatch.mItems[aIndex];
  item.mMade.mIsWhole = true;
  if (!item.mItem->mReward) {
    FinishItem(aBatch, item, item_end::Completed);
    return;
  }
  item.mPhase = item_phase::Scoring;
  item.mRun = ++mRuns;
  const auto route = RouteOf(aBatch, *item.mItem);
  const auto now = boot_clock::now();
  const auto age = AgeOf(aBatch.mHead);
  const auto limits = route ? *route : site::route();
  const place where{ aBatch.mHead.mId, aIndex, item.mRun };

  rewards::reward_request request;
  request.mCall = *item.mItem->mReward;
  request.mItemId = item.mItem->mId;
  request.mCustomer = aBatch.mHead.mCustomer;
  request.mGiveUpAt = now + TimeUntilGivenUp(age, limits.mMaximumQueueTime);
  request.mRank = [this, where, dueAt = now - age + limits.mResultsDueAfter] {
    return rewards::reward_rank{ dueAt, OpenInGroup(where) };
  };
  request.mOnEnd = [this, where](std::optional<std::string> aScore) {
    TakeScore(where, std::move(aScore));
  };
  item.mReward = mParts.mRewards.Start(std::move(request));
}

int
batch_runner::OpenInGroup(const place& aPlace) const
{
  const auto batch = mBatches.find(aPlace.mBatchId);
  if (batch == mBatches.end()) {
    return 0;
  }
  const auto& group = batch->second.mItems[aPlace.mIndex].mItem->mGroup;
  return OpenItems(batch->second.mGroups, group);
}

void
batch_runner::TakeScore(const place& aPlace, std::optional<std::string> aScore)
{
  auto* item = Find(aPlace);
  if (!item) {
    return;
  }
  item->mReward = 0;
  item->mRun = 0;
  auto& batch = mBatches.at(aPlace.mBatchId);
  if (!aScore) {
    events::line("item_unscored")
      .With("request", item->mItem->mId)
      .With("batch", aPlace.mBatchId)
      .With("reason", "its reward call failed too often");
  }
  const auto end = aScore ? item_end::Completed : item_end::GivenUp;
  FinishItem(batch, *item, end, std::move(aScore));
}

} // namespace lavender::batches
