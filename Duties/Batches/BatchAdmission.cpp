#include "Duties/Batches/BatchService.h"
#include "Duties/Batches/BlockFill.h"

#include "Libraries/EventLog/EventLog.h"

#include <algorithm>

namespace lavender::batches {

using namespace std::chrono_literals;
using objects::store_outcome;

namespace {

/** Retry-After of a refusal by an entry that is shutting down; another entry
 * can accept the batch at once. */
constexpr milliseconds kShutdownRetryAfter = 100ms;
/** Retry-After when the store didn't accept a batch. The store is usually slow
 * or unavailable for seconds, and the first submission after its recovery
 * should be accepted without delay. */
constexpr milliseconds kStoreFailureRetryAfter = 300ms;

} // namespace

/** A batch that is being written to the store. */
struct batch_service::admission
{
  edge::exchange_ptr mExchange;
  batch_metadata mMetadata;
  std::shared_ptr<submission> mSubmission;
  std::vector<std::string> mItems;
  int mTriesLeft = kMaximumTries;
  /** True if the metadata may exist in the store, now or later. */
  bool mMayExist = false;
};

void
batch_service::Admit(const edge::exchange_ptr& aExchange,
                     const submission_origin& aOrigin,
                     submission aSubmission,
                     prior_attempt aPriorAttempt)
{
  if (mIsShuttingDown) {
    // No other entry is known that could accept the batch.
    const bool mayExist = aPriorAttempt == prior_attempt::MayHaveBeenAccepted;
    edge::AnswerOwn(aExchange, mayExist ? 504 : 503, kShutdownRetryAfter);
    return;
  }
  auto admitted = std::make_shared<admission>();
  admitted->mExchange = aExchange;
  admitted->mMayExist = aPriorAttempt == prior_attempt::MayHaveBeenAccepted;
  aSubmission.mServers =
    mDependencies.mRunner.UsableServers(aOrigin.mHost, aSubmission);
  auto& metadata = admitted->mMetadata;
  metadata.mId = aSubmission.mId;
  metadata.mCustomer = aOrigin.mCustomer;
  metadata.mHost = aOrigin.mHost;
  metadata.mPath = FirstPath(aSubmission);
  metadata.mModel = aSubmission.mModel;
  metadata.mMinimumVersion = aSubmission.mMinimumVersion;
  metadata.mTargetGroups = aSubmission.mTargetGroups;
  metadata.mTotal = static_cast<int>(aSubmission.mItems.size());
  for (const auto& item : aSubmission.mItems) {
    metadata.mExpectedTokens += item.mExpectedTokens;
  }
  metadata.mLongItemTokens =
    mDependencies.mRunner.LongItemTokens(aSubmission, aOrigin.mHost);
  metadata.mServerSpeeds = mDependencies.mRunner.MeasuredSpeeds();
  metadata.mMedianEventTime = mDependencies.mRunner.MedianOfSpeeds();
  metadata.mSubmittedAt = std::chrono::system_clock::now();
  metadata.mOwner = mDependencies.mName;
  metadata.mAcceptedBy = mProcessName;
  admitted->mSubmission = std::make_shared<submission>(std::move(aSubmission));
  mDependencies.mRunner.PlanRuns(metadata, admitted->mSubmission);
  const auto largest = LargestContent(mDependencies.mMaximumObjectBytes);
  admitted->mItems = EncodeItems(*admitted->mSubmission, largest);
  metadata.mParts = static_cast<int>(admitted->mItems.size());
  if (std::any_of(admitted->mItems.begin(),
                  admitted->mItems.end(),
                  [&](const auto& aPart) { return aPart.size() > largest; })) {
    RefuseTooLarge(*admitted);
    return;
  }
  WriteItems(admitted, 0);
}

void
batch_service::RefuseTooLarge(const admission& aAdmission)
{
  constexpr auto kReason = "an item is larger than the store takes";
  events::line("submission_refused")
    .With("batch", aAdmission.mMetadata.mId)
    .With("reason", kReason);
  mDependencies.mMetrics.Count("lavender_refusals_total",
                               { { "reason", kReason } });
  // Not a status that asks to try again: no entry could ever store it.
  aAdmission.mExchange->Answer({ 413, {}, {} });
}

void
batch_service::WriteItems(const std::shared_ptr<admission>& aAdmission,
                          std::size_t aPart)
{
  if (aPart == aAdmission->mItems.size()) {
    WriteMetadata(aAdmission);
    return;
  }
  const auto name =
    ItemsObjectName(aAdmission->mMetadata.mId, static_cast<int>(aPart));
  const auto handleResponse =
    [this, aAdmission, aPart](const objects::object_reply& aResponse) {
      // On a conflict, an earlier submission of the same batch has written the
      // same items.
      if (aResponse.mOutcome == store_outcome::Done ||
          aResponse.mOutcome == store_outcome::Conflict) {
        if (aResponse.mOutcome == store_outcome::Conflict) {
          // The items that are stored already may list other servers.
          ForgetServers(*aAdmission->mSubmission);
        }
        WriteItems(aAdmission, aPart + 1);
      } else if (aResponse.mOutcome == store_outcome::NotFound) {
        WriteItems(aAdmission, aPart);
      } else {
        FailAdmission(aAdmission, "items not stored");
      }
    };
  mDependencies.mStore.mCreate(
    kBatchItemsKind,
    name,
    aAdmission->mItems[aPart],
    [this, aAdmission, name, handleResponse](
      const objects::object_reply& aResponse) {
      if (aResponse.mOutcome == store_outcome::Unknown &&
          aAdmission->mTriesLeft-- > 0) {
        // The write's outcome is unknown, so items that an earlier submission
        // stored may be there, with other servers.
        ForgetServers(*aAdmission->mSubmission);
        mDependencies.mStore.mGet(kBatchItemsKind,
                                  name,
                                  objects::freshness::Linearizable,
                                  handleResponse);
      } else {
        handleResponse(aResponse);
      }
    });
}

void
batch_service::WriteMetadata(const std::shared_ptr<admission>& aAdmission)
{
  mDependencies.mStore.mCreate(
    kBatchMetadataKind,
    aAdmission->mMetadata.mId,
    EncodeMetadata(aAdmission->mMetadata),
    [this, aAdmission](const objects::object_reply& aResponse) {
      HandleMetadataResponse(aAdmission, aResponse);
    });
}

void
batch_service::HandleMetadataResponse(
  const std::shared_ptr<admission>& aAdmission,
  const objects::object_reply& aResponse)
{
  switch (aResponse.mOutcome) {
    case store_outcome::Done:
      if (!aAdmission->mMayExist) {
        aAdmission->mMetadata.mRevision = aResponse.mObject.mRevision;
        Accept(aAdmission);
        return;
      }
      [[fallthrough]];
    case store_outcome::Conflict:
      if (const auto metadata = DecodeMetadata(aResponse.mObject)) {
        ApplyExistingMetadata(aAdmission, *metadata);
        return;
      }
      break;
    case store_outcome::NotFound:
      // The object was read back after a lost response and doesn't exist yet.
      WriteMetadata(aAdmission);
      return;
    case store_outcome::Unknown:
      aAdmission->mMayExist = true;
      if (aAdmission->mTriesLeft-- > 0) {
        mDependencies.mStore.mGet(
          kBatchMetadataKind,
          aAdmission->mMetadata.mId,
          objects::freshness::Linearizable,
          [this, aAdmission](const objects::object_reply& aRead) {
            HandleMetadataResponse(aAdmission, aRead);
          });
        return;
      }
      break;
    default:
      break;
  }
  FailAdmission(aAdmission, "head not stored");
}

void
batch_service::ApplyExistingMetadata(
  const std::shared_ptr<admission>& aAdmission,
  const batch_metadata& aMetadata)
{
  // The batch was accepted by a request whose response was lost, by an earlier
  // process of this entry, or by another entry. Results may already be listed.
  ApplyMetadata(aMetadata);
  const auto batch = mBatches[aMetadata.mId];
  if (IsOwnedHere(batch) && !aMetadata.mIsEnded) {
    Load(batch, [](bool) {});
  }
  events::line("batch_repeated")
    .With("batch", aMetadata.mId)
    .With("owner", aMetadata.mOwner);
  aAdmission->mExchange->Answer({ 202, {}, {} });
}

void
batch_service::Accept(const std::shared_ptr<admission>& aAdmission)
{
  auto& batch = mBatches[aAdmission->mMetadata.mId];
  if (!batch) {
    batch = std::make_shared<batch_record>();
    mDependencies.mOnAccepted(aAdmission->mMetadata);
  }
  if (batch->mIsLoaded ||
      batch->mMetadata.mRevision > aAdmission->mMetadata.mRevision) {
    // The watch reported the new metadata before the store's response arrived,
    // and meanwhile the batch was loaded or another entry took it over.
    aAdmission->mExchange->Answer({ 202, {}, {} });
    return;
  }
  batch->mMetadata = aAdmission->mMetadata;
  batch->mOwnerChangedAt = boot_clock::now();
  batch->mSubmission = aAdmission->mSubmission;
  batch->mLog = {};
  EndWrite(batch->mWrite);
  ++batch->mGeneration;
  batch->mIsLoading = false;
  batch->mIsLoaded = true;
  batch->mLoadedAt.reset();
  batch->mStored = {};
  batch->mStored.mIsFirstOwner = true;
  batch->mStored.mServers = batch->mSubmission->mServers;
  events::line("batch_accepted")
    .With("batch", batch->mMetadata.mId)
    .With("customer", batch->mMetadata.mCustomer)
    .With("model", batch->mMetadata.mModel)
    .With("minimum_version", batch->mMetadata.mMinimumVersion)
    .With("items", static_cast<std::int64_t>(batch->mMetadata.mTotal))
    .With("target_groups",
          static_cast<std::int64_t>(batch->mMetadata.mTargetGroups));
  aAdmission->mExchange->Answer({ 202, {}, {} });
  Run(batch);
  NotifyLoadWaiters(batch);
}

void
batch_service::FailAdmission(const std::shared_ptr<admission>& aAdmission,
                             const char* aReason)
{
  // 503 promises that the batch doesn't run, so it is sent only if the metadata
  // certainly doesn't exist.
  const unsigned status = aAdmission->mMayExist ? 504 : 503;
  events::line("batch_refused")
    .With("batch", aAdmission->mMetadata.mId)
    .With("status", static_cast<std::int64_t>(status))
    .With("reason", aReason);
  mDependencies.mMetrics.Count("lavender_refusals_total",
                               { { "reason", aReason } });
  edge::AnswerOwn(aAdmission->mExchange,
                  status,
                  status == 503 ? std::optional(kStoreFailureRetryAfter)
                                : std::nullopt);
}

} // namespace lavender::batches
