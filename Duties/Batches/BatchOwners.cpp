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
/** One that takes no more batches is leaving. */
constexpr milliseconds kAvoidLeaving = 10000ms;

constexpr char kRetryAfter[] = "Retry-After";

} // namespace

/** A submission on its way to the entry that shall own it. */
struct batch_service::placement
{
  edge::exchange_ptr mExchange;
  submission_origin mOrigin;
  submission mSubmission;
};

std::optional<std::string>
batch_service::DesignatedOwner(const std::string& aCustomer,
                               const std::string& aModel) const
{
  if (!IsOn(mechanism::DesignatedOwners) && !mIsLeaving) {
    return mParts.mName;
  }
  const auto now = boot_clock::now();
  auto candidates = mParts.mEntries();
  for (auto& candidate : candidates) {
    const auto avoided = mAvoidedUntil.find(candidate.mName);
    const bool isAvoided =
      avoided != mAvoidedUntil.end() && now < avoided->second;
    if (isAvoided || (mIsLeaving && candidate.mName == mParts.mName)) {
      candidate.mWeight = 0;
    }
  }
  return ChooseByRendezvous(aCustomer + "/" + aModel, candidates);
}

void
batch_service::Submit(const edge::exchange_ptr& aExchange,
                      const submission_origin& aOrigin,
                      submission aSubmission)
{
  if (AnswerKnown(aExchange, aOrigin, aSubmission.mId)) {
    return;
  }
  const auto owner = DesignatedOwner(aOrigin.mCustomer, aSubmission.mModel);
  const auto peer = owner && *owner != mParts.mName
                      ? mParts.mFindPeer(*owner)
                      : std::optional<edge::endpoint>();
  if (peer) {
    PassSubmission(std::make_shared<placement>(
                     placement{ aExchange, aOrigin, std::move(aSubmission) }),
                   *owner,
                   *peer);
  } else {
    Admit(aExchange, aOrigin, std::move(aSubmission), prior_try::None);
  }
}

void
batch_service::SubmitHere(const edge::exchange_ptr& aExchange,
                          const submission_origin& aOrigin,
                          submission aSubmission)
{
  if (AnswerKnown(aExchange, aOrigin, aSubmission.mId)) {
    return;
  }
  if (mIsLeaving) {
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
                              const std::string& aOwner,
                              const edge::endpoint& aPeer)
{
  edge::call_options options;
  options.mConnectTimeout = kConnectTimeout;
  options.mSilenceTimeout = kAcceptTimeout;
  constexpr std::size_t kAnswerBytes = 4096;
  edge::FetchWhole(
    mParts.mClients,
    mParts.mLoop,
    aPeer,
    EncodePeerSubmission({ aPlacement->mSubmission.mId,
                           aPlacement->mOrigin,
                           aPlacement->mExchange->mRequest.mBody }),
    options,
    kAcceptTimeout,
    kAnswerBytes,
    [this, aPlacement, aOwner](edge::call_end aEnd,
                               const edge::response& aAnswer) {
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
        .With("owner", aOwner)
        .With("end", edge::WordFor(aEnd))
        .With("status", static_cast<std::int64_t>(aAnswer.mStatus));
      mAvoidedUntil[aOwner] =
        boot_clock::now() + (isAnswered ? kAvoidLeaving : kAvoidSilent);
      // The other entry may have accepted the batch all the same. The store
      // takes one head only; but "not run" can't be said any more.
      const bool mayExist = !isAnswered && aEnd != edge::call_end::NotSent;
      Admit(aPlacement->mExchange,
            aPlacement->mOrigin,
            std::move(aPlacement->mSubmission),
            mayExist ? prior_try::MayHaveBeenAccepted : prior_try::None);
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
  mParts.mStore.mReplaceStatus(kHeadKind,
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

} // namespace lavender::batches
