#include "Duties/Batches/BatchService.h"

#include "Libraries/Edge/RunAfter.h"
#include "Libraries/EventLog/EventLog.h"

#include <algorithm>

namespace lavender::batches {

using namespace std::chrono_literals;
using objects::store_outcome;

batch_service::batch_service(service_dependencies aParts)
  : mParts(std::move(aParts))
{
}

void
batch_service::TakeListing(
  const std::map<std::string, objects::stored_object>& aHeads)
{
  for (const auto& [name, object] : aHeads) {
    if (const auto head = DecodeHead(object)) {
      TakeHead(*head);
    }
  }
  // A head that the listing lacks was removed, unless it is newer than it.
  for (const auto& head : ListBatches()) {
    if (aHeads.count(head.mId) == 0 &&
        std::chrono::system_clock::now() - head.mSubmittedAt > kListingDelay) {
      Forget(head.mId);
    }
  }
  ResumeOwn();
}

void
batch_service::TakeEvent(const objects::object_event& aEvent)
{
  if (aEvent.mIsDeleted) {
    Forget(aEvent.mObject.mName);
    return;
  }
  if (const auto head = DecodeHead(aEvent.mObject)) {
    TakeHead(*head);
  }
}

void
batch_service::Forget(const std::string& aBatchId)
{
  const auto found = mBatches.find(aBatchId);
  if (found != mBatches.end()) {
    const auto batch = found->second;
    mBatches.erase(found);
    Drop(batch);
  }
}

std::vector<batch_metadata>
batch_service::ListBatches() const
{
  std::vector<batch_metadata> heads;
  for (const auto& [id, batch] : mBatches) {
    heads.push_back(batch->mHead);
  }
  return heads;
}

void
batch_service::After(milliseconds aPause, std::function<void()> aAction)
{
  edge::RunAfter(mParts.mLoop, aPause, std::move(aAction));
}

bool
batch_service::IsMine(const batch_ptr& aBatch) const
{
  return aBatch->mHead.mOwner == mParts.mName;
}

void
batch_service::TakeHead(const batch_metadata& aHead)
{
  auto& batch = mBatches[aHead.mId];
  if (!batch) {
    batch = std::make_shared<batch_record>();
    batch->mHead = aHead;
    batch->mOwnedSince = boot_clock::now();
    mParts.mOnAccepted(aHead);
    return;
  }
  if (aHead.mRevision <= batch->mHead.mRevision) {
    return;
  }
  const bool wasMine = IsMine(batch);
  if (batch->mHead.mOwner != aHead.mOwner) {
    batch->mOwnedSince = boot_clock::now();
    events::line("batch_owner_changed")
      .With("batch", aHead.mId)
      .With("owner", aHead.mOwner)
      .With("before", batch->mHead.mOwner);
  }
  batch->mHead = aHead;
  if (wasMine && !IsMine(batch)) {
    Drop(batch);
  } else if (aHead.mIsEnded) {
    mParts.mRunner.Remove(aHead.mId);
  } else if (!wasMine && IsMine(batch)) {
    // Taken over, or handed over by an entry that leaves.
    Load(batch, [](bool) {});
  }
}

void
batch_service::ResumeOwn()
{
  for (const auto& [id, batch] : mBatches) {
    if (IsMine(batch) && !batch->mHead.mIsEnded && !batch->mIsLoaded) {
      Load(batch, [](bool) {});
    }
  }
}

std::size_t
batch_service::OpenBatches() const
{
  return static_cast<std::size_t>(
    std::count_if(mBatches.begin(), mBatches.end(), [&](const auto& aEntry) {
      const auto& batch = *aEntry.second;
      return IsMine(aEntry.second) && batch.mIsLoaded &&
             !batch.mHead.mIsEnded &&
             batch.mLog.mListed.size() <
               static_cast<std::size_t>(batch.mHead.mTotal);
    }));
}

} // namespace lavender::batches
