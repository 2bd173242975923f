#include "Duties/Batches/BatchService.h"

#include "Duties/Batches/PeerCall.h"
#include "Libraries/Core/Base64.h"
#include "Libraries/EventLog/EventLog.h"

namespace lavender::batches {

using namespace std::chrono_literals;
using objects::store_outcome;

namespace {

/** A page of results is 1 MB at most, with room for its frame. */
constexpr std::size_t kPageBytes = 900 << 10;
/** Longest time that a trainer's reading call is held. */
constexpr milliseconds kLongestWait = 1000ms;
/** How long the owner may be silent beyond the wait before another entry takes
 * its batch over. */
constexpr milliseconds kOwnerSilence = 600ms;
/** Longest time in which a page arrives once its owner has begun to answer: a
 * megabyte takes 0.14 s on a link of 60 Mbit/s, and several readers may share
 * it. An owner that was given up in the middle of a page lost its batch, and
 * the next owner on such a link did too. */
constexpr milliseconds kPageTransfer = 3000ms;
/** When to ask again while a batch is being loaded or changes its owner: a load
 * that failed is tried again after this. */
constexpr milliseconds kAskAgainAfter = kRetryPause;
/** A batch changes its owner at most once in this time, so that two entries
 * which don't reach each other don't take turns. */
constexpr milliseconds kClaimPause = 1500ms;

} // namespace

void
batch_service::FindThen(const std::string& aBatchId,
                        std::function<void(batch_ptr, store_outcome)> aDone)
{
  if (const auto known = mBatches.find(aBatchId); known != mBatches.end()) {
    aDone(known->second, store_outcome::Done);
    return;
  }
  mParts.mStore.mGet(
    kBatchMetadataKind,
    aBatchId,
    objects::freshness::Linearizable,
    [this, done = std::move(aDone)](const objects::object_reply& aReply) {
      if (aReply.mOutcome == store_outcome::Done) {
        if (const auto head = DecodeHead(aReply.mObject)) {
          TakeHead(*head);
          done(mBatches[head->mId], store_outcome::Done);
          return;
        }
      }
      done(nullptr,
           aReply.mOutcome == store_outcome::Done ? store_outcome::NotFound
                                                  : aReply.mOutcome);
    });
}

void
batch_service::Serve(const edge::exchange_ptr& aExchange,
                     const batch_call& aCall)
{
  if (!IsValidId(aCall.mBatchId)) {
    aExchange->Answer({ 404, {}, {} });
    return;
  }
  FindThen(
    aCall.mBatchId,
    [this, aExchange, aCall](const batch_ptr& aBatch, store_outcome aOutcome) {
      if (aBatch && aBatch->mHead.mCustomer == aCall.mCustomer) {
        ServeKnown(aExchange, aCall, aBatch);
      } else if (aBatch || aOutcome == store_outcome::NotFound) {
        aExchange->Answer({ 404, {}, {} });
      } else {
        edge::AnswerOwn(aExchange, 503, kAskAgainAfter);
      }
    });
}

void
batch_service::ServeKnown(const edge::exchange_ptr& aExchange,
                          const batch_call& aCall,
                          const batch_ptr& aBatch)
{
  if (IsMine(aBatch)) {
    ServeOwned(aExchange, aCall, aBatch);
    return;
  }
  if (const auto peer = mParts.mFindPeer(aBatch->mHead.mOwner)) {
    PassOn(aExchange, aCall, aBatch, *peer);
  } else {
    TakeOver(aExchange, aCall, aBatch);
  }
}

void
batch_service::ServeOwned(const edge::exchange_ptr& aExchange,
                          const batch_call& aCall,
                          const batch_ptr& aBatch)
{
  Load(aBatch, [this, aExchange, aCall, aBatch](bool aIsLoaded) {
    if (!aIsLoaded) {
      edge::AnswerOwn(aExchange, 503, kAskAgainAfter);
      return;
    }
    switch (aCall.mKind) {
      case batch_call::kind::Results:
        ReadResults(aExchange, aCall, aBatch);
        return;
      case batch_call::kind::Item:
        ReadItem(aExchange, aCall, aBatch);
        return;
      case batch_call::kind::End:
        End(aExchange, aBatch, kTries);
        return;
      case batch_call::kind::TakeOver:
        // Answered before the batch is loaded, in TakeOffer.
        aExchange->Answer({ 200, {}, {} });
        return;
    }
  });
}

void
batch_service::PassOn(const edge::exchange_ptr& aExchange,
                      const batch_call& aCall,
                      const batch_ptr& aBatch,
                      const edge::endpoint& aPeer)
{
  edge::call_options options;
  options.mConnectTimeout = kOwnerSilence;
  options.mSilenceTimeout = aCall.mWait + kOwnerSilence;
  edge::FetchWhole(
    mParts.mClients,
    mParts.mLoop,
    aPeer,
    EncodePeerCall(aCall),
    options,
    options.mSilenceTimeout + kPageTransfer,
    4 << 20,
    [this, aExchange, aCall, aBatch](edge::call_end aEnd,
                                     edge::response aAnswer) {
      if (aEnd == edge::call_end::Complete && aAnswer.mStatus != kNotOwner) {
        edge::response answer{ aAnswer.mStatus, {}, std::move(aAnswer.mBody) };
        if (answer.mStatus == 200 && aCall.mKind == batch_call::kind::Results) {
          answer.mHeaders.Add("Content-Type", "application/json");
        }
        aExchange->Answer(std::move(answer));
        return;
      }
      events::line("owner_silent")
        .With("batch", aCall.mBatchId)
        .With("owner", aBatch->mHead.mOwner)
        .With("end", edge::ToString(aEnd))
        .With("status", static_cast<std::int64_t>(aAnswer.mStatus));
      TakeOver(aExchange, aCall, aBatch);
    });
}

void
batch_service::ServePeer(const edge::exchange_ptr& aExchange)
{
  const auto call = DecodePeerCall(aExchange->mRequest);
  if (!call) {
    aExchange->Answer({ 400, {}, {} });
    return;
  }
  if (call->mKind == batch_call::kind::TakeOver) {
    TakeOffer(aExchange, *call);
    return;
  }
  const auto known = mBatches.find(call->mBatchId);
  if (known == mBatches.end() || !IsMine(known->second)) {
    aExchange->Answer({ kNotOwner, {}, {} });
    return;
  }
  ServeOwned(aExchange, *call, known->second);
}

void
batch_service::TakeOver(const edge::exchange_ptr& aExchange,
                        const batch_call& aCall,
                        const batch_ptr& aBatch)
{
  if (boot_clock::now() - aBatch->mOwnedSince < kClaimPause || mIsLeaving) {
    edge::AnswerOwn(aExchange, 503, kAskAgainAfter);
    return;
  }
  Claim(aBatch, [this, aExchange, aCall, aBatch](bool aIsMine) {
    if (aIsMine) {
      ServeOwned(aExchange, aCall, aBatch);
    } else {
      edge::AnswerOwn(aExchange, 503, kAskAgainAfter);
    }
  });
}

void
batch_service::Claim(const batch_ptr& aBatch, std::function<void(bool)> aDone)
{
  mParts.mStore.mReplaceStatus(
    kBatchMetadataKind,
    aBatch->mHead.mId,
    aBatch->mHead.mRevision,
    EncodeHeadStatus(mParts.mName, aBatch->mHead.mIsEnded),
    [this, aBatch, done = std::move(aDone)](
      const objects::object_reply& aReply) {
      if (aReply.mOutcome == store_outcome::Done ||
          aReply.mOutcome == store_outcome::Conflict) {
        if (auto head = DecodeHead(aReply.mObject)) {
          TakeHead(*head);
        }
      }
      events::line("batch_claimed")
        .With("batch", aBatch->mHead.mId)
        .With("owner", aBatch->mHead.mOwner)
        .With("outcome", objects::ToString(aReply.mOutcome));
      done(IsMine(aBatch));
    });
}

void
batch_service::ReadResults(const edge::exchange_ptr& aExchange,
                           const batch_call& aCall,
                           const batch_ptr& aBatch)
{
  if (MayHaveMore(*aBatch)) {
    LookForMore(aBatch, [this, aExchange, aCall, aBatch](bool aIsWhole) {
      if (aIsWhole) {
        ReadResults(aExchange, aCall, aBatch);
      } else if (aBatch->mLog.mListed.size() > aCall.mAfter) {
        // What is known is right, whether or not there is more.
        AnswerPage(aExchange, aCall, aBatch);
      } else {
        edge::AnswerOwn(aExchange, 503, kAskAgainAfter);
      }
    });
    return;
  }
  const bool isComplete = aBatch->mLog.mListed.size() >=
                          static_cast<std::size_t>(aBatch->mHead.mTotal);
  const auto wait = std::min(aCall.mWait, kLongestWait);
  if (aBatch->mLog.mListed.size() > aCall.mAfter || isComplete ||
      aBatch->mHead.mIsEnded || wait.count() == 0) {
    AnswerPage(aExchange, aCall, aBatch);
    return;
  }
  auto answered = std::make_shared<bool>(false);
  const auto answer = [this, aExchange, aCall, aBatch, answered] {
    if (!*answered) {
      *answered = true;
      AnswerPage(aExchange, aCall, aBatch);
    }
  };
  aBatch->mResultWaiters.push_back(answer);
  After(wait, answer);
}

void
batch_service::AnswerPage(const edge::exchange_ptr& aExchange,
                          const batch_call& aCall,
                          const batch_ptr& aBatch)
{
  if (!aBatch->mIsLoaded) {
    edge::AnswerOwn(aExchange, 503, kAskAgainAfter);
    return;
  }
  const auto page = ReadPage(aBatch->mLog, aCall.mAfter, kPageBytes);
  edge::response answer{ 200, {}, {} };
  answer.mHeaders.Add("Content-Type", "application/json");
  answer.mBody = mParts.mFormat.mEncodePage(
    static_cast<std::size_t>(aBatch->mHead.mTotal), page);
  aExchange->Answer(std::move(answer));
}

void
batch_service::ReadItem(const edge::exchange_ptr& aExchange,
                        const batch_call& aCall,
                        const batch_ptr& aBatch)
{
  for (const auto& item : aBatch->mSubmission->mItems) {
    if (item.mId == aCall.mItemId) {
      auto body = DecodeBase64(item.mBodyBase64);
      aExchange->Answer(
        { body ? 200u : 404u, {}, body ? std::move(*body) : std::string() });
      return;
    }
  }
  aExchange->Answer({ 404, {}, {} });
}

void
batch_service::End(const edge::exchange_ptr& aExchange,
                   const batch_ptr& aBatch,
                   int aTriesLeft)
{
  // The runs stop before the store knows: a batch whose end was asked for
  // needs no more results, whatever becomes of this call.
  mParts.mRunner.Remove(aBatch->mHead.mId);
  if (aBatch->mHead.mIsEnded) {
    aExchange->Answer({ 200, {}, {} });
    return;
  }
  mParts.mStore.mReplaceStatus(
    kBatchMetadataKind,
    aBatch->mHead.mId,
    aBatch->mHead.mRevision,
    EncodeHeadStatus(mParts.mName, true),
    [this, aExchange, aBatch, aTriesLeft](const objects::object_reply& aReply) {
      if (aReply.mOutcome == store_outcome::Done ||
          aReply.mOutcome == store_outcome::Conflict) {
        if (auto head = DecodeHead(aReply.mObject)) {
          TakeHead(*head);
        }
      }
      if (aBatch->mHead.mIsEnded) {
        events::line("batch_ended").With("batch", aBatch->mHead.mId);
        aExchange->Answer({ 200, {}, {} });
      } else if (aTriesLeft > 0) {
        After(kRetryPause, [this, aExchange, aBatch, aTriesLeft] {
          End(aExchange, aBatch, aTriesLeft - 1);
        });
      } else {
        aExchange->Answer({ 504, {}, {} });
      }
    });
}

} // namespace lavender::batches
