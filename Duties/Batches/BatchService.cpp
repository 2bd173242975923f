#include "Duties/Batches/BatchService.h"

#include "Duties/Batches/CarriedRuns.h"
#include "Libraries/Edge/RunAfter.h"
#include "Libraries/EventLog/EventLog.h"

#include <algorithm>

namespace lavender::batches {

using namespace std::chrono_literals;
using objects::store_outcome;

batch_service::batch_service(service_dependencies aDependencies)
  : mDependencies(std::move(aDependencies))
{
}

void
batch_service::TakeListing(
  const std::map<std::string, objects::stored_object>& aListing)
{
  for (const auto& [name, object] : aListing) {
    if (const auto metadata = DecodeMetadata(object)) {
      ApplyMetadata(*metadata);
    }
  }
  // A batch that the listing lacks was removed, unless the batch is newer than
  // the listing.
  for (const auto& metadata : ListBatches()) {
    if (aListing.count(metadata.mId) == 0 &&
        std::chrono::system_clock::now() - metadata.mSubmittedAt >
          kListingLag) {
      RemoveBatch(metadata.mId);
    }
  }
  if (!std::exchange(mHasListing, true)) {
    for (const auto& [id, batch] : mBatches) {
      if (IsOwnedHere(batch) && batch->mIsLoaded) {
        Run(batch);
      }
    }
  }
  LoadOwnedBatches();
}

void
batch_service::TakeEvent(const objects::object_event& aEvent)
{
  if (aEvent.mIsDeleted) {
    RemoveBatch(aEvent.mObject.mName);
    return;
  }
  if (const auto metadata = DecodeMetadata(aEvent.mObject)) {
    ApplyMetadata(*metadata);
  }
}

void
batch_service::RemoveBatch(const std::string& aBatchId)
{
  const auto found = mBatches.find(aBatchId);
  if (found != mBatches.end()) {
    const auto batch = found->second;
    mBatches.erase(found);
    Unload(batch);
  }
}

std::vector<batch_metadata>
batch_service::ListBatches() const
{
  std::vector<batch_metadata> batches;
  for (const auto& [id, batch] : mBatches) {
    batches.push_back(batch->mMetadata);
  }
  return batches;
}

std::set<std::string>
batch_service::OwnersOfOpenBatches() const
{
  std::set<std::string> owners;
  for (const auto& [id, batch] : mBatches) {
    if (!batch->mMetadata.mIsEnded) {
      owners.insert(batch->mMetadata.mOwner);
    }
  }
  return owners;
}

void
batch_service::After(milliseconds aDelay, std::function<void()> aAction)
{
  edge::RunAfter(mDependencies.mLoop, aDelay, std::move(aAction));
}

bool
batch_service::IsOwnedHere(const batch_ptr& aBatch) const
{
  return aBatch->mMetadata.mOwner == mDependencies.mName;
}

void
batch_service::ApplyCountedRuns(const batch_metadata& aEnded)
{
  for (const auto& [id, batch] : mBatches) {
    if (id != aEnded.mId && batch->mIsLoaded && !batch->mMetadata.mIsEnded &&
        batch->mMetadata.mCustomer == aEnded.mCustomer) {
      mDependencies.mRunner.ApplyCarriedRuns(
        id, CarriedRuns(*batch->mSubmission, aEnded.mCountedRuns));
    }
  }
}

std::vector<run_record>
batch_service::CarriedRunsOf(const batch_record& aBatch) const
{
  std::vector<run_record> records;
  for (const auto& [id, other] : mBatches) {
    const auto& earlier = other->mMetadata;
    if (id == aBatch.mMetadata.mId ||
        earlier.mCustomer != aBatch.mMetadata.mCustomer) {
      continue;
    }
    const auto carried = CarriedRuns(*aBatch.mSubmission, earlier.mCountedRuns);
    records.insert(records.end(), carried.begin(), carried.end());
  }
  return records;
}

void
batch_service::ApplyMetadata(const batch_metadata& aMetadata)
{
  auto& batch = mBatches[aMetadata.mId];
  if (!batch) {
    batch = std::make_shared<batch_record>();
    batch->mMetadata = aMetadata;
    batch->mOwnerChangedAt = boot_clock::now();
    mDependencies.mRunner.LearnSpeeds(aMetadata);
    mDependencies.mOnAccepted(aMetadata);
    ApplyCountedRuns(aMetadata);
    return;
  }
  if (aMetadata.mRevision <= batch->mMetadata.mRevision) {
    return;
  }
  const bool wasOwnedHere = IsOwnedHere(batch);
  if (batch->mMetadata.mOwner != aMetadata.mOwner) {
    batch->mOwnerChangedAt = boot_clock::now();
    events::line("batch_owner_changed")
      .With("batch", aMetadata.mId)
      .With("owner", aMetadata.mOwner)
      .With("before", batch->mMetadata.mOwner);
  }
  batch->mMetadata = aMetadata;
  if (!aMetadata.mCountedRuns.empty()) {
    ApplyCountedRuns(aMetadata);
  }
  if (wasOwnedHere && !IsOwnedHere(batch)) {
    Unload(batch);
  } else if (aMetadata.mIsEnded) {
    mDependencies.mRunner.Remove(aMetadata.mId);
  } else if (!wasOwnedHere && IsOwnedHere(batch)) {
    // This entry took the batch over, or an entry that is shutting down handed
    // it over.
    Load(batch, [](bool) {});
  }
}

void
batch_service::LoadOwnedBatches()
{
  for (const auto& [id, batch] : mBatches) {
    if (IsOwnedHere(batch) && !batch->mMetadata.mIsEnded && !batch->mIsLoaded) {
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
      return IsOwnedHere(aEntry.second) && batch.mIsLoaded &&
             !batch.mMetadata.mIsEnded &&
             batch.mLog.mListed.size() <
               static_cast<std::size_t>(batch.mMetadata.mTotal);
    }));
}

} // namespace lavender::batches
