#pragma once

#include "Duties/Batches/BatchRunner.h"
#include "Duties/Batches/ResultLog.h"
#include "Libraries/Core/Rendezvous.h"
#include "Libraries/Edge/Listener.h"
#include "Libraries/ObjectStore/ObjectStore.h"

#include <deque>

namespace lavender::batches {

/** Pause before a call to the store that failed is made again; answers come
 * within some ms when the store is well. */
constexpr milliseconds kRetryPause{ 250 };
/** Tries to settle a write whose answer was lost. */
constexpr int kTries = 3;
/** A listing of heads may lack those accepted while it was on its way, through
 * another entry and a slow store at worst. */
constexpr milliseconds kListingDelay{ 60000 };

/** How results and pages are written for trainers; the adapter fills it in. */
struct results_encoder
{
  std::function<std::string(const item_result&)> mEncodeResult;
  std::function<std::string(std::size_t aTotal, const results_page&)>
    mEncodePage;
};

struct service_dependencies
{
  boost::asio::io_context& mLoop;
  const objects::object_store& mStore;
  edge::client_pool& mClients;
  batch_runner& mRunner;
  metrics::registry& mMetrics;
  results_encoder mFormat;
  /** Name of this entry. */
  std::string mName;
  /** Where another entry takes forwarded calls; none when it isn't known. */
  std::function<std::optional<edge::endpoint>(const std::string&)> mFindPeer;
  /** Entries that may own a batch, this one included, by how much work each
   * can do. */
  std::function<std::vector<weighted_candidate>()> mEntries;
  /** False while this entry's writes don't reach the store though others'
   * do. */
  std::function<bool()> mCanReachStore;
  /** Told once of each batch that was accepted, by whichever entry. */
  std::function<void(const batch_metadata&)> mOnAccepted;
};

/** One batch as this entry knows it. */
struct batch_record
{
  batch_metadata mHead;
  /** Items and results are here; only the owner's are. */
  bool mIsLoaded = false;
  bool mIsLoading = false;
  std::shared_ptr<const submission> mSubmission;
  result_log mLog;
  group_progress mGroups;
  /** Texts without result that were found while loading. */
  stored_texts mStored;
  /** Under which this load of the batch stores parts of texts. */
  std::string mWriter;
  /** Grows whenever the log is thrown away. An answer of the store that comes
   * after this entry lost the batch and took it over again belongs to the log
   * before; added to the new one it would shift every later position. */
  std::uint64_t mGeneration = 0;
  bool mIsCommitting = false;
  /** Another entry has been asked to take it, and hasn't answered. */
  bool mIsOffered = false;
  /** When the log was loaded from the store; none when all of it was listed
   * here. */
  std::optional<time_point> mLoadedAt;
  /** When the store last said that no more blocks exist. */
  time_point mEndSeenAt;
  /** When the waiting results will be written. */
  std::optional<time_point> mCommitAt;
  /** When the owner last changed, as seen here. */
  time_point mOwnedSince;
  std::vector<std::function<void(bool)>> mLoadWaiters;
  std::vector<std::function<void()>> mResultWaiters;
};

using batch_ptr = std::shared_ptr<batch_record>;

/** A call on a batch that exists: a trainer's, as an entry passes it on, or an
 * owner's. */
struct batch_call
{
  enum class kind
  {
    Results,
    Item,
    End,
    /** The owner can't store results and asks another entry to own the
     * batch. */
    TakeOver
  };
  kind mKind = kind::Results;
  std::string mBatchId;
  std::string mItemId;
  std::size_t mAfter = 0;
  milliseconds mWait{ 0 };
  std::string mCustomer;
};

/** Accepts batches, lists their results and ends them.
 *
 * Each batch has one owner, an entry that runs it and knows its results; the
 * others pass calls on to it. All batches of one customer's model go to one
 * entry while it answers: it alone then sends runs to that model's servers, so
 * that it knows how full they are, and uses its connections to them again from
 * step to step. When the owner doesn't answer, the entry that was asked takes
 * the batch over by a conditional change of its head. */
class batch_service
{
public:
  explicit batch_service(service_dependencies aParts);

  /** All heads that the store holds. */
  void TakeListing(const std::map<std::string, objects::stored_object>& aHeads);
  void TakeEvent(const objects::object_event& aEvent);
  /** A new batch, read from a caller's request. Accepted by the entry that
   * shall own it, or by this one when that can't be asked. */
  void Submit(const edge::exchange_ptr& aExchange,
              const submission_origin& aOrigin,
              submission aSubmission);
  /** One that another entry passed on, since this one shall own it. */
  void SubmitLocally(const edge::exchange_ptr& aExchange,
                     const submission_origin& aOrigin,
                     submission aSubmission);
  void Serve(const edge::exchange_ptr& aExchange, const batch_call& aCall);
  /** All heads that are known here. */
  std::vector<batch_metadata> ListBatches() const;
  /** Calls that another entry passed on. */
  void ServePeer(const edge::exchange_ptr& aExchange);
  void AddResult(const std::string& aBatchId, item_result aResult);
  /** From now on new batches are refused; those that run go on. */
  void StopAccepting() { mIsLeaving = true; }
  /** Batches of this entry whose trainers still wait. */
  std::size_t OpenBatches() const;
  /** Gives each open batch to another entry, which goes on from what is
   * listed. */
  void HandOver();

private:
  struct admission;
  struct placement;
  /** What came of passing the submission to another entry before. */
  enum class prior_try
  {
    None,
    MayHaveBeenAccepted
  };

  void GiveTo(const batch_ptr& aBatch, const std::string& aOwner);
  /** Asks another entry to take a batch whose results can't be stored here. */
  void Offer(const batch_ptr& aBatch);
  void TakeOffer(const edge::exchange_ptr& aExchange, const batch_call& aCall);
  /** Whether this entry should own no more batches than it does. */
  bool IsUnfit() const { return mIsLeaving || !mParts.mCanReachStore(); }
  std::optional<std::string> DesignatedOwner(const std::string& aCustomer,
                                             const std::string& aModel) const;
  /** Another entry, and where it takes calls. */
  struct other_entry
  {
    std::string mName;
    edge::endpoint mAddress;
  };

  /** The designated owner, unless that is this entry or nobody. */
  std::optional<other_entry> OtherOwner(const std::string& aCustomer,
                                        const std::string& aModel) const;
  /** A call whose answer has a status alone. */
  void CallPeer(const edge::endpoint& aPeer,
                const edge::request& aRequest,
                milliseconds aTimeout,
                edge::whole_answer aDone);
  bool AnswerKnown(const edge::exchange_ptr& aExchange,
                   const submission_origin& aOrigin,
                   const std::string& aBatchId);
  /** Passes a submission to the entry that shall own it, or admits it here. */
  void Place(const std::shared_ptr<placement>& aPlacement);
  void PassSubmission(const std::shared_ptr<placement>& aPlacement,
                      const other_entry& aOwner);
  void Admit(const edge::exchange_ptr& aExchange,
             const submission_origin& aOrigin,
             submission aSubmission,
             prior_try aPriorTry);

  void TakeHead(const batch_metadata& aHead);
  void Forget(const std::string& aBatchId);
  void ResumeOwn();
  bool IsMine(const batch_ptr& aBatch) const;
  void WriteItems(const std::shared_ptr<admission>& aAdmission,
                  std::size_t aPart);
  void WriteHead(const std::shared_ptr<admission>& aAdmission);
  void TakeHeadReply(const std::shared_ptr<admission>& aAdmission,
                     const objects::object_reply& aReply);
  void TakeExistingHead(const std::shared_ptr<admission>& aAdmission,
                        const batch_metadata& aHead);
  void Accept(const std::shared_ptr<admission>& aAdmission);
  void FailAdmission(const std::shared_ptr<admission>& aAdmission,
                     const char* aReason);

  void FindThen(const std::string& aBatchId,
                std::function<void(batch_ptr, objects::store_outcome)> aDone);
  void ServeKnown(const edge::exchange_ptr& aExchange,
                  const batch_call& aCall,
                  const batch_ptr& aBatch);
  void ServeOwned(const edge::exchange_ptr& aExchange,
                  const batch_call& aCall,
                  const batch_ptr& aBatch);
  void PassOn(const edge::exchange_ptr& aExchange,
              const batch_call& aCall,
              const batch_ptr& aBatch,
              const edge::endpoint& aPeer);
  void TakeOver(const edge::exchange_ptr& aExchange,
                const batch_call& aCall,
                const batch_ptr& aBatch);
  void Claim(const batch_ptr& aBatch, std::function<void(bool)> aDone);
  void ReadResults(const edge::exchange_ptr& aExchange,
                   const batch_call& aCall,
                   const batch_ptr& aBatch);
  /** Whether another entry may have listed results that this one, which owns
   * the batch now, doesn't know of. */
  bool MayHaveMore(const batch_record& aBatch) const;
  /** Takes in the blocks that others listed, then tells whether the log is
   * certainly whole. */
  void LookForMore(const batch_ptr& aBatch, std::function<void(bool)> aDone);
  void AnswerPage(const edge::exchange_ptr& aExchange,
                  const batch_call& aCall,
                  const batch_ptr& aBatch);
  void ReadItem(const edge::exchange_ptr& aExchange,
                const batch_call& aCall,
                const batch_ptr& aBatch);
  void End(const edge::exchange_ptr& aExchange,
           const batch_ptr& aBatch,
           int aTriesLeft);

  void Load(const batch_ptr& aBatch, std::function<void(bool)> aDone);
  void StartLoad(const batch_ptr& aBatch);
  void LoadItems(const batch_ptr& aBatch,
                 std::shared_ptr<submission> aGathered,
                 int aPart);
  void LoadResults(const batch_ptr& aBatch);
  void FinishLoad(const batch_ptr& aBatch, bool aIsLoaded);
  void TellLoaded(const batch_ptr& aBatch);
  /** The function, unless the batch's log has been thrown away by then. */
  objects::object_done WhileSame(const batch_ptr& aBatch,
                                 objects::object_done aDone);
  void Run(const batch_ptr& aBatch);
  void Drop(const batch_ptr& aBatch);

  /** Stores the texts of long runs now and then while the batch runs. */
  void PlanSave(const batch_ptr& aBatch);
  /** Stores all that runs have made, then calls the function: once, whatever
   * came of it. */
  void SaveThen(const batch_ptr& aBatch,
                int aTriesLeft,
                std::function<void()> aDone);
  void CommitBlock(const batch_ptr& aBatch,
                   milliseconds aSaveLongerThan,
                   std::function<void()> aDone);
  void PlanCommit(const batch_ptr& aBatch, milliseconds aPause);
  void Commit(const batch_ptr& aBatch);
  void SettleCommit(const batch_ptr& aBatch);
  void TakeListedBlock(const batch_ptr& aBatch, const result_block& aBlock);
  void After(milliseconds aPause, std::function<void()> aAction);

  service_dependencies mParts;
  std::map<std::string, batch_ptr> mBatches;
  /** Entries that didn't take a batch lately. */
  std::map<std::string, time_point> mAvoidedUntil;
  bool mIsLeaving = false;
};

} // namespace lavender::batches
