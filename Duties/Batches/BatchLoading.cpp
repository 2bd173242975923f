#include "Duties/Batches/BatchService.h"

#include "Libraries/Core/Identity.h"
#include "Libraries/EventLog/EventLog.h"

namespace lavender::batches {

using namespace std::chrono_literals;
using objects::store_outcome;

void
batch_service::Load(const batch_ptr& aBatch, std::function<void(bool)> aDone)
{
  if (aBatch->mIsLoaded) {
    aDone(true);
    return;
  }
  aBatch->mLoadWaiters.push_back(std::move(aDone));
  if (aBatch->mIsLoading) {
    return;
  }
  StartLoad(aBatch);
}

objects::object_done
batch_service::WhileSame(const batch_ptr& aBatch, objects::object_done aDone)
{
  return [aBatch, generation = aBatch->mGeneration, done = std::move(aDone)](
           objects::object_reply aReply) {
    if (aBatch->mGeneration == generation) {
      done(std::move(aReply));
    }
  };
}

void
batch_service::StartLoad(const batch_ptr& aBatch)
{
  aBatch->mIsLoading = true;
  aBatch->mLog = {};
  aBatch->mStored.clear();
  ++aBatch->mGeneration;
  auto gathered = std::make_shared<submission>();
  gathered->mId = aBatch->mHead.mId;
  gathered->mModel = aBatch->mHead.mModel;
  gathered->mMinimumVersion = aBatch->mHead.mMinimumVersion;
  gathered->mTargetGroups = aBatch->mHead.mTargetGroups;
  LoadItems(aBatch, gathered, 0);
}

void
batch_service::LoadItems(const batch_ptr& aBatch,
                         std::shared_ptr<submission> aGathered,
                         int aPart)
{
  if (aPart == aBatch->mHead.mParts) {
    aBatch->mSubmission = aGathered;
    LoadResults(aBatch);
    return;
  }
  mParts.mStore.mGet(kBatchItemsKind,
                     ItemsObjectName(aBatch->mHead.mId, aPart),
                     objects::freshness::Linearizable,
                     WhileSame(aBatch,
                               [this, aBatch, aGathered, aPart](
                                 const objects::object_reply& aReply) {
                                 if (aReply.mOutcome == store_outcome::Done &&
                                     DecodeItems(aReply.mObject, *aGathered)) {
                                   LoadItems(aBatch, aGathered, aPart + 1);
                                 } else {
                                   FinishLoad(aBatch, false);
                                 }
                               }));
}

void
batch_service::LoadResults(const batch_ptr& aBatch)
{
  const auto take = [this, aBatch](const objects::object_reply& aReply) {
    if (aReply.mOutcome == store_outcome::NotFound) {
      FinishLoad(aBatch, true);
      return;
    }
    const auto block = aReply.mOutcome == store_outcome::Done
                         ? DecodeBlock(aReply.mObject)
                         : std::nullopt;
    if (!block) {
      FinishLoad(aBatch, false);
      return;
    }
    TakeBlock(aBatch->mLog, *block);
    for (const auto& part : block->mParts) {
      if (part.mItem < aBatch->mSubmission->mItems.size()) {
        TakePart(aBatch->mStored, block->mWriter, part);
      }
    }
    LoadResults(aBatch);
  };
  mParts.mStore.mGet(
    kBatchResultsKind,
    ResultsObjectName(aBatch->mHead.mId, aBatch->mLog.mNextBlock),
    objects::freshness::Linearizable,
    WhileSame(aBatch, take));
}

void
batch_service::FinishLoad(const batch_ptr& aBatch, bool aIsLoaded)
{
  aBatch->mIsLoading = false;
  aBatch->mIsLoaded = aIsLoaded;
  events::line("batch_loaded")
    .With("batch", aBatch->mHead.mId)
    .With("outcome", aBatch->mIsLoaded ? "loaded" : "failed")
    .With("results", static_cast<std::int64_t>(aBatch->mLog.mListed.size()));
  if (aBatch->mIsLoaded) {
    aBatch->mLoadedAt = aBatch->mEndSeenAt = boot_clock::now();
    Run(aBatch);
  } else if (!aBatch->mHead.mIsEnded) {
    After(kRetryPause, [this, aBatch] {
      if (IsMine(aBatch)) {
        Load(aBatch, [](bool) {});
      }
    });
  }
  TellLoaded(aBatch);
}

void
batch_service::TellLoaded(const batch_ptr& aBatch)
{
  const auto waiters = std::move(aBatch->mLoadWaiters);
  aBatch->mLoadWaiters.clear();
  for (const auto& waiter : waiters) {
    waiter(aBatch->mIsLoaded);
  }
}

void
batch_service::Run(const batch_ptr& aBatch)
{
  auto stored = std::exchange(aBatch->mStored, {});
  if (aBatch->mHead.mIsEnded) {
    return;
  }
  aBatch->mGroups = {};
  for (const auto& item : aBatch->mSubmission->mItems) {
    NoteOpenItem(aBatch->mGroups, item.mGroup);
  }
  for (const auto& item : aBatch->mSubmission->mItems) {
    if (HasResult(aBatch->mLog, item.mId)) {
      NoteResult(aBatch->mGroups, item.mGroup);
    }
  }
  aBatch->mWriter = MakeRandomName();
  mParts.mRunner.Add(
    aBatch->mHead,
    aBatch->mSubmission,
    [&](const std::string& aItemId) {
      return HasResult(aBatch->mLog, aItemId);
    },
    std::move(stored));
  PlanSave(aBatch);
}

void
batch_service::Drop(const batch_ptr& aBatch)
{
  mParts.mRunner.Remove(aBatch->mHead.mId);
  aBatch->mIsLoaded = false;
  aBatch->mIsLoading = false;
  aBatch->mIsCommitting = false;
  ++aBatch->mGeneration;
  aBatch->mLog = {};
  aBatch->mSubmission.reset();
  TellLoaded(aBatch);
  const auto waiters = std::move(aBatch->mResultWaiters);
  aBatch->mResultWaiters.clear();
  for (const auto& waiter : waiters) {
    waiter();
  }
}

} // namespace lavender::batches
