#include "Duties/Batches/BatchService.h"

#include "Duties/Batches/PeerCall.h"
#include "Libraries/Core/Mechanisms.h"
#include "Libraries/EventLog/EventLog.h"

namespace lavender::batches {

using namespace std::chrono_literals;

namespace {

/** Timeout of a forwarded submission. The entry that accepts it writes it to
 * the store first, which takes some ms, or a second if the store is slow. */
constexpr milliseconds kAcceptTimeout = 1500ms;
/** Connections between entries on the same network are established within some
 * ms. */
constexpr milliseconds kConnectTimeout = 300ms;
/** Time for which an entry that didn't respond is sent no batch; each attempt
 * would delay a trainer. */
constexpr milliseconds kUnresponsivePeerAvoidance = 5000ms;
/** Time for which an entry that refused a batch is sent none: it is shutting
 * down or can't reach the store. */
constexpr milliseconds kRefusingPeerAvoidance = 10000ms;
/** Maximum number of entries that are asked to accept one submission. */
constexpr int kMaximumPeersAsked = 3;
/** Timeout of a request to take over a batch. The new owner updates the batch's
 * metadata before it responds. */
constexpr milliseconds kOfferTimeout = 1500ms;

constexpr char kRetryAfterField[] = "Retry-After";
/** Retry-After of a submission for which there is no memory; another entry may
 * have some. */
constexpr milliseconds kNoMemoryRetryAfter = 500ms;
/** Part of the memory for items, as one in so many, that is left to batches
 * whose items take no more than kSmallBatchBytes. */
constexpr std::size_t kSmallBatchShare = 4;
constexpr std::size_t kSmallBatchBytes = 1 << 20;

} // namespace

/** A submission that is being forwarded to its designated owner. */
struct batch_service::pending_submission
{
  edge::exchange_ptr mExchange;
  submission_origin mOrigin;
  submission mSubmission;
  /** Number of entries asked so far. */
  int mPeersAsked = 0;
};

std::optional<std::string>
batch_service::DesignatedOwner(const batch_affiliation& aBatch) const
{
  const bool isUnableToOwn = IsUnableToOwn();
  if (!IsOn(mechanism::DesignatedOwners) && !isUnableToOwn &&
      IsAllowedHere(aBatch)) {
    return mDependencies.mName;
  }
  const auto now = boot_clock::now();
  auto candidates = mDependencies.mEntries(aBatch);
  for (auto& candidate : candidates) {
    const auto avoided = mAvoidedUntil.find(candidate.mName);
    const bool isAvoided =
      avoided != mAvoidedUntil.end() && now < avoided->second;
    if (isAvoided ||
        (isUnableToOwn && candidate.mName == mDependencies.mName)) {
      candidate.mWeight = 0;
    }
  }
  return ChooseByRendezvous(aBatch.mCustomer + "/" + aBatch.mModel, candidates);
}

bool
batch_service::IsAllowedHere(const batch_affiliation& aBatch) const
{
  const auto entries = mDependencies.mEntries(aBatch);
  return entries.empty() ||
         std::any_of(
           entries.begin(), entries.end(), [this](const auto& aEntry) {
             return aEntry.mName == mDependencies.mName;
           });
}

std::optional<batch_service::peer_entry>
batch_service::DesignatedPeer(const batch_affiliation& aBatch) const
{
  const auto owner = DesignatedOwner(aBatch);
  if (!owner || *owner == mDependencies.mName) {
    return std::nullopt;
  }
  const auto address = mDependencies.mFindPeer(*owner);
  return address ? std::optional(peer_entry{ *owner, *address }) : std::nullopt;
}

void
batch_service::CallPeer(const edge::endpoint& aPeer,
                        const edge::request& aRequest,
                        milliseconds aTimeout,
                        edge::whole_answer aDone)
{
  edge::call_options options;
  options.mConnectTimeout = kConnectTimeout;
  options.mSilenceTimeout = aTimeout;
  constexpr std::size_t kMaximumResponseBytes = 4096;
  edge::FetchWhole(mDependencies.mClients,
                   mDependencies.mLoop,
                   aPeer,
                   aRequest,
                   options,
                   aTimeout,
                   kMaximumResponseBytes,
                   std::move(aDone));
}

void
batch_service::Submit(const edge::exchange_ptr& aExchange,
                      const submission_origin& aOrigin,
                      submission aSubmission)
{
  if (RespondIfKnown(aExchange, aOrigin, aSubmission.mId) ||
      !HasRoomFor(aExchange, aSubmission)) {
    return;
  }
  ForwardOrAdmit(std::make_shared<pending_submission>(
    pending_submission{ aExchange, aOrigin, std::move(aSubmission) }));
}

void
batch_service::ForwardOrAdmit(
  const std::shared_ptr<pending_submission>& aPending)
{
  const auto owner = DesignatedPeer({ aPending->mOrigin.mCustomer,
                                      aPending->mSubmission.mModel,
                                      aPending->mOrigin.mHost,
                                      FirstPath(aPending->mSubmission) });
  // An entry that can't own batches itself asks further entries before it tries
  // to accept the batch.
  if (owner && HasTimeFor(kAcceptTimeout) &&
      (aPending->mPeersAsked == 0 ||
       (IsUnableToOwn() && aPending->mPeersAsked < kMaximumPeersAsked))) {
    ++aPending->mPeersAsked;
    ForwardSubmission(aPending, *owner);
  } else {
    Admit(aPending->mExchange,
          aPending->mOrigin,
          std::move(aPending->mSubmission),
          prior_attempt::None);
  }
}

void
batch_service::SubmitLocally(const edge::exchange_ptr& aExchange,
                             const submission_origin& aOrigin,
                             submission aSubmission)
{
  if (RespondIfKnown(aExchange, aOrigin, aSubmission.mId)) {
    return;
  }
  if (IsUnableToOwn()) {
    aExchange->Answer({ kNotOwner, {}, {} });
    return;
  }
  if (HasRoomFor(aExchange, aSubmission)) {
    Admit(aExchange, aOrigin, std::move(aSubmission), prior_attempt::None);
  }
}

void
batch_service::CountItems(submission& aSubmission) const
{
  aSubmission.mHeld = std::make_shared<edge::held_bytes>(mItemBytes);
  aSubmission.mHeld->Set(MemoryOf(aSubmission));
}

bool
batch_service::HasRoomFor(const edge::exchange_ptr& aExchange,
                          submission& aSubmission)
{
  const auto limit = mDependencies.mMaximumItemBytes;
  const auto bytes = MemoryOf(aSubmission);
  const auto allowed =
    bytes <= kSmallBatchBytes ? limit : limit - limit / kSmallBatchShare;
  if (*mItemBytes + bytes <= allowed) {
    CountItems(aSubmission);
    return true;
  }
  constexpr auto kReason = "no memory for items";
  events::line("submission_refused")
    .With("batch", aSubmission.mId)
    .With("reason", kReason)
    .With("bytes", static_cast<std::int64_t>(bytes))
    .With("held_bytes", static_cast<std::int64_t>(*mItemBytes));
  mDependencies.mMetrics.Count("lavender_refusals_total",
                               { { "reason", kReason } });
  edge::AnswerOwn(aExchange, 503, kNoMemoryRetryAfter);
  return false;
}

bool
batch_service::RespondIfKnown(const edge::exchange_ptr& aExchange,
                              const submission_origin& aOrigin,
                              const std::string& aBatchId)
{
  const auto known = mBatches.find(aBatchId);
  if (known == mBatches.end()) {
    return false;
  }
  const bool isOwn = known->second->mMetadata.mCustomer == aOrigin.mCustomer;
  aExchange->Answer({ isOwn ? 202u : 404u, {}, {} });
  return true;
}

void
batch_service::ForwardSubmission(
  const std::shared_ptr<pending_submission>& aPending,
  const peer_entry& aOwner)
{
  CallPeer(
    aOwner.mAddress,
    EncodePeerSubmission({ aPending->mSubmission.mId,
                           aPending->mOrigin,
                           aPending->mExchange->mRequest.mBody }),
    kAcceptTimeout,
    [this, aPending, owner = aOwner.mName](edge::call_end aEnd,
                                           const edge::response& aResponse) {
      const bool hasResponse = aEnd == edge::call_end::Complete;
      if (hasResponse && aResponse.mStatus != kNotOwner) {
        edge::response response{ aResponse.mStatus, {}, {} };
        if (const auto* after = aResponse.mHeaders.Find(kRetryAfterField)) {
          response.mHeaders.Add(kRetryAfterField, *after);
        }
        aPending->mExchange->Answer(std::move(response));
        return;
      }
      events::line("designated_owner_silent")
        .With("batch", aPending->mSubmission.mId)
        .With("owner", owner)
        .With("end", edge::ToString(aEnd))
        .With("status", static_cast<std::int64_t>(aResponse.mStatus));
      mAvoidedUntil[owner] =
        boot_clock::now() +
        (hasResponse ? kRefusingPeerAvoidance : kUnresponsivePeerAvoidance);
      // The other entry may have accepted the batch although it didn't
      // respond. The store accepts the metadata only once, but a refusal
      // may no longer claim that the batch doesn't run.
      if (!hasResponse && edge::MayHaveBeenSent(aEnd)) {
        Admit(aPending->mExchange,
              aPending->mOrigin,
              std::move(aPending->mSubmission),
              prior_attempt::MayHaveBeenAccepted);
      } else {
        ForwardOrAdmit(aPending);
      }
    });
}

bool
batch_service::HasTimeFor(milliseconds aTime) const
{
  return !mAnswersUntil || boot_clock::now() + aTime < *mAnswersUntil;
}

void
batch_service::HandOver()
{
  mIsShuttingDown = true;
  for (const auto& [id, batch] : mBatches) {
    if (batch->mIsEndAsked && !IsOwnedHere(batch)) {
      ContinueEnd(batch);
      continue;
    }
    const auto successor = DesignatedOwner(AffiliationOf(batch->mMetadata));
    if (!IsOwnedHere(batch) || batch->mMetadata.mIsEnded || !successor) {
      continue;
    }
    constexpr int kTriesToSave = 6;
    SaveTexts(batch, kTriesToSave, [this, batch = batch, owner = *successor] {
      AssignOwner(batch, owner);
    });
  }
}

void
batch_service::AssignOwner(const batch_ptr& aBatch, const std::string& aOwner)
{
  auto given = WithCountedRuns(*aBatch);
  given.mOwner = aOwner;
  given.mIsEnded = given.mIsEnded || aBatch->mIsEndAsked;
  mDependencies.mStore.mReplaceStatus(
    kBatchMetadataKind,
    aBatch->mMetadata.mId,
    aBatch->mMetadata.mRevision,
    EncodeMetadataStatus(given),
    [this](const objects::object_reply& aResponse) {
      if (const auto metadata = DecodeMetadata(aResponse.mObject)) {
        ApplyMetadata(*metadata);
      }
    });
}

void
batch_service::OfferBatch(const batch_ptr& aBatch)
{
  const auto owner = DesignatedPeer(AffiliationOf(aBatch->mMetadata));
  if (aBatch->mIsOffered || !owner) {
    return;
  }
  aBatch->mIsOffered = true;
  batch_call call;
  call.mKind = batch_call::kind::TakeOver;
  call.mBatchId = aBatch->mMetadata.mId;
  call.mCustomer = aBatch->mMetadata.mCustomer;
  CallPeer(owner->mAddress,
           EncodePeerCall(call),
           kOfferTimeout,
           [this, aBatch, owner = owner->mName](
             edge::call_end aEnd, const edge::response& aResponse) {
             const bool isTaken =
               aEnd == edge::call_end::Complete && aResponse.mStatus == 200;
             events::line("batch_offered")
               .With("batch", aBatch->mMetadata.mId)
               .With("to", owner)
               .With("end", edge::ToString(aEnd))
               .With("status", static_cast<std::int64_t>(aResponse.mStatus));
             aBatch->mIsOffered = false;
             if (!isTaken) {
               mAvoidedUntil[owner] =
                 boot_clock::now() + kUnresponsivePeerAvoidance;
             } else if (IsOwnedHere(aBatch)) {
               // The watch will deliver the metadata as stored.
               aBatch->mMetadata.mOwner = owner;
               aBatch->mOwnerChangedAt = boot_clock::now();
               Unload(aBatch);
             }
           });
}

void
batch_service::HandleOffer(const edge::exchange_ptr& aExchange,
                           const batch_call& aCall)
{
  if (IsUnableToOwn()) {
    aExchange->Answer({ kNotOwner, {}, {} });
    return;
  }
  FindBatch(aCall.mBatchId,
            [this, aExchange](const batch_ptr& aBatch, objects::store_outcome) {
              if (!aBatch || IsOwnedHere(aBatch)) {
                aExchange->Answer({ aBatch ? 200u : kNotOwner, {}, {} });
                return;
              }
              // The asking entry's configuration may be older.
              if (!IsAllowedHere(AffiliationOf(aBatch->mMetadata))) {
                aExchange->Answer({ kNotOwner, {}, {} });
                return;
              }
              Claim(aBatch, [aExchange](bool aIsOwnedHere) {
                aExchange->Answer({ aIsOwnedHere ? 200u : kNotOwner, {}, {} });
              });
            });
}

} // namespace lavender::batches
