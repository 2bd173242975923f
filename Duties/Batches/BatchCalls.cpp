#include "Duties/Batches/BatchService.h"
#include "Duties/Batches/BlockFill.h"

#include "Duties/Batches/PeerCall.h"
#include "Libraries/Core/Base64.h"
#include "Libraries/EventLog/EventLog.h"

#include <algorithm>

namespace lavender::batches {

using namespace std::chrono_literals;
using objects::store_outcome;

namespace {

/** Limit on the results in a page. A page is at most 1 MB, including its
 * framing. */
constexpr std::size_t kMaximumPageBytes = 900 << 10;
/** Maximum time for which a request for results is held open. */
constexpr milliseconds kMaximumWait = 1000ms;
/** Time beyond the requested wait after which an owner that doesn't respond
 * loses its batch to another entry. */
constexpr milliseconds kOwnerResponseTimeout = 600ms;
/** The same for the end of a batch: an owner that the store refuses tries for
 * about a second before it answers, and keeps the end. */
constexpr milliseconds kEndResponseTimeout = 1500ms;
/** Time between two attempts to end a batch whose end the store doesn't hold.
 */
constexpr milliseconds kEndRetryDelay = 1000ms;
/** Interval at which the end of a batch looks whether the servers of earlier
 * owners are checked; a check takes some ms, or 300 ms if a server is silent.
 */
constexpr milliseconds kCheckPollInterval = 120ms;
/** Maximum time for the transfer of a page after the owner has started its
 * response. A megabyte takes 0.14 s on a 60 Mbit/s link, which several readers
 * may share. With a shorter limit an owner lost its batch in the middle of a
 * page, and so did the next owner on the same link. */
constexpr milliseconds kPageTransferTimeout = 3000ms;
/** Retry-After while a batch is being loaded or changes its owner. A failed
 * load is retried after the same time. */
constexpr milliseconds kLoadingRetryAfter = kRetryDelay;
/** Minimum time between two changes of a batch's owner, so that two entries
 * that can't reach each other don't take the batch from each other in turn. */
constexpr milliseconds kMinimumClaimInterval = 1500ms;

} // namespace

void
batch_service::FindBatch(const std::string& aBatchId,
                         std::function<void(batch_ptr, store_outcome)> aDone)
{
  if (const auto known = mBatches.find(aBatchId); known != mBatches.end()) {
    aDone(known->second, store_outcome::Done);
    return;
  }
  mDependencies.mStore.mGet(
    kBatchMetadataKind,
    aBatchId,
    objects::freshness::Linearizable,
    [this, done = std::move(aDone)](const objects::object_reply& aResponse) {
      if (aResponse.mOutcome == store_outcome::Done) {
        if (const auto metadata = DecodeMetadata(aResponse.mObject)) {
          ApplyMetadata(*metadata);
          done(mBatches[metadata->mId], store_outcome::Done);
          return;
        }
      }
      done(nullptr,
           aResponse.mOutcome == store_outcome::Done ? store_outcome::NotFound
                                                     : aResponse.mOutcome);
    });
}

milliseconds
batch_service::WaitAtPeer(const batch_call& aCall) const
{
  if (!mAnswersUntil) {
    return aCall.mWait;
  }
  const auto left = std::chrono::duration_cast<milliseconds>(*mAnswersUntil -
                                                             boot_clock::now());
  return std::clamp(left - kOwnerResponseTimeout, 0ms, aCall.mWait);
}

void
batch_service::AnswerWaitingReads()
{
  for (const auto& [id, batch] : mBatches) {
    for (const auto& waiter : std::exchange(batch->mResultWaiters, {})) {
      waiter();
    }
  }
}

void
batch_service::Serve(const edge::exchange_ptr& aExchange,
                     const batch_call& aCall)
{
  if (!HasTimeFor(0ms)) {
    edge::AnswerOwn(aExchange, 503, kLoadingRetryAfter);
    return;
  }
  if (!IsValidId(aCall.mBatchId)) {
    aExchange->Answer({ 404, {}, {} });
    return;
  }
  FindBatch(
    aCall.mBatchId,
    [this, aExchange, aCall](const batch_ptr& aBatch, store_outcome aOutcome) {
      if (aBatch && aBatch->mMetadata.mCustomer == aCall.mCustomer) {
        ServeBatch(aExchange, aCall, aBatch);
      } else if (aBatch || aOutcome == store_outcome::NotFound) {
        aExchange->Answer({ 404, {}, {} });
      } else {
        edge::AnswerOwn(aExchange, 503, kLoadingRetryAfter);
      }
    });
}

void
batch_service::Identify(const std::string& aBatchId,
                        const submission_origin& aOrigin,
                        bool aMayBeNew,
                        std::function<void(batch_presence)> aDone)
{
  if (mHasListing && !aMayBeNew && mBatches.count(aBatchId) == 0) {
    aDone(batch_presence::Absent);
    return;
  }
  FindBatch(aBatchId,
            [aOrigin, done = std::move(aDone)](const batch_ptr& aBatch,
                                               store_outcome aOutcome) {
              if (!aBatch) {
                done(aOutcome == store_outcome::NotFound
                       ? batch_presence::Absent
                       : batch_presence::Unknown);
                return;
              }
              const auto& batch = aBatch->mMetadata;
              const bool isOwn =
                batch.mCustomer == aOrigin.mCustomer &&
                site::HostName(batch.mHost) == site::HostName(aOrigin.mHost);
              done(isOwn ? batch_presence::Present : batch_presence::Absent);
            });
}

void
batch_service::ServeBatch(const edge::exchange_ptr& aExchange,
                          const batch_call& aCall,
                          const batch_ptr& aBatch)
{
  if (IsOwnedHere(aBatch)) {
    ServeOwned(aExchange, aCall, aBatch);
    return;
  }
  if (const auto peer = mDependencies.mFindPeer(aBatch->mMetadata.mOwner)) {
    ForwardCall(aExchange, aCall, aBatch, *peer);
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
      edge::AnswerOwn(aExchange, 503, kLoadingRetryAfter);
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
        End(aExchange, aBatch);
        return;
      case batch_call::kind::TakeOver:
        // Handled before the batch is loaded, in HandleOffer.
        aExchange->Answer({ 200, {}, {} });
        return;
    }
  });
}

void
batch_service::ForwardCall(const edge::exchange_ptr& aExchange,
                           const batch_call& aCall,
                           const batch_ptr& aBatch,
                           const edge::endpoint& aPeer)
{
  auto call = aCall;
  call.mWait = WaitAtPeer(aCall);
  edge::call_options options;
  options.mConnectTimeout = kOwnerResponseTimeout;
  options.mSilenceTimeout = call.mKind == batch_call::kind::End
                              ? kEndResponseTimeout
                              : call.mWait + kOwnerResponseTimeout;
  if (!HasTimeFor(options.mSilenceTimeout)) {
    edge::AnswerOwn(aExchange, 503, kLoadingRetryAfter);
    return;
  }
  edge::FetchWhole(
    mDependencies.mClients,
    mDependencies.mLoop,
    aPeer,
    EncodePeerCall(call),
    options,
    options.mSilenceTimeout + kPageTransferTimeout,
    4 << 20,
    [this, aExchange, aCall, aBatch](edge::call_end aEnd,
                                     edge::response aResponse) {
      if (aEnd == edge::call_end::Complete && aResponse.mStatus != kNotOwner) {
        edge::response response{ aResponse.mStatus,
                                 {},
                                 std::move(aResponse.mBody) };
        if (response.mStatus == 200 &&
            aCall.mKind == batch_call::kind::Results) {
          response.mHeaders.Add("Content-Type", "application/json");
        }
        aExchange->Answer(std::move(response));
        return;
      }
      events::line("owner_silent")
        .With("batch", aCall.mBatchId)
        .With("owner", aBatch->mMetadata.mOwner)
        .With("end", edge::ToString(aEnd))
        .With("status", static_cast<std::int64_t>(aResponse.mStatus));
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
    HandleOffer(aExchange, *call);
    return;
  }
  const auto known = mBatches.find(call->mBatchId);
  if (known == mBatches.end() || !IsOwnedHere(known->second)) {
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
  if (aCall.mKind == batch_call::kind::End) {
    aBatch->mIsEndAsked = true;
    ScheduleEnd(aBatch);
  }
  if (boot_clock::now() - aBatch->mOwnerChangedAt < kMinimumClaimInterval ||
      mIsShuttingDown) {
    edge::AnswerOwn(aExchange, 503, kLoadingRetryAfter);
    return;
  }
  if (!IsAllowedHere(AffiliationOf(aBatch->mMetadata))) {
    // The items may not be read here; an entry in an allowed region takes the
    // batch over, and answers the trainer's next call.
    OfferBatch(aBatch);
    edge::AnswerOwn(aExchange, 503, kLoadingRetryAfter);
    return;
  }
  Claim(aBatch, [this, aExchange, aCall, aBatch](bool aIsOwnedHere) {
    if (aIsOwnedHere) {
      ServeOwned(aExchange, aCall, aBatch);
    } else {
      edge::AnswerOwn(aExchange, 503, kLoadingRetryAfter);
    }
  });
}

void
batch_service::Claim(const batch_ptr& aBatch, std::function<void(bool)> aDone)
{
  auto claimed = WithCountedRuns(*aBatch);
  claimed.mOwner = mDependencies.mName;
  mDependencies.mStore.mReplaceStatus(
    kBatchMetadataKind,
    aBatch->mMetadata.mId,
    aBatch->mMetadata.mRevision,
    EncodeMetadataStatus(claimed),
    [this, aBatch, done = std::move(aDone)](
      const objects::object_reply& aResponse) {
      if (aResponse.mOutcome == store_outcome::Done ||
          aResponse.mOutcome == store_outcome::Conflict) {
        if (auto metadata = DecodeMetadata(aResponse.mObject)) {
          ApplyMetadata(*metadata);
        }
      }
      events::line("batch_claimed")
        .With("batch", aBatch->mMetadata.mId)
        .With("owner", aBatch->mMetadata.mOwner)
        .With("outcome", objects::ToString(aResponse.mOutcome));
      done(IsOwnedHere(aBatch));
    });
}

void
batch_service::ReadResults(const edge::exchange_ptr& aExchange,
                           const batch_call& aCall,
                           const batch_ptr& aBatch)
{
  if (MayLackResults(*aBatch)) {
    ReadMissingBlocks(aBatch,
                      [this, aExchange, aCall, aBatch](bool aIsComplete) {
                        if (aIsComplete) {
                          ReadResults(aExchange, aCall, aBatch);
                        } else if (aBatch->mLog.mListed.size() > aCall.mAfter) {
                          // The known results are correct even if there are
                          // more.
                          RespondWithPage(aExchange, aCall, aBatch);
                        } else {
                          edge::AnswerOwn(aExchange, 503, kLoadingRetryAfter);
                        }
                      });
    return;
  }
  const bool isComplete = aBatch->mLog.mListed.size() >=
                          static_cast<std::size_t>(aBatch->mMetadata.mTotal);
  const auto wait = std::min(aCall.mWait, kMaximumWait);
  if (aBatch->mLog.mListed.size() > aCall.mAfter || isComplete ||
      aBatch->mMetadata.mIsEnded || wait.count() == 0) {
    RespondWithPage(aExchange, aCall, aBatch);
    return;
  }
  auto hasResponded = std::make_shared<bool>(false);
  const auto respond = [this, aExchange, aCall, aBatch, hasResponded] {
    if (!*hasResponded) {
      *hasResponded = true;
      RespondWithPage(aExchange, aCall, aBatch);
    }
  };
  aBatch->mResultWaiters.push_back(respond);
  After(wait, respond);
}

void
batch_service::RespondWithPage(const edge::exchange_ptr& aExchange,
                               const batch_call& aCall,
                               const batch_ptr& aBatch)
{
  if (!aBatch->mIsLoaded) {
    edge::AnswerOwn(aExchange, 503, kLoadingRetryAfter);
    return;
  }
  const auto page = ReadPage(aBatch->mLog, aCall.mAfter, kMaximumPageBytes);
  edge::response response{ 200, {}, {} };
  response.mHeaders.Add("Content-Type", "application/json");
  response.mBody = mDependencies.mEncoder.mEncodePage(
    static_cast<std::size_t>(aBatch->mMetadata.mTotal), page);
  aExchange->Answer(std::move(response));
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
batch_service::End(const edge::exchange_ptr& aExchange, const batch_ptr& aBatch)
{
  // The runs are cancelled before the store has recorded the end: the trainer
  // needs no more results, even if this request fails.
  aBatch->mIsEndAsked = true;
  if (aBatch->mMetadata.mIsEnded) {
    StopRuns(aBatch);
    aExchange->Answer({ 200, {}, {} });
    return;
  }
  if (!mHasListing) {
    // The batch's runs aren't loaded before all batches are known. An end
    // without the runs that count would let a later batch begin without them.
    ScheduleEnd(aBatch);
    edge::AnswerOwn(aExchange, 503, kLoadingRetryAfter);
    return;
  }
  aBatch->mEndWaiters.push_back(aExchange);
  if (aBatch->mEndWaiters.size() == 1) {
    StopRunsOnceChecked(aBatch, kMaximumTries, [this, aBatch] {
      WriteEnd(aBatch, kMaximumTries);
    });
  }
}

void
batch_service::WriteEnd(const batch_ptr& aBatch, int aTriesLeft)
{
  if (aBatch->mMetadata.mIsEnded) {
    AnswerEndWaiters(aBatch, 200);
    return;
  }
  auto ended = WithCountedRuns(*aBatch);
  ended.mOwner = mDependencies.mName;
  ended.mIsEnded = true;
  mDependencies.mStore.mReplaceStatus(
    kBatchMetadataKind,
    aBatch->mMetadata.mId,
    aBatch->mMetadata.mRevision,
    EncodeMetadataStatus(ended),
    [this, aBatch, aTriesLeft](const objects::object_reply& aResponse) {
      if (aResponse.mOutcome == store_outcome::Done ||
          aResponse.mOutcome == store_outcome::Conflict) {
        if (auto metadata = DecodeMetadata(aResponse.mObject)) {
          ApplyMetadata(*metadata);
        }
      }
      if (aBatch->mMetadata.mIsEnded) {
        events::line("batch_ended").With("batch", aBatch->mMetadata.mId);
        AnswerEndWaiters(aBatch, 200);
      } else if (!IsOwnedHere(aBatch)) {
        // The new owner ends it, with the runs that it counts.
        AnswerEndWaiters(aBatch, 504);
        ScheduleEnd(aBatch);
      } else if (aTriesLeft > 0) {
        After(kRetryDelay,
              [this, aBatch, aTriesLeft] { WriteEnd(aBatch, aTriesLeft - 1); });
      } else {
        AnswerEndWaiters(aBatch, 504);
        ScheduleEnd(aBatch);
      }
    });
}

void
batch_service::AnswerEndWaiters(const batch_ptr& aBatch, unsigned aStatus)
{
  for (const auto& waiter : std::exchange(aBatch->mEndWaiters, {})) {
    waiter->Answer({ aStatus, {}, {} });
  }
}

void
batch_service::StopRuns(const batch_ptr& aBatch)
{
  auto counted = mDependencies.mRunner.CountedRuns(aBatch->mMetadata.mId);
  const auto largest = LargestContent(mDependencies.mMaximumObjectBytes);
  const auto others = EncodeMetadata(aBatch->mMetadata).size() +
                      EncodeMetadataStatus(aBatch->mMetadata).size();
  if (const auto cut =
        CutCountedRuns(counted, largest - std::min(largest, others));
      cut > 0) {
    events::line("counted_runs_cut")
      .With("batch", aBatch->mMetadata.mId)
      .With("runs", static_cast<std::int64_t>(cut))
      .With("reason",
            "the batch's object would be larger than the store takes");
  }
  if (!counted.empty()) {
    aBatch->mCountedRuns = counted;
    ApplyCountedRuns(WithCountedRuns(*aBatch));
  }
  mDependencies.mRunner.Remove(aBatch->mMetadata.mId);
}

void
batch_service::StopRunsOnceChecked(const batch_ptr& aBatch,
                                   int aTriesLeft,
                                   std::function<void()> aDone)
{
  if (aTriesLeft > 0 &&
      mDependencies.mRunner.IsChecking(aBatch->mMetadata.mId)) {
    After(kCheckPollInterval,
          [this, aBatch, aTriesLeft, done = std::move(aDone)]() mutable {
            StopRunsOnceChecked(aBatch, aTriesLeft - 1, std::move(done));
          });
    return;
  }
  StopRuns(aBatch);
  aDone();
}

batch_metadata
batch_service::WithCountedRuns(const batch_record& aBatch)
{
  auto metadata = aBatch.mMetadata;
  if (!aBatch.mCountedRuns.empty()) {
    metadata.mCountedRuns = aBatch.mCountedRuns;
  }
  return metadata;
}

void
batch_service::ScheduleEnd(const batch_ptr& aBatch)
{
  if (aBatch->mIsEndScheduled || aBatch->mMetadata.mIsEnded) {
    return;
  }
  aBatch->mIsEndScheduled = true;
  events::line("batch_end_pending")
    .With("batch", aBatch->mMetadata.mId)
    .With("owner", aBatch->mMetadata.mOwner);
  After(kEndRetryDelay, [this, aBatch] {
    aBatch->mIsEndScheduled = false;
    ContinueEnd(aBatch);
  });
}

void
batch_service::ContinueEnd(const batch_ptr& aBatch)
{
  const auto& metadata = aBatch->mMetadata;
  if (metadata.mIsEnded || mBatches.count(metadata.mId) == 0) {
    return;
  }
  batch_call call;
  call.mKind = batch_call::kind::End;
  call.mBatchId = metadata.mId;
  call.mCustomer = metadata.mCustomer;
  // The trainer has its answer; this exchange discards further ones.
  const auto nobody =
    std::make_shared<edge::exchange>(nullptr, edge::request());
  ServeBatch(nobody, call, aBatch);
  ScheduleEnd(aBatch);
}

} // namespace lavender::batches
