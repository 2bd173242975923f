#pragma once

#include "Duties/Batches/Batch.h"
#include "Duties/Batches/EngineHealth.h"
#include "Duties/Batches/EventStream.h"
#include "Duties/Batches/GroupProgress.h"
#include "Duties/Batches/MadeText.h"
#include "Duties/Batches/Schedule.h"
#include "Duties/Rewards/RewardCaller.h"
#include "Duties/Site/ServerProtocol.h"
#include "Duties/Site/SiteConfiguration.h"
#include "Libraries/Edge/Caller.h"
#include "Libraries/Metrics/Metrics.h"

#include <boost/asio/steady_timer.hpp>
#include <memory>

namespace lavender::batches {

enum class item_phase
{
  Waiting,
  Running,
  /** Its text is whole and waits for its score. */
  Scoring,
  Ended
};

enum class item_end
{
  Completed,
  GivenUp
};

/** One item on its way, with what its runs have made so far. */
struct item_progress
{
  const batch_item* mItem = nullptr;
  item_phase mPhase = item_phase::Waiting;
  generated_text mMade;
  save_mark mSaved;
  /** Since when the text has grown without being stored. */
  std::optional<time_point> mUnsavedSince;
  /** Answers with a server's own error. */
  int mErrors = 0;
  /** Server of the present or last run. */
  std::string mServer;
  std::string mAvoided;
  edge::call_handle mCall;
  /** Reward call under way; 0 for none. */
  std::uint64_t mReward = 0;
  /** Of the last event, or of the start. */
  time_point mLastSign;
  int mMoves = 0;
  /** Tells a run's late words from those of the next. */
  std::uint64_t mRun = 0;
};

/** A batch that this entry runs. */
struct running_batch
{
  batch_metadata mHead;
  std::shared_ptr<const submission> mSubmission;
  std::vector<item_progress> mItems;
  group_progress mGroups;
};

struct runner_dependencies
{
  boost::asio::io_context& mLoop;
  edge::client_pool& mClients;
  const site::exchange_protocol& mProtocol;
  const site::server_directory& mDirectory;
  const site::configuration_ptr& mConfiguration;
  metrics::registry& mMetrics;
  rewards::reward_client& mRewards;
  std::function<void(const std::string& aBatchId, item_result)> mOnResult;
};

/** Runs the items of the batches that this entry owns. */
class batch_runner
{
public:
  explicit batch_runner(runner_dependencies aParts);

  /** Starts the items for which the predicate has no result, each after what
   * is stored of its text. */
  void Add(const batch_metadata& aHead,
           std::shared_ptr<const submission> aSubmission,
           const std::function<bool(const std::string&)>& aHasResult,
           stored_texts aStored);
  /** Parts of texts that have grown for longer than that without being stored,
   * at most that many bytes. */
  std::vector<text_part> Unsaved(const std::string& aBatchId,
                                 milliseconds aLongerThan,
                                 std::size_t aMostBytes) const;
  /** The store holds these parts now. */
  void NoteSaved(const std::string& aBatchId,
                 const std::vector<text_part>& aParts);
  /** Nobody knows which parts the store holds: the next ones begin anew. */
  void ForgetSaved(const std::string& aBatchId);
  /** Cuts all runs of a batch that ended or that another entry runs now. */
  void Remove(const std::string& aBatchId);
  /** Results that another entry has listed need no run. */
  void TakeListed(const std::string& aBatchId,
                  const std::vector<std::string>& aItemIds);
  /** Time until all results of a batch that runs here are due. */
  milliseconds DueIn(const std::string& aBatchId) const;
  /** Servers or configuration have changed. */
  void Dispatch();
  /** Servers of which something is remembered. */
  std::size_t KnownServers() const;

private:
  struct place
  {
    std::string mBatchId;
    std::size_t mIndex = 0;
    std::uint64_t mRun = 0;
  };
  struct run_state;

  item_progress* Find(const place& aPlace);
  std::shared_ptr<const site::route> RouteOf(const running_batch& aBatch,
                                             const batch_item& aItem) const;
  std::vector<engine_view> Engines() const;
  static item_requirements NeedOf(const running_batch& aBatch,
                                  const item_progress& aItem,
                                  const site::route& aRoute);
  void DispatchNow();
  /** Drops what is known of servers and groups that are no more: servers mostly
   * start under a new name. */
  void ForgetGone();
  void MoveFromSlow(std::vector<engine_view>& aEngines, time_point aNow);
  void PlanLook();
  void GiveUpLate(running_batch& aBatch);
  void StartRun(running_batch& aBatch,
                std::size_t aIndex,
                const engine_view& aEngine,
                const site::route& aRoute);
  void TakeEvent(const place& aPlace,
                 const std::shared_ptr<run_state>& aRun,
                 stream_event&& aEvent);
  void TakeRunEnd(const place& aPlace,
                  const std::shared_ptr<run_state>& aRun,
                  edge::call_end aEnd);
  void NoteRunEnd(const item_progress& aItem, bool aIsFailure);
  /** A run is no longer under way: if it was a server's trial, another may be.
   */
  void EndTrial(const std::string& aServer, std::uint64_t aRun);
  void StopRun(item_progress& aItem);
  /** The item's text is whole: it is scored, or done where nothing scores it.
   */
  void TakeText(running_batch& aBatch, std::size_t aIndex);
  /** Items of the item's group without a result. */
  int OpenInGroup(const place& aPlace) const;
  void TakeStored(running_batch& aBatch, stored_texts aStored);
  void TakeScore(const place& aPlace, std::optional<std::string> aScore);
  void MarkEnded(running_batch& aBatch, item_progress& aItem);
  void FinishItem(running_batch& aBatch,
                  item_progress& aItem,
                  item_end aEnd,
                  std::optional<std::string> aScore = std::nullopt);
  void Block(const std::string& aServer, milliseconds aPause);
  void LogRunEnd(const item_progress& aItem,
                 const running_batch& aBatch,
                 const char* aOutcome,
                 edge::call_end aEnd,
                 unsigned aStatus);

  runner_dependencies mParts;
  std::map<std::string, running_batch> mBatches;
  std::map<std::string, int> mRunsByServer;
  std::map<std::string, time_point> mBlocked;
  /** Servers that turned a run away and haven't taken one since, with the run
   * that tries whether they do again; 0 while none does. */
  std::map<std::string, std::uint64_t> mTrials;
  /** Versions seen in answers: fresher than the servers' own entries. */
  std::map<std::string, std::map<std::string, std::int64_t>> mSeenVersions;
  engine_healths mHealths;
  group_affinities mHomes;
  boost::asio::steady_timer mTimer;
  std::uint64_t mRuns = 0;
  bool mIsDispatchPosted = false;
};

} // namespace lavender::batches
