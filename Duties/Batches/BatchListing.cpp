#include "Duties/Batches/BatchService.h"
#include "Duties/Batches/BlockFill.h"
#include "Duties/Batches/ListingPace.h"

#include "Libraries/EventLog/EventLog.h"

#include <algorithm>

namespace lavender::batches {

using namespace std::chrono_literals;
using objects::store_outcome;

namespace {

/** A block that the store finds too large isn't cut below this size, in bytes.
 */
constexpr std::size_t kSmallestBlockBytes = 1024;
/** A text that has been unsaved for this long is written in a block of its own.
 * If the entry dies, a step then loses two seconds of a long run instead of
 * the whole run, which is more than most steps can afford. */
constexpr milliseconds kSeparateSaveAge = 2000ms;
/** A text that has been unsaved for this long is added to a block that is
 * written anyway. Shorter texts mostly end before a stored part would be of
 * use. */
constexpr milliseconds kCombinedSaveAge = 1000ms;
constexpr milliseconds kSaveCheckInterval = 500ms;
/** Interval at which a pending write is checked; writes mostly complete within
 * some ms. */
constexpr milliseconds kPendingWritePollInterval = 50ms;

/** Time for which an entry that lost a batch may still list results: it learns
 * of the new metadata through the feed, up to a second late, and a block that
 * it was writing may take effect six seconds later. */
constexpr milliseconds kLateListingWindow = 15000ms;
/** Results that a reader saw at another entry must be visible here within a
 * second, so the store is asked about twice as often while readers ask. */
constexpr milliseconds kMissingBlockCheckInterval = 400ms;

pending_results
PendingCounts(const batch_record& aBatch)
{
  return { aBatch.mLog.mPending.mItemIds.size(),
           static_cast<std::size_t>(aBatch.mMetadata.mTotal) };
}

} // namespace

void
batch_service::AddResult(const std::string& aBatchId, item_result aResult)
{
  const auto found = mBatches.find(aBatchId);
  if (found == mBatches.end() || !found->second->mIsLoaded) {
    return;
  }
  const auto& batch = found->second;
  const bool isNew = !HasResult(batch->mLog, aResult.mItemId);
  AddPending(batch->mLog,
             aResult.mItemId,
             mDependencies.mEncoder.mEncodeResult(aResult));
  const auto* group = GroupOf(*batch->mSubmission, aResult.mItemId);
  const bool isComplete =
    isNew && group && RecordResult(batch->mGroups, *group);
  ScheduleCommit(batch,
                 CommitDelay(batch->mGroups,
                             batch->mMetadata.mTargetGroups,
                             mDependencies.mRunner.DueIn(aBatchId),
                             isComplete,
                             PendingCounts(*batch)));
}

void
batch_service::StoreRuns(const std::string& aBatchId)
{
  if (const auto found = mBatches.find(aBatchId); found != mBatches.end()) {
    ScheduleCommit(found->second, milliseconds(0));
  }
}

void
batch_service::ScheduleCommit(const batch_ptr& aBatch, milliseconds aDelay)
{
  const auto at = boot_clock::now() + aDelay;
  if (aBatch->mIsCommitting ||
      (aBatch->mCommitAt && *aBatch->mCommitAt <= at)) {
    return;
  }
  aBatch->mCommitAt = at;
  After(aDelay, [this, aBatch, at] {
    if (aBatch->mCommitAt == at) {
      aBatch->mCommitAt.reset();
      Commit(aBatch);
    }
  });
}

void
batch_service::Commit(const batch_ptr& aBatch)
{
  const bool hasResults = !aBatch->mLog.mPending.mItemIds.empty();
  CommitBlock(aBatch, hasResults ? kCombinedSaveAge : kSeparateSaveAge, [] {});
}

result_block
batch_service::NextBlock(const batch_ptr& aBatch,
                         milliseconds aMinimumUnsavedTime) const
{
  auto& runner = mDependencies.mRunner;
  const auto& id = aBatch->mMetadata.mId;
  const auto bytes = BlockBytes(*aBatch);
  result_block all;
  all.mWriter = aBatch->mWriter;
  all.mParts = runner.UnsavedParts(id, aMinimumUnsavedTime, bytes);
  if (aBatch->mLog.mPending.mItemIds.empty() && all.mParts.empty() &&
      !runner.HasRunsToStore(id) && !runner.HasServersToStore(id)) {
    return all;
  }
  all.mRuns = runner.RunsForBlock(id);
  all.mErrors = runner.UnstoredErrors(id);
  all.mServers = runner.UnstoredServers(id);
  return FillBlock(std::move(all), aBatch->mLog, bytes);
}

std::size_t
batch_service::BlockBytes(const batch_record& aBatch) const
{
  const auto largest = LargestContent(mDependencies.mMaximumObjectBytes);
  return std::min(aBatch.mMaximumBlockBytes.value_or(largest), largest);
}

void
batch_service::HandleTooLarge(const batch_ptr& aBatch,
                              const result_block& aBlock)
{
  const auto bytes = EncodeBlock(aBlock).size();
  aBatch->mMaximumBlockBytes =
    std::max(kSmallestBlockBytes, std::min(bytes, BlockBytes(*aBatch)) / 2);
  events::line("block_too_large")
    .With("batch", aBatch->mMetadata.mId)
    .With("block", static_cast<std::int64_t>(aBatch->mLog.mNextBlock))
    .With("bytes", static_cast<std::int64_t>(bytes))
    .With("next_bytes", static_cast<std::int64_t>(*aBatch->mMaximumBlockBytes));
  mDependencies.mMetrics.Count("lavender_batch_blocks_too_large_total", {});
}

void
batch_service::CommitBlock(const batch_ptr& aBatch,
                           milliseconds aMinimumUnsavedTime,
                           std::function<void()> aDone)
{
  if (aBatch->mIsCommitting || !aBatch->mIsLoaded ||
      aBatch->mMetadata.mIsEnded) {
    aDone();
    return;
  }
  const auto block = std::make_shared<const result_block>(
    NextBlock(aBatch, aMinimumUnsavedTime));
  if (IsEmpty(*block)) {
    aDone();
    return;
  }
  const auto& id = aBatch->mMetadata.mId;
  mDependencies.mRunner.MarkRunsWritten(id, block->mRuns);
  mDependencies.mRunner.MarkServersWritten(id, block->mServers);
  aBatch->mIsCommitting = true;
  const auto number = BeginWrite(aBatch->mWrite);
  After(kSilentWriteAge, [this, aBatch, number] {
    if (IsOpen(aBatch->mWrite, number) && !aBatch->mWrite.mIsReadBack) {
      events::line("block_write_unanswered")
        .With("batch", aBatch->mMetadata.mId);
      mDependencies.mRunner.MarkAllUnsaved(aBatch->mMetadata.mId);
      ReadBackCommit(aBatch);
    }
  });
  mDependencies.mStore.mCreate(
    kBatchResultsKind,
    ResultsObjectName(aBatch->mMetadata.mId, aBatch->mLog.mNextBlock),
    EncodeBlock(*block),
    [this, aBatch, block, number, done = std::move(aDone)](
      const objects::object_reply& aResponse) {
      if (IsOpen(aBatch->mWrite, number)) {
        HandleWriteResponse(aBatch, *block, aResponse.mOutcome);
      }
      done();
    });
}

void
batch_service::HandleWriteResponse(const batch_ptr& aBatch,
                                   const result_block& aBlock,
                                   store_outcome aOutcome)
{
  switch (StepAfterWrite(aOutcome)) {
    case write_step::Apply:
      EndWrite(aBatch->mWrite);
      aBatch->mWrite.mRepeats = 0;
      aBatch->mIsCommitting = false;
      mDependencies.mRunner.MarkPartsSaved(aBatch->mMetadata.mId,
                                           aBlock.mParts);
      ApplyListedBlock(aBatch, aBlock);
      ScheduleNextCommit(aBatch);
      return;
    case write_step::WriteAgain:
      EndWrite(aBatch->mWrite);
      aBatch->mIsCommitting = false;
      ScheduleCommit(aBatch, kRetryDelay);
      return;
    case write_step::WriteSmaller:
      EndWrite(aBatch->mWrite);
      aBatch->mIsCommitting = false;
      HandleTooLarge(aBatch, aBlock);
      ScheduleCommit(aBatch, DelayOfRepeat(aBatch->mWrite));
      return;
    case write_step::ReadBack:
      if (!aBatch->mWrite.mIsReadBack) {
        mDependencies.mRunner.MarkAllUnsaved(aBatch->mMetadata.mId);
        ReadBackCommit(aBatch);
      }
      return;
  }
}

void
batch_service::ScheduleSave(const batch_ptr& aBatch)
{
  After(kSaveCheckInterval, [this, aBatch, generation = aBatch->mGeneration] {
    if (aBatch->mGeneration != generation || aBatch->mMetadata.mIsEnded) {
      return;
    }
    if (!mDependencies.mCanReachStore()) {
      OfferBatch(aBatch);
    }
    const auto unsaved = mDependencies.mRunner.UnsavedParts(
      aBatch->mMetadata.mId, kSeparateSaveAge, BlockBytes(*aBatch));
    if (!unsaved.empty()) {
      CommitBlock(aBatch, kCombinedSaveAge, [] {});
    }
    ScheduleSave(aBatch);
  });
}

void
batch_service::SaveTexts(const batch_ptr& aBatch,
                         int aTriesLeft,
                         std::function<void()> aDone)
{
  if (aBatch->mIsCommitting && aTriesLeft > 0) {
    After(kPendingWritePollInterval,
          [this, aBatch, aTriesLeft, done = std::move(aDone)]() mutable {
            SaveTexts(aBatch, aTriesLeft - 1, std::move(done));
          });
    return;
  }
  CommitBlock(aBatch, milliseconds(0), std::move(aDone));
}

void
batch_service::ReadBackCommit(const batch_ptr& aBatch)
{
  aBatch->mWrite.mIsReadBack = true;
  const auto number = aBatch->mWrite.mNumber;
  mDependencies.mStore.mGet(
    kBatchResultsKind,
    ResultsObjectName(aBatch->mMetadata.mId, aBatch->mLog.mNextBlock),
    objects::freshness::Linearizable,
    [this, aBatch, number](const objects::object_reply& aResponse) {
      if (IsOpen(aBatch->mWrite, number)) {
        HandleReadBack(aBatch, aResponse);
      }
    });
  After(kReadBackInterval, [this, aBatch, number] {
    if (IsOpen(aBatch->mWrite, number) && !aBatch->mMetadata.mIsEnded) {
      ReadBackCommit(aBatch);
    }
  });
}

void
batch_service::HandleReadBack(const batch_ptr& aBatch,
                              const objects::object_reply& aResponse)
{
  const auto step = StepAfterReadBack(aResponse.mOutcome);
  if (step == write_step::ReadBack && !aBatch->mMetadata.mIsEnded) {
    // The next read follows at its interval.
    return;
  }
  EndWrite(aBatch->mWrite);
  aBatch->mIsCommitting = false;
  switch (step) {
    case write_step::Apply:
      if (const auto block = DecodeBlock(aResponse.mObject)) {
        aBatch->mWrite.mRepeats = 0;
        ApplyListedBlock(aBatch, *block);
        ScheduleNextCommit(aBatch);
      } else {
        ScheduleCommit(aBatch, kRetryDelay);
      }
      return;
    case write_step::WriteAgain:
    case write_step::WriteSmaller:
      ScheduleCommit(aBatch, DelayOfRepeat(aBatch->mWrite));
      return;
    case write_step::ReadBack:
      return;
  }
}

void
batch_service::ScheduleNextCommit(const batch_ptr& aBatch)
{
  const auto& id = aBatch->mMetadata.mId;
  ScheduleCommit(aBatch,
                 mDependencies.mRunner.HasRunsToStore(id) ||
                     mDependencies.mRunner.HasServersToStore(id)
                   ? milliseconds(0)
                   : CommitDelay(aBatch->mGroups,
                                 aBatch->mMetadata.mTargetGroups,
                                 mDependencies.mRunner.DueIn(id),
                                 true,
                                 PendingCounts(*aBatch)));
}

void
batch_service::ApplyListedBlock(const batch_ptr& aBatch,
                                const result_block& aBlock)
{
  const auto newIds = ApplyBlock(aBatch->mLog, aBlock);
  for (const auto& itemId : newIds) {
    if (const auto* group = GroupOf(*aBatch->mSubmission, itemId)) {
      RecordResult(aBatch->mGroups, *group);
    }
  }
  events::line("results_listed")
    .With("batch", aBatch->mMetadata.mId)
    .With("block", static_cast<std::int64_t>(aBatch->mLog.mNextBlock - 1))
    .With("results", static_cast<std::int64_t>(aBlock.mItemIds.size()))
    .With("listed", static_cast<std::int64_t>(aBatch->mLog.mListed.size()));
  if (!newIds.empty()) {
    mDependencies.mRunner.MarkListed(aBatch->mMetadata.mId, newIds);
  }
  const bool isOwn = aBlock.mWriter == aBatch->mWriter;
  mDependencies.mRunner.ApplyStoredErrors(
    aBatch->mMetadata.mId, aBlock.mErrors, isOwn);
  mDependencies.mRunner.ApplyStoredRuns(aBatch->mMetadata.mId, aBlock.mRuns);
  mDependencies.mRunner.ApplyStoredServers(
    aBatch->mMetadata.mId, aBlock.mServers, isOwn);
  const auto waiters = std::move(aBatch->mResultWaiters);
  aBatch->mResultWaiters.clear();
  for (const auto& waiter : waiters) {
    waiter();
  }
}

bool
batch_service::MayLackResults(const batch_record& aBatch) const
{
  // An owner that writes blocks learns of another entry's block through the
  // conflict with its own. An owner whose batch has ended writes no more, so
  // without this check it would permanently show fewer results than the
  // previous owner did.
  const auto now = boot_clock::now();
  const bool isComplete = aBatch.mLog.mListed.size() >=
                          static_cast<std::size_t>(aBatch.mMetadata.mTotal);
  return !isComplete && aBatch.mLoadedAt &&
         (aBatch.mMetadata.mIsEnded ||
          now - *aBatch.mLoadedAt < kLateListingWindow) &&
         now - aBatch.mNoMoreBlocksAt >= kMissingBlockCheckInterval;
}

void
batch_service::ReadMissingBlocks(const batch_ptr& aBatch,
                                 std::function<void(bool)> aDone)
{
  if (aBatch->mIsCommitting) {
    // The block that is being written would be counted twice.
    aDone(false);
    return;
  }
  aBatch->mIsCommitting = true;
  const auto number = BeginWrite(aBatch->mWrite);
  const auto position = aBatch->mLog.mNextBlock;
  // A read that a silent store left open must not keep results from being
  // written when the store is back.
  After(kSilentWriteAge, [this, aBatch, number] {
    if (IsOpen(aBatch->mWrite, number)) {
      EndWrite(aBatch->mWrite);
      aBatch->mIsCommitting = false;
      ScheduleCommit(aBatch, kRetryDelay);
    }
  });
  mDependencies.mStore.mGet(
    kBatchResultsKind,
    ResultsObjectName(aBatch->mMetadata.mId, position),
    objects::freshness::Linearizable,
    [this,
     aBatch,
     number,
     position,
     generation = aBatch->mGeneration,
     done = std::move(aDone)](const objects::object_reply& aResponse) {
      if (aBatch->mGeneration != generation) {
        done(false);
        return;
      }
      if (IsOpen(aBatch->mWrite, number)) {
        EndWrite(aBatch->mWrite);
        aBatch->mIsCommitting = false;
      } else if (aBatch->mIsCommitting || aBatch->mLog.mNextBlock != position) {
        // Another call reads or writes this position meanwhile, or has done so.
        done(false);
        return;
      }
      const auto block = aResponse.mOutcome == store_outcome::Done
                           ? DecodeBlock(aResponse.mObject)
                           : std::nullopt;
      if (block) {
        ApplyListedBlock(aBatch, *block);
        ReadMissingBlocks(aBatch, done);
        return;
      }
      const bool isEnd = aResponse.mOutcome == store_outcome::NotFound;
      if (isEnd) {
        aBatch->mNoMoreBlocksAt = boot_clock::now();
      }
      ScheduleCommit(aBatch, kRetryDelay);
      done(isEnd);
    });
}

} // namespace lavender::batches
