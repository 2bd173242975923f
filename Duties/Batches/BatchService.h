#pragma once

#include "Duties/Batches/BatchRunner.h"
#include "Duties/Batches/BlockWrite.h"
#include "Duties/Batches/ResultLog.h"
#include "Libraries/Core/Identity.h"
#include "Libraries/Core/Rendezvous.h"
#include "Libraries/Edge/Listener.h"
#include "Libraries/ObjectStore/ObjectStore.h"

#include <deque>

namespace lavender::batches {

/** Delay before a failed call to the store is retried. A healthy store responds
 * within a few ms. */
constexpr milliseconds kRetryDelay{ 250 };
/** Maximum number of tries to settle a write whose response was lost. */
constexpr int kMaximumTries = 3;
/** A batch younger than this may be missing from a listing although it exists:
 * it may have been accepted through another entry while a slow store produced
 * the listing. */
constexpr milliseconds kListingLag{ 60000 };

/** Encodes results and pages of results for trainers. The platform adapter
 * supplies the functions. */
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
  results_encoder mEncoder;
  /** Name of this entry. */
  std::string mName;
  /** Address at which another entry accepts forwarded calls; none if unknown.
   */
  std::function<std::optional<edge::endpoint>(const std::string&)> mFindPeer;
  /** Entries in regions where the batch may be processed, this one included if
   * it lies there, weighted by capacity. */
  std::function<std::vector<weighted_candidate>(const batch_affiliation&)>
    mEntries;
  /** False while this entry's writes don't reach the store although those of
   * other entries do. */
  std::function<bool()> mCanReachStore;
  /** Called once for each accepted batch, whichever entry accepted it. */
  std::function<void(const batch_metadata&)> mOnAccepted;
  /** Most memory of the items of all batches in this entry; beyond it
   * submissions are refused. */
  std::size_t mMaximumItemBytes = 256 << 20;
  /** Largest object that the store takes. */
  std::size_t mMaximumObjectBytes = 1 << 20;
};

/** State of one batch in this entry. */
struct batch_record
{
  batch_metadata mMetadata;
  /** True if the items and results are in memory. Only the owner loads them. */
  bool mIsLoaded = false;
  bool mIsLoading = false;
  /** Whether this process has run the batch. */
  bool mHasRun = false;
  std::shared_ptr<const submission> mSubmission;
  result_log mLog;
  group_progress mGroups;
  /** What is stored of items without a result, found while loading. */
  stored_progress mStored;
  /** Writer id under which this load of the batch stores parts of texts. */
  std::string mWriter;
  /** Incremented whenever the log is discarded. Store responses that arrive
   * after this entry lost the batch and took it over again carry an older
   * generation; applied to the new log they would shift all later positions. */
  std::uint64_t mGeneration = 0;
  bool mIsCommitting = false;
  /** The block that is being written, and its read-backs. */
  block_write mWrite;
  /** Largest block, once the store has found one too large. */
  std::optional<std::size_t> mMaximumBlockBytes;
  /** True while a request to another entry to take over the batch is pending.
   */
  bool mIsOffered = false;
  /** A trainer has ended the batch. Its items don't run here any more, whether
   * the store holds the end or not. */
  bool mIsEndAsked = false;
  /** Runs that counted when the items stopped running here, until the store
   * holds the end. The runner has forgotten the batch by then, and a conflict
   * replaces the metadata by one that lacks them. */
  std::vector<item_run> mCountedRuns;
  /** True while an end that the store doesn't hold waits for its next attempt.
   */
  bool mIsEndScheduled = false;
  /** Time at which the log was loaded from the store; none if this entry has
   * listed all of it. */
  std::optional<time_point> mLoadedAt;
  /** Last time at which the store reported that there are no more blocks. */
  time_point mNoMoreBlocksAt;
  /** Time at which the pending results will be written. */
  std::optional<time_point> mCommitAt;
  /** Time of the last change of owner that this entry saw. */
  time_point mOwnerChangedAt;
  std::vector<std::function<void(bool)>> mLoadWaiters;
  std::vector<std::function<void()>> mResultWaiters;
  /** Calls that wait for the end to be stored. While there are any, the end is
   * being written. */
  std::vector<edge::exchange_ptr> mEndWaiters;
};

using batch_ptr = std::shared_ptr<batch_record>;

/** An operation on an existing batch. A trainer's entry forwards it to the
 * batch's owner; an owner sends TakeOver itself. */
struct batch_call
{
  enum class kind
  {
    Results,
    Item,
    End,
    /** Sent by an owner that can't write to the store: asks the receiving entry
     * to become the owner. */
    TakeOver
  };
  kind mKind = kind::Results;
  std::string mBatchId;
  std::string mItemId;
  std::size_t mAfter = 0;
  milliseconds mWait{ 0 };
  std::string mCustomer;
};

/** Whether a customer has a batch at a host. */
enum class batch_presence
{
  Present,
  Absent,
  /** The store can't be asked. */
  Unknown
};

/** Accepts batches, lists their results and ends them.
 *
 * Each batch has one owner: the entry that runs it and holds its results. The
 * other entries forward calls to the owner. All batches of one customer and
 * model go to the same entry while it responds, so that a single entry sends
 * runs to that model's servers, knows their load, and reuses its connections
 * from step to step. When the owner doesn't respond, the entry that received
 * the call takes the batch over by a conditional update of the batch's
 * metadata. */
class batch_service
{
public:
  explicit batch_service(service_dependencies aDependencies);

  /** Applies a complete listing of the stored batch metadata. */
  void TakeListing(
    const std::map<std::string, objects::stored_object>& aListing);
  void TakeEvent(const objects::object_event& aEvent);
  /** Handles a submission from a trainer. The batch is accepted by its
   * designated owner, or by this entry if the designated owner can't be
   * reached. */
  void Submit(const edge::exchange_ptr& aExchange,
              const submission_origin& aOrigin,
              submission aSubmission);
  /** Handles a submission that another entry forwarded because this entry is
   * the designated owner. */
  void SubmitLocally(const edge::exchange_ptr& aExchange,
                     const submission_origin& aOrigin,
                     submission aSubmission);
  void Serve(const edge::exchange_ptr& aExchange, const batch_call& aCall);
  /** Tells whether the customer has such a batch at the host.
   * @param aMayBeNew whether the batch may have been accepted a moment ago, so
   * that the store has to be asked for one that isn't known here */
  void Identify(const std::string& aBatchId,
                const submission_origin& aOrigin,
                bool aMayBeNew,
                std::function<void(batch_presence)> aDone);
  /** Metadata of all batches that this entry knows. */
  std::vector<batch_metadata> ListBatches() const;
  /** Names of the entries that run batches, as known here. */
  std::set<std::string> OwnersOfOpenBatches() const;
  /** Handles a call that another entry forwarded. */
  void ServePeer(const edge::exchange_ptr& aExchange);
  void AddResult(const std::string& aBatchId, item_result aResult);
  /** Stores the runs that the runner counts, without delay. */
  void StoreRuns(const std::string& aBatchId);
  /** Refuses new batches from now on, and calls that other entries would
   * answer too late; running batches continue. */
  void StopAccepting(time_point aAnswersUntil)
  {
    mIsShuttingDown = true;
    mAnswersUntil = aAnswersUntil;
  }
  /** Answers the reads that wait for results with what there is. */
  void AnswerWaitingReads();
  /** Number of batches of this entry that have items without a listed result.
   */
  std::size_t OpenBatches() const;
  /** Memory of the items of all batches, in bytes. */
  std::size_t ItemBytes() const { return *mItemBytes; }
  /** Makes another entry the owner of each open batch. The new owner continues
   * after the listed results and stored texts. */
  void HandOver();

private:
  struct admission;
  struct pending_submission;
  /** Outcome of an earlier attempt to forward the submission to another entry.
   */
  enum class prior_attempt
  {
    None,
    MayHaveBeenAccepted
  };

  void AssignOwner(const batch_ptr& aBatch, const std::string& aOwner);
  /** Asks another entry to take over a batch whose results this entry can't
   * store. */
  void OfferBatch(const batch_ptr& aBatch);
  void HandleOffer(const edge::exchange_ptr& aExchange,
                   const batch_call& aCall);
  /** Whether this entry should take on no more batches. */
  bool IsUnableToOwn() const
  {
    return mIsShuttingDown || !mDependencies.mCanReachStore();
  }
  std::optional<std::string> DesignatedOwner(
    const batch_affiliation& aBatch) const;
  /** Whether this entry lies in a region where the batch may be processed, or
   * no other entry does. */
  bool IsAllowedHere(const batch_affiliation& aBatch) const;
  /** Another entry and its address for forwarded calls. */
  struct peer_entry
  {
    std::string mName;
    edge::endpoint mAddress;
  };

  /** The designated owner, or none if that is this entry, if there is no
   * candidate or if its address is unknown. */
  std::optional<peer_entry> DesignatedPeer(
    const batch_affiliation& aBatch) const;
  /** Whether a call that may take that long is answered before the process
   * ends. */
  bool HasTimeFor(milliseconds aTime) const;
  /** Time for which a read may wait at another entry. */
  milliseconds WaitAtPeer(const batch_call& aCall) const;
  /** Sends a request to another entry; the response is at most a few kB. */
  void CallPeer(const edge::endpoint& aPeer,
                const edge::request& aRequest,
                milliseconds aTimeout,
                edge::whole_answer aDone);
  bool RespondIfKnown(const edge::exchange_ptr& aExchange,
                      const submission_origin& aOrigin,
                      const std::string& aBatchId);
  /** Forwards a submission to its designated owner, or admits it in this entry.
   */
  /** Counts the memory of the items, or refuses the submission if there is none
   * left for it. */
  bool HasRoomFor(const edge::exchange_ptr& aExchange, submission& aSubmission);
  void CountItems(submission& aSubmission) const;
  void ForwardOrAdmit(const std::shared_ptr<pending_submission>& aPending);
  void ForwardSubmission(const std::shared_ptr<pending_submission>& aPending,
                         const peer_entry& aOwner);
  void Admit(const edge::exchange_ptr& aExchange,
             const submission_origin& aOrigin,
             submission aSubmission,
             prior_attempt aPriorAttempt);

  void ApplyMetadata(const batch_metadata& aMetadata);
  /** Counts the runs of an ended batch in the running batches that hold the
   * same items. */
  void ApplyCountedRuns(const batch_metadata& aEnded);
  /** Runs of the batch's items that count from earlier batches. */
  std::vector<run_record> CarriedRunsOf(const batch_record& aBatch) const;
  void RemoveBatch(const std::string& aBatchId);
  void LoadOwnedBatches();
  bool IsOwnedHere(const batch_ptr& aBatch) const;
  /** Refuses a batch that no entry could ever store. */
  void RefuseTooLarge(const admission& aAdmission);
  void WriteItems(const std::shared_ptr<admission>& aAdmission,
                  std::size_t aPart);
  void WriteMetadata(const std::shared_ptr<admission>& aAdmission);
  void HandleMetadataResponse(const std::shared_ptr<admission>& aAdmission,
                              const objects::object_reply& aResponse);
  void ApplyExistingMetadata(const std::shared_ptr<admission>& aAdmission,
                             const batch_metadata& aMetadata);
  void Accept(const std::shared_ptr<admission>& aAdmission);
  void FailAdmission(const std::shared_ptr<admission>& aAdmission,
                     const char* aReason);

  void FindBatch(const std::string& aBatchId,
                 std::function<void(batch_ptr, objects::store_outcome)> aDone);
  void ServeBatch(const edge::exchange_ptr& aExchange,
                  const batch_call& aCall,
                  const batch_ptr& aBatch);
  void ServeOwned(const edge::exchange_ptr& aExchange,
                  const batch_call& aCall,
                  const batch_ptr& aBatch);
  void ForwardCall(const edge::exchange_ptr& aExchange,
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
  /** Whether another entry may have listed results that this entry, the current
   * owner, doesn't know of. */
  bool MayLackResults(const batch_record& aBatch) const;
  /** Reads and applies the blocks that other entries have listed. The argument
   * of the callback is true if the log is certainly complete. */
  void ReadMissingBlocks(const batch_ptr& aBatch,
                         std::function<void(bool)> aDone);
  void RespondWithPage(const edge::exchange_ptr& aExchange,
                       const batch_call& aCall,
                       const batch_ptr& aBatch);
  void ReadItem(const edge::exchange_ptr& aExchange,
                const batch_call& aCall,
                const batch_ptr& aBatch);
  void End(const edge::exchange_ptr& aExchange, const batch_ptr& aBatch);
  void WriteEnd(const batch_ptr& aBatch, int aTriesLeft);
  void AnswerEndWaiters(const batch_ptr& aBatch, unsigned aStatus);
  /** Cancels the runs of a batch that a trainer has ended, and keeps which of
   * them count for later batches. */
  void StopRuns(const batch_ptr& aBatch);
  /** The same once it is known which runs of earlier owners count. */
  void StopRunsOnceChecked(const batch_ptr& aBatch,
                           int aTriesLeft,
                           std::function<void()> aDone);
  /** The metadata, with the runs that counted here. */
  static batch_metadata WithCountedRuns(const batch_record& aBatch);
  /** Tries again later to end a batch whose end the store doesn't hold. */
  void ScheduleEnd(const batch_ptr& aBatch);
  void ContinueEnd(const batch_ptr& aBatch);

  void Load(const batch_ptr& aBatch, std::function<void(bool)> aDone);
  void StartLoad(const batch_ptr& aBatch);
  void LoadItems(const batch_ptr& aBatch,
                 std::shared_ptr<submission> aLoaded,
                 int aPart);
  void LoadResults(const batch_ptr& aBatch);
  void FinishLoad(const batch_ptr& aBatch, bool aIsLoaded);
  void NotifyLoadWaiters(const batch_ptr& aBatch);
  /** Wraps a callback so that it is called only if the batch's log hasn't been
   * discarded since. */
  objects::object_done IfSameGeneration(const batch_ptr& aBatch,
                                        objects::object_done aDone);
  void Run(const batch_ptr& aBatch);
  /** Whether no process has run the batch, whose log is loaded: this process
   * accepted it without the store's answer. */
  bool IsFirstOwner(const batch_record& aBatch) const;
  /** Whether an entry other than this one may have owned the batch. */
  bool HadOtherOwner(const batch_record& aBatch) const;
  void Unload(const batch_ptr& aBatch);

  /** Stores the texts of long runs periodically while the batch runs. */
  void ScheduleSave(const batch_ptr& aBatch);
  /** Stores all text that the runs have generated, then calls the function
   * exactly once, whether or not the write succeeded. */
  void SaveTexts(const batch_ptr& aBatch,
                 int aTriesLeft,
                 std::function<void()> aDone);
  /** What is to be stored now, as far as it fits into a block; an empty block
   * if nothing is to be stored yet. */
  result_block NextBlock(const batch_ptr& aBatch,
                         milliseconds aMinimumUnsavedTime) const;
  /** Largest block of the batch, in bytes. */
  std::size_t BlockBytes(const batch_record& aBatch) const;
  /** Makes the next blocks smaller than one that the store never takes. */
  void HandleTooLarge(const batch_ptr& aBatch, const result_block& aBlock);
  void CommitBlock(const batch_ptr& aBatch,
                   milliseconds aMinimumUnsavedTime,
                   std::function<void()> aDone);
  void ScheduleCommit(const batch_ptr& aBatch, milliseconds aDelay);
  /** Schedules the write of results that arrived during the previous write. */
  void ScheduleNextCommit(const batch_ptr& aBatch);
  void Commit(const batch_ptr& aBatch);
  void HandleWriteResponse(const batch_ptr& aBatch,
                           const result_block& aBlock,
                           objects::store_outcome aOutcome);
  /** Reads the block that a write without a usable response should have
   * created, again and again until the store answers: a call that a silent
   * store left open tells nothing of its return. */
  void ReadBackCommit(const batch_ptr& aBatch);
  void HandleReadBack(const batch_ptr& aBatch,
                      const objects::object_reply& aResponse);
  void ApplyListedBlock(const batch_ptr& aBatch, const result_block& aBlock);
  void After(milliseconds aDelay, std::function<void()> aAction);

  service_dependencies mDependencies;
  /** Outlives the batches, which count there. */
  std::shared_ptr<std::size_t> mItemBytes = std::make_shared<std::size_t>(0);
  std::map<std::string, batch_ptr> mBatches;
  /** Entries that recently failed to accept a batch, and until when they are
   * avoided. */
  std::map<std::string, time_point> mAvoidedUntil;
  bool mIsShuttingDown = false;
  /** Time until which answers are sent; none unless the process is to stop. */
  std::optional<time_point> mAnswersUntil;
  /** Tells this process from earlier ones of the same entry. */
  std::string mProcessName = MakeRandomName();
  /** Whether all stored batches are known. */
  bool mHasListing = false;
};

} // namespace lavender::batches
