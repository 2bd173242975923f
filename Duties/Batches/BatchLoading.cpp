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
batch_service::IfSameGeneration(const batch_ptr& aBatch,
                                objects::object_done aDone)
{
  return [aBatch, generation = aBatch->mGeneration, done = std::move(aDone)](
           objects::object_reply aResponse) {
    if (aBatch->mGeneration == generation) {
      done(std::move(aResponse));
    }
  };
}

void
batch_service::StartLoad(const batch_ptr& aBatch)
{
  aBatch->mIsLoading = true;
  EndWrite(aBatch->mWrite);
  aBatch->mLog = {};
  aBatch->mStored = {};
  ++aBatch->mGeneration;
  auto loaded = std::make_shared<submission>();
  loaded->mId = aBatch->mMetadata.mId;
  loaded->mModel = aBatch->mMetadata.mModel;
  loaded->mMinimumVersion = aBatch->mMetadata.mMinimumVersion;
  loaded->mTargetGroups = aBatch->mMetadata.mTargetGroups;
  LoadItems(aBatch, loaded, 0);
}

void
batch_service::LoadItems(const batch_ptr& aBatch,
                         std::shared_ptr<submission> aLoaded,
                         int aPart)
{
  if (aPart == aBatch->mMetadata.mParts) {
    CountItems(*aLoaded);
    aBatch->mSubmission = aLoaded;
    aBatch->mStored.mServers = aLoaded->mServers;
    LoadResults(aBatch);
    return;
  }
  mDependencies.mStore.mGet(
    kBatchItemsKind,
    ItemsObjectName(aBatch->mMetadata.mId, aPart),
    objects::freshness::Linearizable,
    IfSameGeneration(
      aBatch,
      [this, aBatch, aLoaded, aPart](const objects::object_reply& aResponse) {
        if (aResponse.mOutcome == store_outcome::Done &&
            DecodeItems(aResponse.mObject, *aLoaded)) {
          LoadItems(aBatch, aLoaded, aPart + 1);
        } else {
          FinishLoad(aBatch, false);
        }
      }));
}

void
batch_service::LoadResults(const batch_ptr& aBatch)
{
  const auto handleResponse = [this,
                               aBatch](const objects::object_reply& aResponse) {
    if (aResponse.mOutcome == store_outcome::NotFound) {
      aBatch->mStored.mIsFirstOwner = IsFirstOwner(*aBatch);
      FinishLoad(aBatch, true);
      return;
    }
    const auto block = aResponse.mOutcome == store_outcome::Done
                         ? DecodeBlock(aResponse.mObject)
                         : std::nullopt;
    if (!block) {
      FinishLoad(aBatch, false);
      return;
    }
    ApplyBlock(aBatch->mLog, *block);
    for (const auto& part : block->mParts) {
      if (part.mItem < aBatch->mSubmission->mItems.size()) {
        ApplyPart(aBatch->mStored.mTexts, block->mWriter, part);
      }
    }
    auto& runs = aBatch->mStored.mRuns;
    runs.insert(runs.end(), block->mRuns.begin(), block->mRuns.end());
    auto& errors = aBatch->mStored.mErrors;
    errors.insert(errors.end(), block->mErrors.begin(), block->mErrors.end());
    aBatch->mStored.mTermsBegun += block->mServers.mBeginsTerm ? 1 : 0;
    ApplyChange(aBatch->mStored.mServers, block->mServers);
    LoadResults(aBatch);
  };
  mDependencies.mStore.mGet(
    kBatchResultsKind,
    ResultsObjectName(aBatch->mMetadata.mId, aBatch->mLog.mNextBlock),
    objects::freshness::Linearizable,
    IfSameGeneration(aBatch, handleResponse));
}

void
batch_service::FinishLoad(const batch_ptr& aBatch, bool aIsLoaded)
{
  aBatch->mIsLoading = false;
  aBatch->mIsLoaded = aIsLoaded;
  events::line("batch_loaded")
    .With("batch", aBatch->mMetadata.mId)
    .With("outcome", aBatch->mIsLoaded ? "loaded" : "failed")
    .With("results", static_cast<std::int64_t>(aBatch->mLog.mListed.size()));
  if (aBatch->mIsLoaded) {
    aBatch->mLoadedAt = aBatch->mNoMoreBlocksAt = boot_clock::now();
    Run(aBatch);
  } else if (!aBatch->mMetadata.mIsEnded) {
    After(kRetryDelay, [this, aBatch] {
      if (IsOwnedHere(aBatch)) {
        Load(aBatch, [](bool) {});
      }
    });
  }
  NotifyLoadWaiters(aBatch);
}

void
batch_service::NotifyLoadWaiters(const batch_ptr& aBatch)
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
  // Counts of earlier batches with the same items aren't known before.
  if (!mHasListing) {
    return;
  }
  auto stored = std::exchange(aBatch->mStored, {});
  if (aBatch->mMetadata.mIsEnded) {
    return;
  }
  stored.mCarriedRuns = CarriedRunsOf(*aBatch);
  stored.mIsEndAsked = aBatch->mIsEndAsked;
  stored.mHadOtherOwner = HadOtherOwner(*aBatch);
  aBatch->mGroups = {};
  for (const auto& item : aBatch->mSubmission->mItems) {
    RecordOpenItem(aBatch->mGroups, item.mGroup);
  }
  for (const auto& item : aBatch->mSubmission->mItems) {
    if (HasResult(aBatch->mLog, item.mId)) {
      RecordResult(aBatch->mGroups, item.mGroup);
    }
  }
  aBatch->mWriter = MakeRandomName();
  mDependencies.mRunner.Add(
    aBatch->mMetadata,
    aBatch->mSubmission,
    [&](const std::string& aItemId) {
      return HasResult(aBatch->mLog, aItemId);
    },
    std::move(stored));
  aBatch->mHasRun = true;
  if (aBatch->mIsEndAsked) {
    StopRunsOnceChecked(aBatch, kMaximumTries, [] {});
    return;
  }
  ScheduleSave(aBatch);
}

bool
batch_service::IsFirstOwner(const batch_record& aBatch) const
{
  // The metadata may be known here as they were before another entry took the
  // batch over. That entry has written a block before it sent an item.
  return !aBatch.mHasRun && aBatch.mLog.mNextBlock == 0 &&
         aBatch.mMetadata.mOwner == mDependencies.mName &&
         aBatch.mMetadata.mAcceptedBy == mProcessName;
}

bool
batch_service::HadOtherOwner(const batch_record& aBatch) const
{
  // A change of owner clears the name of the process that accepted the batch.
  return aBatch.mMetadata.mOwner != mDependencies.mName ||
         aBatch.mMetadata.mAcceptedBy.empty();
}

void
batch_service::Unload(const batch_ptr& aBatch)
{
  mDependencies.mRunner.Remove(aBatch->mMetadata.mId);
  aBatch->mIsLoaded = false;
  aBatch->mIsLoading = false;
  aBatch->mIsCommitting = false;
  EndWrite(aBatch->mWrite);
  ++aBatch->mGeneration;
  aBatch->mLog = {};
  aBatch->mSubmission.reset();
  NotifyLoadWaiters(aBatch);
  const auto waiters = std::move(aBatch->mResultWaiters);
  aBatch->mResultWaiters.clear();
  for (const auto& waiter : waiters) {
    waiter();
  }
}

} // namespace lavender::batches
