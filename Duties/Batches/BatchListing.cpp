#include "Duties/Batches/BatchService.h"
#include "Duties/Batches/ListingPace.h"

#include "Libraries/EventLog/EventLog.h"

#include <algorithm>

namespace lavender::batches {

using namespace std::chrono_literals;
using objects::store_outcome;

namespace {

/** A block of results stays below the store's limit on objects. */
constexpr std::size_t kBlockBytes = 900 << 10;
/** A text that has grown this long without being stored is written on its own:
 * an entry that dies then costs a step two seconds of a long run instead of all
 * of it, which is more than most steps have to spare. */
constexpr milliseconds kSaveAlone = 2000ms;
/** One that has grown this long goes along with results that are written
 * anyway; shorter ones mostly end before they would be of use. */
constexpr milliseconds kSaveAlong = 1000ms;
constexpr milliseconds kLookForUnsavedEach = 500ms;
/** A block that is on its way is settled within some ms. */
constexpr milliseconds kSettlePause = 50ms;

/** An entry that lost a batch may not know it for this long, and list results
 * until then: it learns of the new head through the feed, a second late at the
 * worst, and a block that it was writing may come to pass six seconds later. */
constexpr milliseconds kOthersMayList = 15000ms;
/** What a reader saw at another entry must be seen here a second later, so the
 * store is asked about twice as often while readers ask. */
constexpr milliseconds kLookForMoreEach = 400ms;

waiting_results
WaitingOf(const batch_record& aBatch)
{
  return { aBatch.mLog.mPending.mItemIds.size(),
           static_cast<std::size_t>(aBatch.mHead.mTotal) };
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
  AddPending(
    batch->mLog, aResult.mItemId, mParts.mFormat.mEncodeResult(aResult));
  const auto* group = GroupOf(*batch->mSubmission, aResult.mItemId);
  const bool isWhole = isNew && group && NoteResult(batch->mGroups, *group);
  PlanCommit(batch,
             GatherTime(batch->mGroups,
                        batch->mHead.mTargetGroups,
                        mParts.mRunner.DueIn(aBatchId),
                        isWhole,
                        WaitingOf(*batch)));
}

void
batch_service::PlanCommit(const batch_ptr& aBatch, milliseconds aPause)
{
  const auto at = boot_clock::now() + aPause;
  if (aBatch->mIsCommitting ||
      (aBatch->mCommitAt && *aBatch->mCommitAt <= at)) {
    return;
  }
  aBatch->mCommitAt = at;
  After(aPause, [this, aBatch, at] {
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
  CommitBlock(aBatch, hasResults ? kSaveAlong : kSaveAlone, [] {});
}

void
batch_service::CommitBlock(const batch_ptr& aBatch,
                           milliseconds aSaveLongerThan,
                           std::function<void()> aDone)
{
  if (aBatch->mIsCommitting || !aBatch->mIsLoaded || aBatch->mHead.mIsEnded) {
    aDone();
    return;
  }
  const auto block =
    std::make_shared<result_block>(FirstPending(aBatch->mLog, kBlockBytes));
  std::size_t bytes = 0;
  for (const auto& entry : block->mEntries) {
    bytes += entry.size();
  }
  block->mWriter = aBatch->mWriter;
  block->mParts =
    mParts.mRunner.Unsaved(aBatch->mHead.mId,
                           aSaveLongerThan,
                           kBlockBytes - std::min(bytes, kBlockBytes));
  if (block->mItemIds.empty() && block->mParts.empty()) {
    aDone();
    return;
  }
  aBatch->mIsCommitting = true;
  mParts.mStore.mCreate(
    kBatchResultsKind,
    ResultsObjectName(aBatch->mHead.mId, aBatch->mLog.mNextBlock),
    EncodeBlock(*block),
    [this,
     aBatch,
     block,
     generation = aBatch->mGeneration,
     done = std::move(aDone)](const objects::object_reply& aReply) {
      if (aBatch->mGeneration != generation) {
        done();
        return;
      }
      aBatch->mIsCommitting = false;
      if (aReply.mOutcome == store_outcome::Done) {
        mParts.mRunner.NoteSaved(aBatch->mHead.mId, block->mParts);
        TakeListedBlock(aBatch, *block);
        // What came while the block was on its way has no time set.
        const auto dueIn = mParts.mRunner.DueIn(aBatch->mHead.mId);
        PlanCommit(aBatch,
                   GatherTime(aBatch->mGroups,
                              aBatch->mHead.mTargetGroups,
                              dueIn,
                              true,
                              WaitingOf(*aBatch)));
      } else if (aReply.mOutcome == store_outcome::Refused) {
        PlanCommit(aBatch, kRetryPause);
      } else {
        mParts.mRunner.ForgetSaved(aBatch->mHead.mId);
        SettleCommit(aBatch);
      }
      done();
    });
}

void
batch_service::PlanSave(const batch_ptr& aBatch)
{
  After(kLookForUnsavedEach, [this, aBatch, generation = aBatch->mGeneration] {
    if (aBatch->mGeneration != generation || aBatch->mHead.mIsEnded) {
      return;
    }
    if (!mParts.mCanReachStore()) {
      Offer(aBatch);
    }
    const auto unsaved =
      mParts.mRunner.Unsaved(aBatch->mHead.mId, kSaveAlone, kBlockBytes);
    if (!unsaved.empty()) {
      CommitBlock(aBatch, kSaveAlong, [] {});
    }
    PlanSave(aBatch);
  });
}

void
batch_service::SaveThen(const batch_ptr& aBatch,
                        int aTriesLeft,
                        std::function<void()> aDone)
{
  if (aBatch->mIsCommitting && aTriesLeft > 0) {
    After(kSettlePause,
          [this, aBatch, aTriesLeft, done = std::move(aDone)]() mutable {
            SaveThen(aBatch, aTriesLeft - 1, std::move(done));
          });
    return;
  }
  CommitBlock(aBatch, milliseconds(0), std::move(aDone));
}

void
batch_service::SettleCommit(const batch_ptr& aBatch)
{
  aBatch->mIsCommitting = true;
  mParts.mStore.mGet(
    kBatchResultsKind,
    ResultsObjectName(aBatch->mHead.mId, aBatch->mLog.mNextBlock),
    objects::freshness::Linearizable,
    WhileSame(aBatch, [this, aBatch](const objects::object_reply& aReply) {
      aBatch->mIsCommitting = false;
      if (aReply.mOutcome == store_outcome::Done) {
        if (const auto block = DecodeBlock(aReply.mObject)) {
          TakeListedBlock(aBatch, *block);
        }
      }
      PlanCommit(aBatch, kRetryPause);
    }));
}

void
batch_service::TakeListedBlock(const batch_ptr& aBatch,
                               const result_block& aBlock)
{
  const auto news = TakeBlock(aBatch->mLog, aBlock);
  for (const auto& itemId : news) {
    if (const auto* group = GroupOf(*aBatch->mSubmission, itemId)) {
      NoteResult(aBatch->mGroups, *group);
    }
  }
  events::line("results_listed")
    .With("batch", aBatch->mHead.mId)
    .With("block", static_cast<std::int64_t>(aBatch->mLog.mNextBlock - 1))
    .With("results", static_cast<std::int64_t>(aBlock.mItemIds.size()))
    .With("listed", static_cast<std::int64_t>(aBatch->mLog.mListed.size()));
  if (!news.empty()) {
    mParts.mRunner.TakeListed(aBatch->mHead.mId, news);
  }
  const auto waiters = std::move(aBatch->mResultWaiters);
  aBatch->mResultWaiters.clear();
  for (const auto& waiter : waiters) {
    waiter();
  }
}

bool
batch_service::MayHaveMore(const batch_record& aBatch) const
{
  // An owner that writes learns of another's block by the conflict with its
  // own. One that has ended its batch writes no more, so it would show less
  // than the entry before it did, for good.
  const auto now = boot_clock::now();
  const bool isWhole =
    aBatch.mLog.mListed.size() >= static_cast<std::size_t>(aBatch.mHead.mTotal);
  return !isWhole && aBatch.mLoadedAt &&
         (aBatch.mHead.mIsEnded || now - *aBatch.mLoadedAt < kOthersMayList) &&
         now - aBatch.mEndSeenAt >= kLookForMoreEach;
}

void
batch_service::LookForMore(const batch_ptr& aBatch,
                           std::function<void(bool)> aDone)
{
  if (aBatch->mIsCommitting) {
    // The block on its way would be counted twice.
    aDone(false);
    return;
  }
  aBatch->mIsCommitting = true;
  mParts.mStore.mGet(
    kBatchResultsKind,
    ResultsObjectName(aBatch->mHead.mId, aBatch->mLog.mNextBlock),
    objects::freshness::Linearizable,
    [this, aBatch, generation = aBatch->mGeneration, done = std::move(aDone)](
      const objects::object_reply& aReply) {
      if (aBatch->mGeneration != generation) {
        done(false);
        return;
      }
      aBatch->mIsCommitting = false;
      const auto block = aReply.mOutcome == store_outcome::Done
                           ? DecodeBlock(aReply.mObject)
                           : std::nullopt;
      if (block) {
        TakeListedBlock(aBatch, *block);
        LookForMore(aBatch, done);
        return;
      }
      const bool isEnd = aReply.mOutcome == store_outcome::NotFound;
      if (isEnd) {
        aBatch->mEndSeenAt = boot_clock::now();
      }
      PlanCommit(aBatch, kRetryPause);
      done(isEnd);
    });
}

} // namespace lavender::batches
