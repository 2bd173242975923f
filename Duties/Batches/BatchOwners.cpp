#include "Duties/Batches/BatchService.h"

#include "Duties/Batches/PeerCall.h"
#include "Libraries/Core/Mechanisms.h"
#include "Libraries/EventLog/EventLog.h"

namespace lavender::batches {

using namespace std::chrono_literals;

namespace {

/** An entry that accepts a batch writes it to the store first, which takes some
 * ms, or a second when the store is slow. */
constexpr milliseconds kAcceptTimeout = 1500ms;
/** An entry on the same network is connected to within some ms. */
constexpr milliseconds kConnectTimeout = 300ms;
/** One that gave no answer isn't passed a batch for this long: each try would
 * hold a trainer up. */
constexpr milliseconds kAvoidSilent = 5000ms;
/** One that takes no more batches is leaving, or cut off from the store. */
constexpr milliseconds kAvoidLeaving = 10000ms;
/** Entries that are asked to take one submission. */
constexpr int kMostAsked = 3;
/** A new owner changes the batch's head before it answers. */
constexpr milliseconds kOfferTimeout = 1500ms;

constexpr char kRetryAfter[] = "Retry-After";

} // namespace

/** A submission on its way to the entry that shall own it. */
struct batch_service::placement
{
  edge::exchange_ptr mExchange;
  submission_origin mOrigin;
  submission mSubmission;
  /** Entries that were asked to take it. */
  int mAsked = 0;
};

std::optional<std::string>
batch_service::DesignatedOwner(const std::string& aCustomer,
                               const std::string& aModel) const
{
  const bool isUnfit = IsUnfit();
  if (!IsOn(mechanism::DesignatedOwners) && !isUnfit) {
    return mParts.mName;
  }
  const auto now = boot_clock::now();
  auto candidates = mParts.mEntries();
  for (auto& candidate : candidates) {
    const auto avoided = mAvoidedUntil.find(candidate.mName);
    const bool isAvoided =
      avoided != mAvoidedUntil.end() && now < avoided->second;
    if (isAvoided || (isUnfit && candidate.mName == mParts.mName)) {
      candidate.mWeight = 0;
    }
  }
  return ChooseByRendezvous(aCustomer + "/" + aModel, candidates);
}

std::optional<batch_service::other_entry>
batch_service::OtherOwner(const std::string& aCustomer,
                          const std::string& aModel) const
{
  const auto owner = DesignatedOwner(aCustomer, aModel);
  if (!owner || *owner == mParts.mName) {
    return std::nullopt;
  }
  const auto address = mParts.mFindPeer(*owner);
  return address ? std::optional(other_entry{ *owner, *address })
                 : std::nullopt;
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
  constexpr std::size_t kAnswerBytes = 4096;
  edge::FetchWhole(mParts.mClients,
                   mParts.mLoop,
                   aPeer,
                   aRequest,
                   options,
                   aTimeout,
                   kAnswerBytes,
                   std::move(aDone));
}

void
batch_service::Submit(const edge::exchange_ptr& aExchange,
                      const submission_origin& aOrigin,
                      submission aSubmission)
{
  if (AnswerKnown(aExchange, aOrigin, aSubmission.mId)) {
    return;
  }
  Place(std::make_shared<placement>(
    placement{ aExchange, aOrigin, std::move(aSubmission) }));
}

void
batch_service::Place(const std::shared_ptr<placement>& aPlacement)
{
  const auto owner =
    OtherOwner(aPlacement->mOrigin.mCustomer, aPlacement->mSubmission.mModel);
  // An entry that isn't fit asks further ones before it tries.
  if (owner && (aPlacement->mAsked == 0 ||
                (IsUnfit() && aPlacement->mAsked < kMostAsked))) {
    ++aPlacement->mAsked;
    PassSubmission(aPlacement, *owner);
  } else {
    Admit(aPlacement->mExchange,
          aPlacement->mOrigin,
          std::move(aPlacement->mSubmission),
          prior_try::None);
  }
}

void
batch_service::SubmitLocally(const edge::exchange_ptr& aExchange,
                             const submission_origin& aOrigin,
                             submission aSubmission)
{
  if (AnswerKnown(aExchange, aOrigin, aSubmission.mId)) {
    return;
  }
  if (IsUnfit()) {
    aExchange->Answer({ kNotOwner, {}, {} });
    return;
  }
  Admit(aExchange, aOrigin, std::move(aSubmission), prior_try::None);
}

bool
batch_service::AnswerKnown(const edge::exchange_ptr& aExchange,
                           const submission_origin& aOrigin,
                           const std::string& aBatchId)
{
  const auto known = mBatches.find(aBatchId);
  if (known == mBatches.end()) {
    return false;
  }
  const bool isOwn = known->second->mHead.mCustomer == aOrigin.mCustomer;
  aExchange->Answer({ isOwn ? 202u : 404u, {}, {} });
  return true;
}

void
batch_service::PassSubmission(const std::shared_ptr<placement>& aPlacement,
                              const other_entry& aOwner)
{
  CallPeer(aOwner.mAddress,
           EncodePeerSubmission({ aPlacement->mSubmission.mId,
                                  aPlacement->mOrigin,
                                  aPlacement->mExchange->mRequest.mBody }),
           kAcceptTimeout,
           [this, aPlacement, owner = aOwner.mName](
             edge::call_end aEnd, const edge::response& aAnswer) {
             const bool isAnswered = aEnd == edge::call_end::Complete;
             if (isAnswered && aAnswer.mStatus != kNotOwner) {
               edge::response answer{ aAnswer.mStatus, {}, {} };
               if (const auto* after = aAnswer.mHeaders.Find(kRetryAfter)) {
                 answer.mHeaders.Add(kRetryAfter, *after);
               }
               aPlacement->mExchange->Answer(std::move(answer));
               return;
             }
             events::line("designated_owner_silent")
               .With("batch", aPlacement->mSubmission.mId)
               .With("owner", owner)
               .With("end", edge::ToString(aEnd))
               .With("status", static_cast<std::int64_t>(aAnswer.mStatus));
             mAvoidedUntil[owner] =
               boot_clock::now() + (isAnswered ? kAvoidLeaving : kAvoidSilent);
             // The other entry may have accepted the batch all the same. The
             // store takes one head only; but "not run" can't be said any more.
             if (!isAnswered && aEnd != edge::call_end::NotSent) {
               Admit(aPlacement->mExchange,
                     aPlacement->mOrigin,
                     std::move(aPlacement->mSubmission),
                     prior_try::MayHaveBeenAccepted);
             } else {
               Place(aPlacement);
             }
           });
}

void
batch_service::HandOver()
{
  mIsLeaving = true;
  for (const auto& [id, batch] : mBatches) {
    const auto successor =
      DesignatedOwner(batch->mHead.mCustomer, batch->mHead.mModel);
    if (!IsMine(batch) || batch->mHead.mIsEnded || !successor) {
      continue;
    }
    constexpr int kTriesToSave = 6;
    SaveThen(batch, kTriesToSave, [this, batch = batch, owner = *successor] {
      GiveTo(batch, owner);
    });
  }
}

void
batch_service::GiveTo(const batch_ptr& aBatch, const std::string& aOwner)
{
  mParts.mStore.mReplaceStatus(kBatchMetadataKind,
                               aBatch->mHead.mId,
                               aBatch->mHead.mRevision,
                               EncodeHeadStatus(aOwner, aBatch->mHead.mIsEnded),
                               [this](const objects::object_reply& aReply) {
                                 if (const auto head =
                                       DecodeHead(aReply.mObject)) {
                                   TakeHead(*head);
                                 }
                               });
}

void
batch_service::Offer(const batch_ptr& aBatch)
{
  const auto owner = OtherOwner(aBatch->mHead.mCustomer, aBatch->mHead.mModel);
  if (aBatch->mIsOffered || !owner) {
    return;
  }
  aBatch->mIsOffered = true;
  batch_call call;
  call.mKind = batch_call::kind::TakeOver;
  call.mBatchId = aBatch->mHead.mId;
  call.mCustomer = aBatch->mHead.mCustomer;
  CallPeer(owner->mAddress,
           EncodePeerCall(call),
           kOfferTimeout,
           [this, aBatch, owner = owner->mName](edge::call_end aEnd,
                                                const edge::response& aAnswer) {
             const bool isTaken =
               aEnd == edge::call_end::Complete && aAnswer.mStatus == 200;
             events::line("batch_offered")
               .With("batch", aBatch->mHead.mId)
               .With("to", owner)
               .With("end", edge::ToString(aEnd))
               .With("status", static_cast<std::int64_t>(aAnswer.mStatus));
             aBatch->mIsOffered = false;
             if (!isTaken) {
               mAvoidedUntil[owner] = boot_clock::now() + kAvoidSilent;
             } else if (IsMine(aBatch)) {
               // The head as the store has it comes through the feed.
               aBatch->mHead.mOwner = owner;
               aBatch->mOwnedSince = boot_clock::now();
               Drop(aBatch);
             }
           });
}

void
batch_service::TakeOffer(const edge::exchange_ptr& aExchange,
                         const batch_call& aCall)
{
  if (IsUnfit()) {
    aExchange->Answer({ kNotOwner, {}, {} });
    return;
  }
  FindThen(aCall.mBatchId,
           [this, aExchange](const batch_ptr& aBatch, objects::store_outcome) {
             if (!aBatch || IsMine(aBatch)) {
               aExchange->Answer({ aBatch ? 200u : kNotOwner, {}, {} });
               return;
             }
             Claim(aBatch, [aExchange](bool aIsMine) {
               aExchange->Answer({ aIsMine ? 200u : kNotOwner, {}, {} });
             });
           });
}

} // namespace lavender::batches
