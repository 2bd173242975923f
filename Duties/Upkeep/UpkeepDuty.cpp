#include "Duties/Upkeep/UpkeepDuty.h"

#include "Duties/Batches/Records.h"
#include "Libraries/EventLog/EventLog.h"

namespace lavender::upkeep {

using namespace std::chrono_literals;
using objects::store_outcome;

namespace {

constexpr milliseconds kCheckInterval = 5000ms;
constexpr milliseconds kPingTimeout = 1000ms;
/** Minimum age at which a batch that its trainer never ended is deleted. */
constexpr milliseconds kAbandonedAfter = std::chrono::hours(1);

} // namespace

bool
IsDeletable(const batches::batch_metadata& aMetadata,
            milliseconds aKeep,
            std::chrono::system_clock::time_point aNow)
{
  const auto age = aNow - aMetadata.mSubmittedAt;
  return age > (aMetadata.mIsEnded ? aKeep : std::max(aKeep, kAbandonedAfter));
}

bool
RecordPing(unresponsive_entries& aUnresponsive,
           const std::string& aName,
           bool aHasAnswered,
           time_point aNow)
{
  if (aHasAnswered) {
    aUnresponsive.erase(aName);
    return false;
  }
  const auto since = aUnresponsive.emplace(aName, aNow).first->second;
  if (aNow - since < kRemoveAfter) {
    return false;
  }
  aUnresponsive.erase(aName);
  return true;
}

upkeep_duty::upkeep_duty(upkeep_dependencies aParts)
  : mDependencies(std::move(aParts))
  , mTimer(mDependencies.mLoop)
{
}

void
upkeep_duty::Start()
{
  ScheduleNextCheck();
}

void
upkeep_duty::ScheduleNextCheck()
{
  mTimer.expires_after(kCheckInterval);
  mTimer.async_wait([this](const auto& aError) {
    if (aError) {
      return;
    }
    if (mDependencies.mIsResponsible()) {
      PingEntries();
      DeleteNextBatch();
    } else {
      mUnresponsive.clear();
    }
    ScheduleNextCheck();
  });
}

void
upkeep_duty::PingEntries()
{
  for (const auto& [name, address] : mDependencies.mEntries()) {
    if (name == mDependencies.mName) {
      continue;
    }
    edge::call_options options;
    options.mConnectTimeout = kPingTimeout;
    edge::FetchWhole(
      mDependencies.mClients,
      mDependencies.mLoop,
      address,
      mDependencies.mPing(),
      options,
      kPingTimeout,
      64 << 10,
      [this, name = name](edge::call_end aEnd, const edge::response&) {
        const bool answered = aEnd == edge::call_end::Complete;
        if (RecordPing(mUnresponsive, name, answered, boot_clock::now())) {
          mDependencies.mRemoveEntry(name);
        }
      });
  }
}

void
upkeep_duty::DeleteNextBatch()
{
  if (mIsDeleting) {
    return;
  }
  const auto now = std::chrono::system_clock::now();
  for (const auto& batchMetadata : mDependencies.mListBatches()) {
    if (IsDeletable(batchMetadata, mDependencies.mKeepResults, now)) {
      mIsDeleting = true;
      DeleteResults(batchMetadata, 0);
      return;
    }
  }
}

void
upkeep_duty::DeleteResults(const batches::batch_metadata& aMetadata, int aIndex)
{
  mDependencies.mStore.mDelete(
    batches::kBatchResultsKind,
    batches::ResultsObjectName(aMetadata.mId, aIndex),
    [this, aMetadata, aIndex](const auto& aReply) {
      if (aReply.mOutcome == store_outcome::Done) {
        DeleteResults(aMetadata, aIndex + 1);
      } else if (aReply.mOutcome == store_outcome::NotFound) {
        DeleteItems(aMetadata, 0);
      } else {
        mIsDeleting = false;
      }
    });
}

void
upkeep_duty::DeleteItems(const batches::batch_metadata& aMetadata, int aPart)
{
  // The batch's metadata object is deleted last, so that the remaining objects
  // are found again after a failure.
  const bool isMetadata = aPart == aMetadata.mParts;
  mDependencies.mStore.mDelete(
    isMetadata ? batches::kBatchMetadataKind : batches::kBatchItemsKind,
    isMetadata ? aMetadata.mId : batches::ItemsObjectName(aMetadata.mId, aPart),
    [this, aMetadata, aPart, isMetadata](const auto& aReply) {
      const bool isGone = aReply.mOutcome == store_outcome::Done ||
                          aReply.mOutcome == store_outcome::NotFound;
      if (isGone && !isMetadata) {
        DeleteItems(aMetadata, aPart + 1);
        return;
      }
      mIsDeleting = false;
      if (isGone) {
        events::line("batch_removed").With("batch", aMetadata.mId);
        DeleteNextBatch();
      }
    });
}

} // namespace lavender::upkeep
