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
    auto* scored = Find(ref);
    return scored && MaySendReward(mBatches.at(ref.mBatchId), *scored);
  };
  request.mMayUse = [this, ref](const site::server_start& aServer) {
    const auto* scored = Find(ref);
    return scored ? UseOf(scored->mRewardAttempts,
                          scored->mLedger,
                          mBatches.at(ref.mBatchId).mTerm,
                          aServer,
                          MayHaveEnded(aServer, boot_clock::now()))
                  : rewards::server_use::NotListed;
  };
  request.mReserved = [this, ref] {
    const auto* scored = Find(ref);
    return scored ? scored->mRewardAttempts.mReserved : std::nullopt;
  };
  request.mReserve = [this, ref](const site::server_start& aServer) {
    auto* scored = Find(ref);
    return scored && ReserveReward(ref.mBatchId, *scored, aServer);
  };
  request.mMayHedge = [this, ref] {
    const auto* scored = Find(ref);
    return scored && scored->mLedger.empty();
  };
  request.mOnSurvived = [this, ref](const site::server_start& aServer) {
    if (auto* scored = Find(ref)) {
      RecordAnswer(scored->mRewardAttempts, scored->mLedger, aServer);
    }
  };
  request.mOnCutOff = [this, ref](const site::backend_server& aServer) {
    if (auto* scored = Find(ref)) {
      const auto server = site::StartOf(aServer);
      RecordCutOff(scored->mRewardAttempts, server);
      CountCutOff(
        mBatches.at(ref.mBatchId), ref.mIndex, server, aServer.mAddress);
      RecordUnstoredRun(*scored);
    }
  };
  request.mOnEnd = [this, ref](std::optional<std::string> aScore) {
    HandleScore(ref, std::move(aScore));
  };
  item.mRewardCall = mDependencies.mRewards.Start(std::move(request));
}

bool
batch_runner::MaySendReward(const running_batch& aBatch, item_progress& aItem)
{
  const auto unsettled = WaitReasonOf(aBatch, aItem);
  if (const auto server = aItem.mRewardAttempts.mReserved;
      server && (unsettled == wait_reason::Barred || !MayReserve(*server))) {
    ReleaseServer(aItem.mRewardAttempts, aItem.mLedger);
    return !WaitReasonOf(aBatch, aItem);
  }
  return !unsettled;
}

bool
batch_runner::MayReserve(const site::server_start& aServer) const
{
  return site::FateByDirectory(aServer, mDependencies.mDirectory) !=
           site::server_fate::Ended &&
         !MayHaveEnded(aServer, boot_clock::now());
}

bool
batch_runner::ReserveReward(const std::string& aBatchId,
                            item_progress& aItem,
                            const site::server_start& aServer)
{
  const bool maySend =
    BeginAttempt(aItem.mRewardAttempts, aItem.mLedger, aServer);
  if (!maySend) {
    mDependencies.mStoreRuns(aBatchId);
  }
  return maySend;
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
  CancelAttempts(item->mRewardAttempts, item->mLedger);
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
