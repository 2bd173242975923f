#pragma once

#include "Duties/Batches/EngineHealth.h"
#include "Duties/Batches/EventStream.h"
#include "Duties/Batches/RecentEnds.h"
#include "Duties/Batches/RunMoves.h"
#include "Duties/Batches/RunningBatch.h"
#include "Duties/Batches/Schedule.h"
#include "Duties/Rewards/RewardCaller.h"
#include "Duties/Site/SendLimits.h"
#include "Duties/Site/ServerChecks.h"
#include "Duties/Site/ServerLoads.h"
#include "Duties/Site/ServerProtocol.h"
#include "Duties/Site/SiteConfiguration.h"
#include "Libraries/Metrics/Metrics.h"

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <set>

namespace lavender::batches {

/** Time within which an owner that can't reach the store learns that another
 * entry has its batch, or its runs end. */
constexpr milliseconds kUnnoticedLossTime{ 10000 };
/** A server drops a run within this time after its sender has closed the
 * connection or died. */
constexpr milliseconds kDropTime{ 500 };
/** Results must be listed and read before a step is due. */
constexpr milliseconds kListingTime{ 500 };

struct runner_dependencies
{
  boost::asio::io_context& mLoop;
  edge::client_pool& mClients;
  const site::exchange_protocol& mProtocol;
  const site::server_directory& mDirectory;
  const site::configuration_ptr& mConfiguration;
  site::send_limits& mLimits;
  site::server_loads& mLoads;
  metrics::registry& mMetrics;
  rewards::reward_client& mRewards;
  site::server_checks& mChecks;
  std::function<void(const std::string& aBatchId, item_result)> mOnResult;
  /** Asks that the unstored runs of a batch be stored without delay. */
  std::function<void(const std::string& aBatchId)> mStoreRuns;
  /** Name of this entry. */
  std::string mName;
  /** Maximum size of a text as it is written, in bytes. */
  std::size_t mMaximumTextBytes = kMaximumTextBytes;
};

/** What earlier owners stored of the items of a batch. */
struct stored_progress
{
  stored_texts mTexts;
  std::vector<run_record> mRuns;
  std::vector<error_record> mErrors;
  /** Number of owners after the first one that may have sent items. */
  int mTermsBegun = 0;
  /** Runs that count from earlier batches with the same items. */
  std::vector<run_record> mCarriedRuns;
  /** Servers that earlier owners may have used, or that the first one may use.
   */
  server_list mServers;
  /** Whether no other owner had the batch. */
  bool mIsFirstOwner = false;
  /** Whether another entry had it, and not only earlier processes of this one.
   */
  bool mHadOtherOwner = true;
  /** Whether a trainer has ended the batch, so that no item is sent. */
  bool mIsEndAsked = false;
};

/** Schedules and runs the items of the batches that this entry owns. */
class batch_runner
{
public:
  explicit batch_runner(runner_dependencies aDependencies);

  /** Adds a batch and starts its items.
   * @param aHasResult items for which it returns true aren't run
   * @param aStored each item resumes after its stored text, and the servers
   * that ended under it count on */
  void Add(const batch_metadata& aMetadata,
           std::shared_ptr<const submission> aSubmission,
           const std::function<bool(const std::string&)>& aHasResult,
           stored_progress aStored);
  /** Plans where the first runs of a batch's items go, as far as these are
   * known in advance. Once that is stored with the items, the runs may be sent
   * there without a write for each of them, also while the store is away. */
  void PlanRuns(const batch_metadata& aMetadata,
                const std::shared_ptr<submission>& aSubmission);
  /** Returns the parts of the texts that have been unsaved for longer than the
   * given time.
   * @param aMaximumBytes limit on the total size of the returned texts as they
   * are written, in bytes */
  std::vector<text_part> UnsavedParts(const std::string& aBatchId,
                                      milliseconds aMinimumUnsavedTime,
                                      std::size_t aMaximumBytes) const;
  /** Records that the store holds these parts. */
  void MarkPartsSaved(const std::string& aBatchId,
                      const std::vector<text_part>& aParts);
  /** Called when it is unknown which parts the store holds. The next parts
   * start from the beginning of each text. */
  void MarkAllUnsaved(const std::string& aBatchId);
  /** Runs whose servers ended or may have ended and that the store doesn't
   * hold. */
  std::vector<run_record> UnstoredRuns(const std::string& aBatchId) const;
  /** Runs that count for later batches with the same items. */
  std::vector<item_run> CountedRuns(const std::string& aBatchId) const;
  /** Whether it isn't known yet which runs of earlier owners count. */
  bool IsChecking(const std::string& aBatchId) const;
  /** Unstored runs for a block that is about to be written, with the servers of
   * runs that are planned or were sent unstored. */
  std::vector<run_record> RunsForBlock(const std::string& aBatchId);
  /** Records that a write of these runs has begun. */
  void MarkRunsWritten(const std::string& aBatchId,
                       const std::vector<run_record>& aRecords);
  /** Whether an item waits for its runs or errors to be stored. */
  bool HasRunsToStore(const std::string& aBatchId) const;
  /** Errors of items, for a block that is about to be written. */
  std::vector<error_record> UnstoredErrors(const std::string& aBatchId) const;
  /** @param aIsOwn whether this entry wrote them since it loaded the batch */
  void ApplyStoredErrors(const std::string& aBatchId,
                         const std::vector<error_record>& aRecords,
                         bool aIsOwn);
  /** Applies runs that the store holds, written by this entry or by another
   * one. */
  void ApplyStoredRuns(const std::string& aBatchId,
                       const std::vector<run_record>& aRecords);
  /** Counts runs of an earlier batch with the same items. */
  void ApplyCarriedRuns(const std::string& aBatchId,
                        const std::vector<run_record>& aRecords);
  /** Servers that the items and reward calls of a submission may use now. */
  server_list UsableServers(const std::string& aHost,
                            const submission& aSubmission) const;
  /** What the store lacks of the batch's list of servers. */
  server_list_change UnstoredServers(const std::string& aBatchId) const;
  /** Records that a write of the change has begun. */
  void MarkServersWritten(const std::string& aBatchId,
                          const server_list_change& aChange);
  /** Whether items wait for the list to be stored. */
  bool HasServersToStore(const std::string& aBatchId) const;
  /** @param aIsOwn whether this entry wrote the change since it loaded the
   * batch */
  void ApplyStoredServers(const std::string& aBatchId,
                          const server_list_change& aChange,
                          bool aIsOwn);
  /** Cancels all runs of a batch that has ended or that another entry owns now.
   */
  void Remove(const std::string& aBatchId);
  /** Marks items as ended whose results another entry has listed, and cancels
   * their runs. */
  void MarkListed(const std::string& aBatchId,
                  const std::vector<std::string>& aItemIds);
  /** Time until all results of a running batch are due; negative once they are
   * overdue. */
  milliseconds DueIn(const std::string& aBatchId) const;
  /** Schedules a dispatch of waiting items. Called when servers or the
   * configuration have changed. */
  void Dispatch();
  /** Learns speeds of servers that another entry tells. */
  void LearnSpeeds(const batch_metadata& aMetadata);
  /** Speeds of servers that are worth telling to other entries. */
  std::vector<scheduling::told_speed> MeasuredSpeeds() const;
  /** Median with which those speeds are compared; zero if unknown. */
  scheduling::event_time MedianOfSpeeds() const;
  /** Expected tokens of the items that a usual server finishes after they are
   * due with a probability above a tenth. */
  std::int64_t LongItemTokens(const submission& aSubmission,
                              const std::string& aHost) const;
  /** Number of this entry's runs on a server. */
  int RunsOn(const std::string& aServer) const;
  /** Number of servers for which the runner holds state. */
  std::size_t KnownServers() const;

private:
  struct run_ref
  {
    std::string mBatchId;
    std::size_t mIndex = 0;
    std::uint64_t mRunNumber = 0;
  };
  struct run_state;
  /** What the end of a run means for its item. */
  struct run_verdict
  {
    enum class next
    {
      /** The item runs again. */
      Again,
      /** Its text is whole. */
      Finish,
      GiveUp
    };

    /** As logged. */
    const char* mOutcome = "";
    next mNext = next::Again;
  };

  item_progress* Find(const run_ref& aRef);
  std::shared_ptr<const site::route> RouteOf(const running_batch& aBatch,
                                             const batch_item& aItem) const;
  std::vector<engine_view> Engines() const;
  item_requirements RequirementsOf(const running_batch& aBatch,
                                   item_progress& aItem,
                                   const site::route& aRoute);
  void DispatchNow();
  struct waiting_item
  {
    item_priority mRank;
    running_batch* mBatch;
    std::size_t mIndex;
  };
  /** Items that may be sent, in the order of their ranks. */
  std::vector<waiting_item> SendableItems(
    const std::vector<engine_view>& aEngines,
    time_point aNow);
  /** What is common to the placements of one dispatch. */
  struct dispatch_round
  {
    std::vector<engine_view> mEngines;
    suspect_counts mSuspects;
    std::size_t mYoungServers = 0;
    time_point mNow;
  };
  /** Sends an item that may be sent, if a server may take it now.
   * @return why the item wasn't sent, if it wasn't; the reason that needs a
   * search is told only if the waits are reported in this round */
  std::optional<wait_reason> PlaceItem(const waiting_item& aNext,
                                       dispatch_round& aRound);
  /** What keeps the item from each server, whichever it is. */
  static std::optional<wait_reason> WaitReasonOf(const running_batch& aBatch,
                                                 const item_progress& aItem);
  /** Counts that the item waits, and logs it if it has waited for long. */
  void RecordWait(const running_batch& aBatch,
                  item_progress& aItem,
                  wait_reason aReason,
                  time_point aNow);
  /** The same for an item whose reward call is in progress.
   * @return why it waits, if it does */
  std::optional<wait_reason> RecordRewardWait(const running_batch& aBatch,
                                              item_progress& aItem,
                                              time_point aNow);
  /** Publishes the waits of a round in which they are reported. */
  void PublishWaits(time_point aNow);
  /** The server that the item gets now, if any: the planned one if that is
   * about as good as the best. */
  std::optional<std::size_t> ChooseServer(const running_batch& aBatch,
                                          const item_progress& aItem,
                                          const item_requirements& aNeed,
                                          const dispatch_round& aRound) const;
  /** The server where the item's run is planned, if it may be sent there now.
   */
  static std::optional<std::size_t> PlannedEngine(
    const item_progress& aItem,
    const item_requirements& aNeed,
    const dispatch_round& aRound);
  /** Whether the server of the item's plan still serves. */
  bool IsPlanUsable(const item_progress& aItem, time_point aNow) const;
  /** Sends an item, or has the run stored first. */
  void SendItem(running_batch& aBatch,
                std::size_t aIndex,
                engine_view& aEngine,
                const site::route& aRoute);
  /** Sends an item under which no server ended, once the store holds that it
   * may be at the server. */
  void SendPlaced(running_batch& aBatch,
                  std::size_t aIndex,
                  const engine_view& aEngine,
                  const site::route& aRoute);
  /** Takes over the servers that were planned when the batch was accepted. */
  static void ApplyPlannedRuns(running_batch& aBatch, bool aIsFirstOwner);
  /** Plans the next runs of waiting items that have no usable plan. */
  void PlanWaitingItems(running_batch& aBatch);
  /** Forgets where the next run was planned, unless that is the server. */
  static void DropPlan(item_progress& aItem,
                       const site::server_start* aUnlessAt = nullptr);
  /** Plans one run, and counts it at its server. */
  std::optional<site::server_start> PlanRun(running_batch& aBatch,
                                            item_progress& aItem,
                                            std::vector<engine_view>& aEngines,
                                            group_affinities& aAffinities);
  /** The items of a new batch in the order in which they will be sent. */
  std::vector<std::size_t> OrderOfItems(
    running_batch& aBatch,
    const std::vector<engine_view>& aEngines);
  /** Whether the next run waits for its server to be stored, which doesn't
   * count. */
  static bool AwaitsPlace(const item_progress& aItem);
  /** Whether an item waits for the server of its next run to be stored. */
  bool HasPlacesToStore(const std::string& aBatchId) const;
  /** Frees servers that are kept for runs which a silent store holds up. */
  void ReleaseLatePlaces(time_point aNow);
  /** Ranks of a batch's groups, by batch. */
  using group_ranks = std::map<std::string, std::vector<std::size_t>>;
  /** Ranks the groups of all batches. Batches of a model compete with one
   * another only. */
  group_ranks GroupRanks(const std::vector<engine_view>& aEngines);
  void RankModel(const std::vector<running_batch*>& aBatches,
                 const std::vector<engine_view>& aEngines,
                 group_ranks& aRanks);
  struct run_time
  {
    std::chrono::duration<double> mMean{ 0 };
    /** Hardly any run ends within this time. A group is given up only if it
     * can't be in time even so: one that is given up by mistake is lost, one
     * that is kept by mistake costs places until the next decision. */
    std::chrono::duration<double> mLeast{ 0 };
  };
  /** Time that a run of the item will still take, at its server or at a usual
   * one. */
  run_time TimeLeftOf(const running_batch& aBatch,
                      item_progress& aItem,
                      scheduling::event_time aUsual,
                      scheduling::event_time aFastest);
  /** @param aUsual time of an event on a usual server
   * @param aFastest time of an event on the fastest server */
  scheduling::open_step StepOf(running_batch& aBatch,
                               scheduling::event_time aUsual,
                               scheduling::event_time aFastest);
  void RecordStandings(running_batch& aBatch,
                       const scheduling::open_step& aStep,
                       const std::vector<scheduling::ranked_group>& aRanks);
  /** Events left of the longest waiting item. */
  double LongestWaiting();
  /** The same as DueIn of a batch that runs. */
  milliseconds DueIn(const running_batch& aBatch) const;
  /** Removes the state of servers that are gone from the directory and of old
   * groups. Restarted servers mostly have a new name, so the state would grow
   * without bound. */
  void RemoveStaleState();
  /** Removes what was learned of servers that are gone or have started again
   * since. */
  void ForgetOldSpeeds();
  /** The pool of model servers that the route's items run on; null if none. */
  const site::engine_pool* EnginePoolOf(const site::route& aRoute) const;
  /** Length that the item's hint makes expected, in events. */
  double HintedEvents(const batch_item& aItem, const site::route& aRoute) const;
  /** What is known of the lengths of the model's items. */
  scheduling::length_statistics LengthsOf(const std::string& aModel) const;
  /** Returns the estimate of what is left of the item. Renews it when the item
   * has grown since the last one. */
  scheduling::remaining_events EventsLeft(const running_batch& aBatch,
                                          item_progress& aItem,
                                          const site::route& aRoute);
  /** Memory that the item's run occupies on its server. */
  scheduling::run_memory MemoryOf(const running_batch& aBatch,
                                  item_progress& aItem,
                                  const site::route& aRoute);
  /** Fills in what the runs of this entry occupy of the servers' memory. */
  void AddRunMemory(std::vector<engine_view>& aEngines);
  /** Time of an event on a server of median speed; an assumption while no
   * speed is known. */
  scheduling::event_time UsualEventTime() const;
  /** Moves runs to servers that end them clearly sooner.
   * @param aMinimumEvents runs with fewer events left stay */
  void MoveRuns(std::vector<engine_view>& aEngines,
                double aMinimumEvents,
                time_point aNow);
  std::vector<movable_run> MovableRuns(
    const std::vector<engine_view>& aEngines,
    std::vector<std::pair<running_batch*, std::size_t>>& aItems);
  void RecordEstimate(const item_progress& aItem) const;
  void ScheduleDispatch();
  /** Whether a run waits for its move until the store holds it. */
  bool HasMovesToStore(const std::string& aBatchId) const;
  /** Whether an item that failed waits for that to be stored. */
  bool HasErrorsToStore(const std::string& aBatchId) const;
  /** Asks that the store place the run at the other server too. */
  void RequestMove(running_batch& aBatch,
                   item_progress& aItem,
                   pending_move aMove);
  /** Asks the server that the run is moved away from whether it lives, so that
   * it counts as one that may have ended no longer than it must. */
  void CheckMovedFrom(const running_batch& aBatch, std::size_t aIndex);
  void HandleMovedFate(running_batch& aBatch,
                       std::size_t aIndex,
                       const site::server_start& aServer,
                       site::server_fate aFate);
  /** Carries out the moves that the store holds. */
  void StartMoves(running_batch& aBatch);
  void MoveRun(running_batch& aBatch,
               std::size_t aIndex,
               const engine_view& aEngine);
  /** The run stays where it is, or is over. */
  static void CancelMove(item_progress& aItem);
  void GiveUpItems(running_batch& aBatch);
  void StartRun(running_batch& aBatch,
                std::size_t aIndex,
                const engine_view& aEngine,
                const site::route& aRoute);
  void HandleEvent(const run_ref& aRef,
                   const std::shared_ptr<run_state>& aRun,
                   stream_event&& aEvent);
  /** Adds what a response's body holds to the item's text. */
  void HandleBody(const run_ref& aRef,
                  const std::shared_ptr<run_state>& aRun,
                  std::string_view aPiece);
  /** Closes the connection of a run whose response is of no use. */
  void AbandonRun(const run_ref& aRef, const std::shared_ptr<run_state>& aRun);
  void HandleRunEnd(const run_ref& aRef,
                    const std::shared_ptr<run_state>& aRun,
                    edge::call_end aEnd);
  /** Counts a run that is over, if its server may have ended under it. */
  void CountRun(running_batch& aBatch,
                std::size_t aIndex,
                const run_state& aRun,
                edge::call_end aEnd);
  /** Decides what follows for the item, and what its server gets next.
   * @param aRoute may be null */
  run_verdict JudgeRun(item_progress& aItem,
                       const run_state& aRun,
                       edge::call_end aEnd,
                       const site::route* aRoute);
  static void DiscardText(item_progress& aItem);
  void RecordRunEnd(const item_progress& aItem, bool aIsFailure);
  /** Records that a run has ended. If it was a server's probe run, the server
   * may get another probe. */
  void EndProbe(const std::string& aServer, std::uint64_t aRun);
  void StopRun(item_progress& aItem);
  /** Called when the item's text is complete. Starts the reward call if the
   * item has one, and finishes the item otherwise. */
  void ScoreOrFinishItem(running_batch& aBatch, std::size_t aIndex);
  /** Number of items without a result in the item's group. */
  int OpenItemsInGroup(const run_ref& aRef) const;
  /** Whether an attempt of the item's reward call may be sent now. Releases a
   * reserved server that has left or is silent, and that of a barred item. */
  bool MaySendReward(const running_batch& aBatch, item_progress& aItem);
  /** Whether a reserved server may still get the call. */
  bool MayReserve(const site::server_start& aServer) const;
  /** Stores the attempt if a server has ended under the item. Returns whether
   * it may be sent now. */
  bool ReserveReward(const std::string& aBatchId,
                     item_progress& aItem,
                     const site::server_start& aServer);
  void RestoreTexts(running_batch& aBatch, stored_texts aStored);
  void HandleScore(const run_ref& aRef, std::optional<std::string> aScore);
  void MarkEnded(running_batch& aBatch, item_progress& aItem);
  void FinishItem(running_batch& aBatch,
                  item_progress& aItem,
                  item_end aEnd,
                  std::optional<std::string> aScore = std::nullopt);
  void BlockServer(const std::string& aServer, milliseconds aDelay);
  /** None if it is known and stored how many servers ended under the item, and
   * one more may run it. */
  static std::optional<wait_reason> UnsettledCount(const item_progress& aItem);
  static suspicion CurrentSuspicion(const item_progress& aItem);
  /** Keeps runs from a server that has ended and is still listed. */
  void RecordGone(const site::server_start& aServer);
  bool IsGone(const site::server_start& aServer, time_point aNow) const;
  /** Fills in the suspects that run on the servers and the runs that are
   * reserved there. */
  suspect_counts AddSuspects(std::vector<engine_view>& aEngines) const;
  /** Whether the server answered within the time; asks it otherwise. A run that
   * is stored for a server that has ended would count though it never began. */
  bool IsKnownToRun(const std::string& aServer,
                    milliseconds aWithin,
                    time_point aNow);
  /** The latest event or start of a run at each server that has runs of this
   * entry. */
  std::map<site::server_start, time_point> LatestSigns() const;
  /** Stores that a suspect goes to a server, before it is sent there. */
  void ReserveRun(running_batch& aBatch,
                  std::size_t aIndex,
                  const engine_view& aEngine,
                  const site::route& aRoute);
  void StartReservedRuns(running_batch& aBatch);
  /** Counts the server of a run or reward call that was cut off until it is
   * known to live. */
  void CountCutOff(running_batch& aBatch,
                   std::size_t aIndex,
                   const site::server_start& aServer,
                   const edge::endpoint& aAddress);
  void CheckServer(running_batch& aBatch,
                   std::size_t aIndex,
                   const site::server_start& aServer,
                   const std::optional<edge::endpoint>& aAddress);
  /** Keeps runs from a server that took no connection, until it answers. */
  void CheckUnreachable(const item_progress& aItem);
  /** Checks the servers of runs that another owner left open.
   * @param aMayGoOn time for which these runs may go on */
  void CheckOpenRuns(running_batch& aBatch, milliseconds aMayGoOn);
  /** Time for which runs of earlier owners may go on: of one that is dead,
   * until its servers drop them; of another entry, until it learns of the
   * loss. */
  static milliseconds TimeOfEarlierRuns(const running_batch& aBatch);
  std::set<std::string> PoolsOf(const std::string& aHost,
                                const submission& aSubmission) const;
  void BeginLaterTerm(running_batch& aBatch, server_list aListed);
  /** Finds out whether the servers that earlier owners used still run. */
  void CheckListedServers(running_batch& aBatch);
  void HandleListedServer(const std::string& aBatchId,
                          std::uint64_t aTermNumber,
                          const site::server_start& aServer,
                          site::server_fate aFate);
  /** Counts what the owner of a new term assumes of the time before it. */
  void AssumeEnds(running_batch& aBatch);
  /** The same once a server that was silent has answered or has ended. */
  void ReviseAssumedEnds(running_batch& aBatch,
                         const site::server_start& aLastChecked);
  /** Whether the server didn't answer a check, or ended though it is listed. */
  bool MayHaveEnded(const site::server_start& aServer, time_point aNow) const;
  /** Whether the store lists a server that may have ended and whose ends are
   * counted: a next owner would assume ends that aren't missing. */
  bool HasServersToRemove(const running_batch& aBatch) const;
  /** Whether no run is at the server and no end there waits to be counted. */
  static bool AreEndsStored(const running_batch& aBatch,
                            const site::server_start& aServer);
  /** Counts the run or reward call of an item that became a suspect after it
   * was sent. */
  static void RecordUnstoredRun(item_progress& aItem);
  /** Whether the batch may use each of the servers; asks for those that it may
   * not use yet to be listed. */
  std::vector<bool> ListedEngines(running_batch& aBatch,
                                  const std::vector<engine_view>& aEngines);
  /** Counts servers that ended while an earlier owner's run may have been
   * there.
   */
  void CountEarlierRuns(running_batch& aBatch);
  void HandleFate(const std::string& aBatchId,
                  std::size_t aIndex,
                  const site::server_start& aServer,
                  site::server_fate aFate);
  static void LogRunThatSurvived(const running_batch& aBatch,
                                 const item_progress& aItem,
                                 const site::server_start& aServer);
  void LogCountedRun(const running_batch& aBatch,
                     item_progress& aItem,
                     const site::server_start& aServer,
                     site::server_fate aFate);
  void LogRunEnd(const item_progress& aItem,
                 const running_batch& aBatch,
                 const char* aOutcome,
                 edge::call_end aEnd,
                 unsigned aStatus);

  runner_dependencies mDependencies;
  std::map<std::string, running_batch> mBatches;
  std::map<std::string, int> mRunsByServer;
  std::map<std::string, time_point> mBlocked;
  /** Servers that rejected a run and haven't accepted one since. The value is
   * the number of the probe run in progress there, or 0 if there is none. */
  std::map<std::string, std::uint64_t> mProbes;
  /** Weights versions by server and model, as seen in responses. Newer than the
   * versions in the server directory. */
  std::map<std::string, std::map<std::string, std::int64_t>> mSeenVersions;
  engine_healths mHealths;
  scheduling::server_speeds mSpeeds;
  /** Start times of the listed servers. */
  std::map<std::string, std::int64_t> mStartTimes;
  /** Median event time that the latest batch of each model told. */
  std::map<std::string, scheduling::event_time> mToldMedians;
  scheduling::length_statistics_by_model mLengths;
  group_affinities mAffinities;
  recent_ends mRecentEnds;
  /** Servers that have ended though the directory lists them, and until when
   * they get no runs. The directory may be right about a server that was only
   * cut off. */
  std::map<site::server_start, time_point> mGone;
  /** Servers that were asked for a suspect whether they run, and when they
   * answered that they do; none while the answer is awaited. */
  std::map<site::server_start, std::optional<time_point>> mAskedServers;
  /** Until when no run waits for its server to be stored: the store is silent.
   */
  time_point mPlacesPausedUntil;
  boost::asio::steady_timer mTimer;
  /** Waits of the current round; none if they aren't reported in it. */
  std::optional<wait_counts> mWaits;
  /** Reasons that the gauges show. */
  wait_counts mPublishedWaits;
  time_point mWaitsReportedAt;
  int mWaitLines = 0;
  std::uint64_t mLastRunNumber = 0;
  bool mIsDispatchPosted = false;
};

} // namespace lavender::batches
