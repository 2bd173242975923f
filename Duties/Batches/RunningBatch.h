#pragma once

#include "Duties/Batches/Batch.h"
#include "Duties/Batches/ErrorCount.h"
#include "Duties/Batches/GeneratedText.h"
#include "Duties/Batches/GroupProgress.h"
#include "Duties/Batches/OwnerTerm.h"
#include "Duties/Batches/RewardAttempts.h"
#include "Duties/Batches/RunLedger.h"
#include "Duties/Batches/WaitReason.h"
#include "Duties/Scheduling/RunLength.h"
#include "Duties/Scheduling/StepOrder.h"
#include "Duties/Site/SiteConfiguration.h"
#include "Libraries/Edge/Caller.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

/** A batch that this entry is running, and the state of its items. */
namespace lavender::batches {

enum class item_phase
{
  Waiting,
  /** A server is chosen; the run starts once the store holds that. */
  Reserved,
  Running,
  /** The text is complete and the reward call is in progress. */
  Scoring,
  Ended
};

enum class item_end
{
  Completed,
  GivenUp
};

/** A move of a run that waits until the store holds where it leads. */
struct pending_move
{
  site::server_start mTo;
  double mEventsLeft = 0;
  milliseconds mGain{ 0 };
};

/** Run-time state of one item, including the text generated so far. */
struct item_progress
{
  const batch_item* mItem = nullptr;
  item_phase mPhase = item_phase::Waiting;
  generated_text mGenerated;
  save_mark mSaved;
  /** Time of the oldest event that isn't stored yet. */
  std::optional<time_point> mUnsavedSince;
  /** Runs that a server executed and ended with a 5xx status. */
  error_count mErrors;
  /** Server of the current or most recent run. */
  std::string mServer;
  /** Start time of that server when the run was sent. */
  std::int64_t mServerStartedAt = 0;
  edge::endpoint mServerAddress;
  /** Servers that ended or may have ended under its runs and reward calls. */
  run_ledger mLedger;
  /** How suspect the item was when its current run was sent. */
  suspicion mSuspicion = suspicion::None;
  /** Whether the current run was stored as one that counts before it was sent.
   */
  bool mIsRunStored = false;
  /** Server at which this owner planned the next run. */
  std::optional<site::server_start> mPlanned;
  /** Since when the next run waits for its place to be stored. */
  time_point mReservedAt;
  /** Whether an earlier owner may have sent a run that it didn't store. */
  bool mMayHaveRunUnstored = false;
  /** Whether an end that this owner or an earlier one of this batch assumed may
   * be revised. */
  bool mMayReviseAssumedEnd = false;
  /** Where the current run moves once the store places it there too. */
  std::optional<pending_move> mMove;
  /** Servers whose first answer to a check is awaited. */
  std::set<site::server_start> mAwaited;
  /** Servers whose fate will be told. */
  std::set<site::server_start> mChecked;
  /** Servers with runs that this owner doesn't see, and until when they may
   * have ended under such a run: runs that were moved away, and runs of an
   * earlier owner, who may live and learn late that it lost the batch. */
  std::map<site::server_start, time_point> mEarlierRuns;
  bool mIsBarred = false;
  /** None while the item is at a server. */
  std::optional<item_wait> mWait;
  /** Since when other suspects have kept it from servers with room; none while
   * the item is at a server. */
  std::optional<time_point> mApartSince;
  std::string mAvoidedServer;
  edge::call_handle mCall;
  /** Number of the reward call in progress; 0 if there is none. */
  std::uint64_t mRewardCall = 0;
  reward_attempts mRewardAttempts;
  /** Time of the start of the current or most recent run. */
  time_point mSentAt;
  /** Time of the last event, or of the start of the run. */
  time_point mLastEventAt;
  int mMoves = 0;
  /** Estimate of what is left of the item, made when it had mEstimatedAt
   * events; none before the first estimate. */
  std::optional<scheduling::remaining_events> mLeft;
  int mEstimatedAt = 0;
  /** When the current run is expected to have ended at the latest. */
  time_point mExpectedEnd;
  /** Number of the current run or reward call; callbacks of earlier ones carry
   * another number and are ignored. 0 while there is none. */
  std::uint64_t mRunNumber = 0;
};

/** Server of the item's current or most recent run. */
site::server_start
ServerOf(const item_progress& aItem);

/** A batch that this entry is running. */
struct running_batch
{
  batch_metadata mMetadata;
  std::shared_ptr<const submission> mSubmission;
  std::vector<item_progress> mItems;
  /** Group of each item, by its place in the order of submission. */
  std::vector<std::size_t> mGroupOf;
  std::size_t mGroupCount = 0;
  /** Standing of each group at the last dispatch. */
  std::vector<scheduling::group_standing> mStandings;
  /** Groups that were deferred once; only the first time is logged. */
  std::vector<bool> mWasDeferred;
  group_progress mGroups;
  owner_term mTerm;
  /** Answers to the checks of an earlier term carry another number. */
  std::uint64_t mTermNumber = 0;
  bool mHasAskedServers = false;
  /** Whether another entry has owned the batch, and may not know yet that it
   * doesn't any more. */
  bool mHadOtherOwner = true;
  bool mIsEndAsked = false;
  /** Whether a server waits for being listed. */
  bool mLacksServers = false;
  /** Whether the batch may use each server of the dispatch in progress. */
  std::vector<bool> mListedEngines;
  /** Pools of the items' and reward calls' routes, by mPoolsFrom. */
  std::set<std::string> mPools;
  std::shared_ptr<const site::site_configuration> mPoolsFrom;
  /** When the runs of the items were planned at its acceptance. */
  std::optional<time_point> mPlannedAt;
  /** When runs of waiting items were planned last. */
  time_point mReplannedAt;
};

/** The state of a batch none of whose items runs.
 * @param aHasResult items for which it returns true have ended */
running_batch
MakeRunningBatch(const batch_metadata& aMetadata,
                 std::shared_ptr<const submission> aSubmission,
                 const std::function<bool(const std::string&)>& aHasResult);

} // namespace lavender::batches
