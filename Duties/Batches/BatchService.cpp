#include "Duties/Batches/BatchService.h"

#include "Duties/Batches/PeerCall.h"
#include "Libraries/Core/Base64.h"
#include "Libraries/EventLog/EventLog.h"

#include <boost/asio/steady_timer.hpp>

namespace lavender::batches {

using namespace std::chrono_literals;
using objects::store_outcome;

namespace {

/** A page of results is 1 MB at most, with room for its frame. */
constexpr std::size_t kPageBytes = 900 << 10;
/** A block of results stays below the store's limit on objects. */
constexpr std::size_t kBlockBytes = 900 << 10;
/** Results gather this long before they are written as one block: each write
 * is a priced call, and trainers read about twice a second. */
constexpr milliseconds kGatherGroups = 250ms;
/** Results that complete no group are of no use to the trainer yet; they are
 * written so that a crash of this entry loses little work. */
constexpr milliseconds kGatherParts = 1000ms;
constexpr milliseconds kRetryPause = 250ms;
/** Longest time that a trainer's reading call is held. */
constexpr milliseconds kLongestWait = 1000ms;
/** How long the owner may take beyond the wait before another entry takes its
 * batch over. */
constexpr milliseconds kOwnerSilence = 600ms;
/** A batch changes its owner at most once in this time, so that two entries
 * which don't reach each other don't take turns. */
constexpr milliseconds kClaimPause = 1500ms;
/** Tries to settle a write whose answer was lost. */
constexpr int kTries = 3;

/** Whether every item of that item's group has a result. */
bool
CompletesGroup(const batch_record& aBatch, const std::string& aItemId)
{
  const auto& items = aBatch.mSubmission->mItems;
  const auto item =
    std::find_if(items.begin(), items.end(), [&](const auto& aCandidate) {
      return aCandidate.mId == aItemId;
    });
  return item == items.end() ||
         std::all_of(items.begin(), items.end(), [&](const auto& aCandidate) {
           return aCandidate.mGroup != item->mGroup ||
                  HasResult(aBatch.mLog, aCandidate.mId);
         });
}

} // namespace

/** A batch on its way to being accepted. */
struct batch_service::admission
{
  edge::exchange_ptr mExchange;
  batch_head mHead;
  std::shared_ptr<submission> mSubmission;
  std::vector<std::string> mItems;
  int mTriesLeft = kTries;
  /** The head may exist, or may yet come to. */
  bool mIsUnsettled = false;
};

batch_service::batch_service(service_parts aParts)
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
  ResumeOwn();
}

void
batch_service::TakeEvent(const objects::object_event& aEvent)
{
  if (aEvent.mIsDeleted) {
    return;
  }
  if (const auto head = DecodeHead(aEvent.mObject)) {
    TakeHead(*head);
  }
}

void
batch_service::After(milliseconds aPause, std::function<void()> aAction)
{
  auto timer = std::make_shared<boost::asio::steady_timer>(mParts.mLoop);
  timer->expires_after(aPause);
  timer->async_wait([timer, action = std::move(aAction)](const auto& aError) {
    if (!aError) {
      action();
    }
  });
}

bool
batch_service::IsMine(const batch_ptr& aBatch) const
{
  return aBatch->mHead.mOwner == mParts.mName;
}

void
batch_service::TakeHead(const batch_head& aHead)
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

// Accepting

void
batch_service::Submit(const edge::exchange_ptr& aExchange,
                      const std::string& aCustomer,
                      const std::string& aHost,
                      submission aSubmission)
{
  if (const auto known = mBatches.find(aSubmission.mId);
      known != mBatches.end()) {
    const bool isOwn = known->second->mHead.mCustomer == aCustomer;
    aExchange->Answer({ isOwn ? 202u : 404u, {}, {} });
    return;
  }
  if (mIsLeaving) {
    edge::response refusal{ 503, {}, {} };
    refusal.mHeaders.Add("Retry-After", "0.1");
    aExchange->Answer(std::move(refusal));
    return;
  }
  auto admitted = std::make_shared<admission>();
  admitted->mExchange = aExchange;
  admitted->mItems = EncodeItems(aSubmission);
  auto& head = admitted->mHead;
  head.mId = aSubmission.mId;
  head.mCustomer = aCustomer;
  head.mHost = aHost;
  head.mPath = aExchange->mRequest.mTarget;
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
  const auto name = ItemsName(aAdmission->mHead.mId, static_cast<int>(aPart));
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
    kItemsKind,
    name,
    aAdmission->mItems[aPart],
    [this, aAdmission, name, take](const objects::object_reply& aReply) {
      if (aReply.mOutcome == store_outcome::Unknown &&
          aAdmission->mTriesLeft-- > 0) {
        mParts.mStore.mGet(
          kItemsKind, name, objects::freshness::Linearizable, take);
      } else {
        take(aReply);
      }
    });
}

void
batch_service::WriteHead(const std::shared_ptr<admission>& aAdmission)
{
  mParts.mStore.mCreate(
    kHeadKind,
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
          kHeadKind,
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
                                const batch_head& aHead)
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
  edge::response refusal{ status, {}, {} };
  if (status == 503) {
    refusal.mHeaders.Add("Retry-After", "0.3");
  }
  aAdmission->mExchange->Answer(std::move(refusal));
}

// Calls on a batch

void
batch_service::FindThen(const std::string& aBatchId,
                        std::function<void(batch_ptr, store_outcome)> aDone)
{
  if (const auto known = mBatches.find(aBatchId); known != mBatches.end()) {
    aDone(known->second, store_outcome::Done);
    return;
  }
  mParts.mStore.mGet(
    kHeadKind,
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
  if (!IsUsableId(aCall.mBatchId)) {
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
        aExchange->Answer({ 503, {}, {} });
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
      aExchange->Answer({ 503, {}, {} });
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
  const auto deadline = aCall.mWait + kOwnerSilence;
  options.mSilenceTimeout = deadline;
  edge::FetchWhole(
    mParts.mClients,
    mParts.mLoop,
    aPeer,
    EncodePeerCall(aCall),
    options,
    deadline,
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
        .With("end", edge::WordFor(aEnd))
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
    aExchange->Answer({ 503, {}, {} });
    return;
  }
  Claim(aBatch, [this, aExchange, aCall, aBatch](bool aIsMine) {
    if (aIsMine) {
      ServeOwned(aExchange, aCall, aBatch);
    } else {
      aExchange->Answer({ 503, {}, {} });
    }
  });
}

void
batch_service::Claim(const batch_ptr& aBatch, std::function<void(bool)> aDone)
{
  mParts.mStore.mReplaceStatus(
    kHeadKind,
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
        .With("outcome", objects::WordFor(aReply.mOutcome));
      done(IsMine(aBatch));
    });
}

void
batch_service::ReadResults(const edge::exchange_ptr& aExchange,
                           const batch_call& aCall,
                           const batch_ptr& aBatch)
{
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
    aExchange->Answer({ 503, {}, {} });
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
    kHeadKind,
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

// Loading what the store holds

void
batch_service::Load(const batch_ptr& aBatch, std::function<void(bool)> aDone)
{
  if (aBatch->mIsLoaded) {
    aDone(true);
    return;
  }
  aBatch->mLoadWaiters.push_back(std::move(aDone));
  if (aBatch->mIsLoading) {
    return;
  }
  StartLoad(aBatch);
}

objects::object_done
batch_service::WhileSame(const batch_ptr& aBatch, objects::object_done aDone)
{
  return [aBatch, generation = aBatch->mGeneration, done = std::move(aDone)](
           objects::object_reply aReply) {
    if (aBatch->mGeneration == generation) {
      done(std::move(aReply));
    }
  };
}

void
batch_service::StartLoad(const batch_ptr& aBatch)
{
  aBatch->mIsLoading = true;
  aBatch->mLog = {};
  ++aBatch->mGeneration;
  auto gathered = std::make_shared<submission>();
  gathered->mId = aBatch->mHead.mId;
  gathered->mModel = aBatch->mHead.mModel;
  gathered->mMinimumVersion = aBatch->mHead.mMinimumVersion;
  gathered->mTargetGroups = aBatch->mHead.mTargetGroups;
  LoadItems(aBatch, gathered, 0);
}

void
batch_service::LoadItems(const batch_ptr& aBatch,
                         std::shared_ptr<submission> aGathered,
                         int aPart)
{
  if (aPart == aBatch->mHead.mParts) {
    aBatch->mSubmission = aGathered;
    LoadResults(aBatch);
    return;
  }
  mParts.mStore.mGet(kItemsKind,
                     ItemsName(aBatch->mHead.mId, aPart),
                     objects::freshness::Linearizable,
                     WhileSame(aBatch,
                               [this, aBatch, aGathered, aPart](
                                 const objects::object_reply& aReply) {
                                 if (aReply.mOutcome == store_outcome::Done &&
                                     DecodeItems(aReply.mObject, *aGathered)) {
                                   LoadItems(aBatch, aGathered, aPart + 1);
                                 } else {
                                   FinishLoad(aBatch, false);
                                 }
                               }));
}

void
batch_service::LoadResults(const batch_ptr& aBatch)
{
  const auto take = [this, aBatch](const objects::object_reply& aReply) {
    if (aReply.mOutcome == store_outcome::NotFound) {
      FinishLoad(aBatch, true);
      return;
    }
    const auto block = aReply.mOutcome == store_outcome::Done
                         ? DecodeBlock(aReply.mObject)
                         : std::nullopt;
    if (!block) {
      FinishLoad(aBatch, false);
      return;
    }
    TakeBlock(aBatch->mLog, *block);
    LoadResults(aBatch);
  };
  mParts.mStore.mGet(kResultsKind,
                     ResultsName(aBatch->mHead.mId, aBatch->mLog.mNextBlock),
                     objects::freshness::Linearizable,
                     WhileSame(aBatch, take));
}

void
batch_service::FinishLoad(const batch_ptr& aBatch, bool aIsLoaded)
{
  aBatch->mIsLoading = false;
  aBatch->mIsLoaded = aIsLoaded;
  events::line("batch_loaded")
    .With("batch", aBatch->mHead.mId)
    .With("outcome", aBatch->mIsLoaded ? "loaded" : "failed")
    .With("results", static_cast<std::int64_t>(aBatch->mLog.mListed.size()));
  if (aBatch->mIsLoaded) {
    Run(aBatch);
  } else if (!aBatch->mHead.mIsEnded) {
    After(kRetryPause, [this, aBatch] {
      if (IsMine(aBatch)) {
        Load(aBatch, [](bool) {});
      }
    });
  }
  TellLoaded(aBatch);
}

void
batch_service::TellLoaded(const batch_ptr& aBatch)
{
  const auto waiters = std::move(aBatch->mLoadWaiters);
  aBatch->mLoadWaiters.clear();
  for (const auto& waiter : waiters) {
    waiter(aBatch->mIsLoaded);
  }
}

void
batch_service::Run(const batch_ptr& aBatch)
{
  if (!aBatch->mHead.mIsEnded) {
    mParts.mRunner.Add(
      aBatch->mHead, aBatch->mSubmission, [&](const std::string& aItemId) {
        return HasResult(aBatch->mLog, aItemId);
      });
  }
}

void
batch_service::Drop(const batch_ptr& aBatch)
{
  mParts.mRunner.Remove(aBatch->mHead.mId);
  aBatch->mIsLoaded = false;
  aBatch->mIsLoading = false;
  aBatch->mIsCommitting = false;
  ++aBatch->mGeneration;
  aBatch->mLog = {};
  aBatch->mSubmission.reset();
  TellLoaded(aBatch);
  const auto waiters = std::move(aBatch->mResultWaiters);
  aBatch->mResultWaiters.clear();
  for (const auto& waiter : waiters) {
    waiter();
  }
}

// Listing results

void
batch_service::TakeResult(const std::string& aBatchId, item_result aResult)
{
  const auto found = mBatches.find(aBatchId);
  if (found == mBatches.end() || !found->second->mIsLoaded) {
    return;
  }
  const auto& batch = found->second;
  AddPending(
    batch->mLog, aResult.mItemId, mParts.mFormat.mEncodeResult(aResult));
  PlanCommit(batch,
             CompletesGroup(*batch, aResult.mItemId) ? kGatherGroups
                                                     : kGatherParts);
}

void
batch_service::PlanCommit(const batch_ptr& aBatch, milliseconds aPause)
{
  const auto at = boot_clock::now() + aPause;
  if (aBatch->mIsCommitting ||
      (aBatch->mCommitAt && *aBatch->mCommitAt <= at)) {
    return;
  }
  aBatch->mCommitAt = at;
  After(aPause, [this, aBatch, at] {
    if (aBatch->mCommitAt == at) {
      aBatch->mCommitAt.reset();
      Commit(aBatch);
    }
  });
}

void
batch_service::Commit(const batch_ptr& aBatch)
{
  if (aBatch->mIsCommitting || !aBatch->mIsLoaded || aBatch->mHead.mIsEnded ||
      aBatch->mLog.mPending.mItemIds.empty()) {
    return;
  }
  auto block = std::make_shared<result_block>();
  std::size_t bytes = 0;
  const auto& pending = aBatch->mLog.mPending;
  for (std::size_t i = 0; i < pending.mItemIds.size(); ++i) {
    bytes += pending.mEntries[i].size();
    if (i > 0 && bytes > kBlockBytes) {
      break;
    }
    block->mItemIds.push_back(pending.mItemIds[i]);
    block->mEntries.push_back(pending.mEntries[i]);
  }
  aBatch->mIsCommitting = true;
  mParts.mStore.mCreate(
    kResultsKind,
    ResultsName(aBatch->mHead.mId, aBatch->mLog.mNextBlock),
    EncodeBlock(*block),
    WhileSame(aBatch,
              [this, aBatch, block](const objects::object_reply& aReply) {
                aBatch->mIsCommitting = false;
                if (aReply.mOutcome == store_outcome::Done) {
                  TakeListedBlock(aBatch, *block);
                  PlanCommit(aBatch, kGatherGroups);
                } else if (aReply.mOutcome == store_outcome::Refused) {
                  PlanCommit(aBatch, kRetryPause);
                } else {
                  SettleCommit(aBatch);
                }
              }));
}

void
batch_service::SettleCommit(const batch_ptr& aBatch)
{
  aBatch->mIsCommitting = true;
  mParts.mStore.mGet(
    kResultsKind,
    ResultsName(aBatch->mHead.mId, aBatch->mLog.mNextBlock),
    objects::freshness::Linearizable,
    WhileSame(aBatch, [this, aBatch](const objects::object_reply& aReply) {
      aBatch->mIsCommitting = false;
      if (aReply.mOutcome == store_outcome::Done) {
        if (const auto block = DecodeBlock(aReply.mObject)) {
          TakeListedBlock(aBatch, *block);
        }
      }
      PlanCommit(aBatch, kRetryPause);
    }));
}

void
batch_service::TakeListedBlock(const batch_ptr& aBatch,
                               const result_block& aBlock)
{
  const auto news = TakeBlock(aBatch->mLog, aBlock);
  events::line("results_listed")
    .With("batch", aBatch->mHead.mId)
    .With("block", static_cast<std::int64_t>(aBatch->mLog.mNextBlock - 1))
    .With("results", static_cast<std::int64_t>(aBlock.mItemIds.size()))
    .With("listed", static_cast<std::int64_t>(aBatch->mLog.mListed.size()));
  if (!news.empty()) {
    mParts.mRunner.TakeListed(aBatch->mHead.mId, news);
  }
  const auto waiters = std::move(aBatch->mResultWaiters);
  aBatch->mResultWaiters.clear();
  for (const auto& waiter : waiters) {
    waiter();
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

std::optional<std::string>
batch_service::SuccessorFor(const std::string& aBatchId) const
{
  // Rendezvous hashing: the batches of one entry spread over the others.
  std::optional<std::string> chosen;
  std::size_t highest = 0;
  for (const auto& name : mParts.mEntryNames()) {
    const auto weight = std::hash<std::string>{}(aBatchId + "/" + name);
    if (name != mParts.mName && (!chosen || weight > highest)) {
      chosen = name;
      highest = weight;
    }
  }
  return chosen;
}

void
batch_service::HandOver()
{
  mIsLeaving = true;
  for (const auto& [id, batch] : mBatches) {
    const auto successor = SuccessorFor(id);
    if (!IsMine(batch) || batch->mHead.mIsEnded || !successor) {
      continue;
    }
    mParts.mStore.mReplaceStatus(kHeadKind,
                                 id,
                                 batch->mHead.mRevision,
                                 EncodeHeadStatus(*successor, false),
                                 [this](const objects::object_reply& aReply) {
                                   if (const auto head =
                                         DecodeHead(aReply.mObject)) {
                                     TakeHead(*head);
                                   }
                                 });
  }
}

} // namespace lavender::batches
