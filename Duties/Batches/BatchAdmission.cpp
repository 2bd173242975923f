#include "Duties/Batches/BatchService.h"

#include "Libraries/EventLog/EventLog.h"

namespace lavender::batches {

using namespace std::chrono_literals;
using objects::store_outcome;

namespace {

/** When to come back to another entry, as this one leaves. */
constexpr milliseconds kAskAnotherAfter = 100ms;
/** When to come back after the store didn't take a batch: it is slow or away
 * for seconds, and the first submission after its return is accepted at once.
 */
constexpr milliseconds kStoreBackAfter = 300ms;

} // namespace

/** A batch on its way to being accepted. */
struct batch_service::admission
{
  edge::exchange_ptr mExchange;
  batch_metadata mHead;
  std::shared_ptr<submission> mSubmission;
  std::vector<std::string> mItems;
  int mTriesLeft = kTries;
  /** The head may exist, or may yet come to. */
  bool mIsUnsettled = false;
};

void
batch_service::Admit(const edge::exchange_ptr& aExchange,
                     const submission_origin& aOrigin,
                     submission aSubmission,
                     prior_try aPriorTry)
{
  if (mIsLeaving) {
    // Nobody else is known who could take it.
    const bool mayExist = aPriorTry == prior_try::MayHaveBeenAccepted;
    edge::AnswerOwn(aExchange, mayExist ? 504 : 503, kAskAnotherAfter);
    return;
  }
  auto admitted = std::make_shared<admission>();
  admitted->mExchange = aExchange;
  admitted->mIsUnsettled = aPriorTry == prior_try::MayHaveBeenAccepted;
  admitted->mItems = EncodeItems(aSubmission);
  auto& head = admitted->mHead;
  head.mId = aSubmission.mId;
  head.mCustomer = aOrigin.mCustomer;
  head.mHost = aOrigin.mHost;
  head.mModel = aSubmission.mModel;
  head.mMinimumVersion = aSubmission.mMinimumVersion;
  head.mTargetGroups = aSubmission.mTargetGroups;
  head.mTotal = static_cast<int>(aSubmission.mItems.size());
  for (const auto& item : aSubmission.mItems) {
    head.mExpectedTokens += item.mExpectedTokens;
  }
  head.mParts = static_cast<int>(admitted->mItems.size());
  head.mSubmittedAt = std::chrono::system_clock::now();
  head.mOwner = mParts.mName;
  admitted->mSubmission = std::make_shared<submission>(std::move(aSubmission));
  WriteItems(admitted, 0);
}

void
batch_service::WriteItems(const std::shared_ptr<admission>& aAdmission,
                          std::size_t aPart)
{
  if (aPart == aAdmission->mItems.size()) {
    WriteHead(aAdmission);
    return;
  }
  const auto name =
    ItemsObjectName(aAdmission->mHead.mId, static_cast<int>(aPart));
  const auto take =
    [this, aAdmission, aPart](const objects::object_reply& aReply) {
      // A conflict means that an earlier submission of the same batch wrote the
      // same items.
      if (aReply.mOutcome == store_outcome::Done ||
          aReply.mOutcome == store_outcome::Conflict) {
        WriteItems(aAdmission, aPart + 1);
      } else if (aReply.mOutcome == store_outcome::NotFound) {
        WriteItems(aAdmission, aPart);
      } else {
        FailAdmission(aAdmission, "items not stored");
      }
    };
  mParts.mStore.mCreate(
    kBatchItemsKind,
    name,
    aAdmission->mItems[aPart],
    [this, aAdmission, name, take](const objects::object_reply& aReply) {
      if (aReply.mOutcome == store_outcome::Unknown &&
          aAdmission->mTriesLeft-- > 0) {
        mParts.mStore.mGet(
          kBatchItemsKind, name, objects::freshness::Linearizable, take);
      } else {
        take(aReply);
      }
    });
}

void
batch_service::WriteHead(const std::shared_ptr<admission>& aAdmission)
{
  mParts.mStore.mCreate(
    kBatchMetadataKind,
    aAdmission->mHead.mId,
    EncodeHead(aAdmission->mHead),
    [this, aAdmission](const objects::object_reply& aReply) {
      TakeHeadReply(aAdmission, aReply);
    });
}

void
batch_service::TakeHeadReply(const std::shared_ptr<admission>& aAdmission,
                             const objects::object_reply& aReply)
{
  switch (aReply.mOutcome) {
    case store_outcome::Done:
      if (!aAdmission->mIsUnsettled) {
        aAdmission->mHead.mRevision = aReply.mObject.mRevision;
        Accept(aAdmission);
        return;
      }
      [[fallthrough]];
    case store_outcome::Conflict:
      if (const auto head = DecodeHead(aReply.mObject)) {
        TakeExistingHead(aAdmission, *head);
        return;
      }
      break;
    case store_outcome::NotFound:
      // Read back after a lost answer: it isn't there yet.
      WriteHead(aAdmission);
      return;
    case store_outcome::Unknown:
      aAdmission->mIsUnsettled = true;
      if (aAdmission->mTriesLeft-- > 0) {
        mParts.mStore.mGet(
          kBatchMetadataKind,
          aAdmission->mHead.mId,
          objects::freshness::Linearizable,
          [this, aAdmission](const objects::object_reply& aRead) {
            TakeHeadReply(aAdmission, aRead);
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
batch_service::TakeExistingHead(const std::shared_ptr<admission>& aAdmission,
                                const batch_metadata& aHead)
{
  // Accepted by a call whose answer was lost, by an earlier life of this
  // entry, or by another one: results may be listed already.
  TakeHead(aHead);
  const auto batch = mBatches[aHead.mId];
  if (IsMine(batch) && !aHead.mIsEnded) {
    Load(batch, [](bool) {});
  }
  events::line("batch_repeated")
    .With("batch", aHead.mId)
    .With("owner", aHead.mOwner);
  aAdmission->mExchange->Answer({ 202, {}, {} });
}

void
batch_service::Accept(const std::shared_ptr<admission>& aAdmission)
{
  auto& batch = mBatches[aAdmission->mHead.mId];
  if (!batch) {
    batch = std::make_shared<batch_record>();
    mParts.mOnAccepted(aAdmission->mHead);
  }
  if (batch->mIsLoaded ||
      batch->mHead.mRevision > aAdmission->mHead.mRevision) {
    // The watch told of the new head before the store's answer came, and the
    // batch was loaded, or another entry took it over, meanwhile.
    aAdmission->mExchange->Answer({ 202, {}, {} });
    return;
  }
  batch->mHead = aAdmission->mHead;
  batch->mOwnedSince = boot_clock::now();
  batch->mSubmission = aAdmission->mSubmission;
  batch->mLog = {};
  ++batch->mGeneration;
  batch->mIsLoading = false;
  batch->mIsLoaded = true;
  batch->mLoadedAt.reset();
  events::line("batch_accepted")
    .With("batch", batch->mHead.mId)
    .With("customer", batch->mHead.mCustomer)
    .With("model", batch->mHead.mModel)
    .With("minimum_version", batch->mHead.mMinimumVersion)
    .With("items", static_cast<std::int64_t>(batch->mHead.mTotal))
    .With("target_groups",
          static_cast<std::int64_t>(batch->mHead.mTargetGroups));
  aAdmission->mExchange->Answer({ 202, {}, {} });
  Run(batch);
  TellLoaded(batch);
}

void
batch_service::FailAdmission(const std::shared_ptr<admission>& aAdmission,
                             const char* aReason)
{
  // Only a batch whose head certainly doesn't exist may be called not run.
  const unsigned status = aAdmission->mIsUnsettled ? 504 : 503;
  events::line("batch_refused")
    .With("batch", aAdmission->mHead.mId)
    .With("status", static_cast<std::int64_t>(status))
    .With("reason", aReason);
  mParts.mMetrics.Count("lavender_refusals_total", { { "reason", aReason } });
  edge::AnswerOwn(aAdmission->mExchange,
                  status,
                  status == 503 ? std::optional(kStoreBackAfter)
                                : std::nullopt);
}

} // namespace lavender::batches
