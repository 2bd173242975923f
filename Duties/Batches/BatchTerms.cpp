#include "Duties/Batches/BatchRunner.h"

#include "Libraries/EventLog/EventLog.h"

#include <algorithm>

namespace lavender::batches {

namespace {

void
AddPools(std::set<std::string>& aPools, const site::route* aRoute)
{
  if (aRoute) {
    for (const auto& pool : aRoute->mPools) {
      aPools.insert(pool.mPool);
    }
  }
}

} // namespace

std::set<std::string>
batch_runner::PoolsOf(const std::string& aHost,
                      const submission& aSubmission) const
{
  std::set<std::string> pools;
  if (!mDependencies.mConfiguration) {
    return pools;
  }
  const auto& configuration = *mDependencies.mConfiguration;
  for (const auto& item : aSubmission.mItems) {
    AddPools(pools, site::FindRoute(configuration, aHost, item.mPath).get());
    if (const auto& reward = item.mReward) {
      AddPools(
        pools,
        site::FindRoute(configuration, reward->mHost, reward->mPath).get());
    }
  }
  return pools;
}

server_list
batch_runner::UsableServers(const std::string& aHost,
                            const submission& aSubmission) const
{
  const auto pools = PoolsOf(aHost, aSubmission);
  server_list servers;
  const auto now = boot_clock::now();
  for (const auto& [id, row] : mDependencies.mDirectory.mRows) {
    const auto start = site::StartOf(row.mServer);
    if (pools.count(row.mServer.mPool) > 0 && !MayHaveEnded(start, now)) {
      servers.insert(start);
    }
  }
  return servers;
}

bool
batch_runner::MayHaveEnded(const site::server_start& aServer,
                           time_point aNow) const
{
  return mDependencies.mChecks.IsSilent(aServer) || IsGone(aServer, aNow);
}

bool
batch_runner::HasServersToRemove(const running_batch& aBatch) const
{
  const auto now = boot_clock::now();
  const auto& listed = aBatch.mTerm.mListed;
  return aBatch.mTerm.mPhase == term_phase::Begun &&
         std::any_of(listed.begin(), listed.end(), [&](const auto& aServer) {
           return MayHaveEnded(aServer, now) &&
                  aBatch.mTerm.mSilent.count(aServer) == 0 &&
                  AreEndsStored(aBatch, aServer);
         });
}

void
batch_runner::BeginLaterTerm(running_batch& aBatch, server_list aListed)
{
  aBatch.mTerm = LaterTerm(std::move(aListed));
  aBatch.mTermNumber = ++mLastRunNumber;
  aBatch.mHasAskedServers = false;
  for (auto& item : aBatch.mItems) {
    item.mPlanned.reset();
    item.mMayReviseAssumedEnd =
      item.mMayHaveRunUnstored || HasOpenAssumption(item.mLedger);
    if (item.mPhase == item_phase::Waiting ||
        item.mPhase == item_phase::Scoring) {
      OpenPlacedRuns(item.mLedger);
    }
  }
  CheckOpenRuns(aBatch, TimeOfEarlierRuns(aBatch));
  if (aBatch.mTerm.mPhase == term_phase::Beginning) {
    mDependencies.mStoreRuns(aBatch.mMetadata.mId);
  }
}

void
batch_runner::CheckListedServers(running_batch& aBatch)
{
  const auto& rows = mDependencies.mDirectory.mRows;
  // An empty directory hasn't been filled yet.
  if (aBatch.mTerm.mPhase != term_phase::Checking || aBatch.mHasAskedServers ||
      rows.empty()) {
    return;
  }
  aBatch.mHasAskedServers = true;
  for (const auto& server : server_list(aBatch.mTerm.mListed)) {
    mDependencies.mChecks.Check(
      server,
      std::nullopt,
      [this, batchId = aBatch.mMetadata.mId, term = aBatch.mTermNumber, server](
        site::server_fate aFate) {
        HandleListedServer(batchId, term, server, aFate);
      });
  }
}

void
batch_runner::HandleListedServer(const std::string& aBatchId,
                                 std::uint64_t aTermNumber,
                                 const site::server_start& aServer,
                                 site::server_fate aFate)
{
  if (aFate == site::server_fate::Running) {
    mRecentEnds.erase(aServer);
  } else {
    RecordEnd(mRecentEnds, aServer, boot_clock::now());
  }
  const auto found = mBatches.find(aBatchId);
  if (found == mBatches.end() || found->second.mTermNumber != aTermNumber) {
    return;
  }
  auto& batch = found->second;
  const bool wasChecking = batch.mTerm.mPhase == term_phase::Checking;
  RecordCheck(batch.mTerm, aServer, aFate);
  if (batch.mTerm.mPhase == term_phase::Checking) {
    return;
  }
  if (wasChecking) {
    AssumeEnds(batch);
  } else {
    ReviseAssumedEnds(batch, aServer);
  }
}

void
batch_runner::AssumeEnds(running_batch& aBatch)
{
  const auto fate = AssumedFate(aBatch.mTerm);
  std::int64_t assumed = 0;
  for (auto& item : aBatch.mItems) {
    if (fate != run_fate::Survived && item.mPhase != item_phase::Ended &&
        item.mMayHaveRunUnstored) {
      AssumeUnstoredEnd(item.mLedger, aBatch.mTerm);
      RecordUnstoredRun(item);
      ++assumed;
    } else if (item.mMayReviseAssumedEnd) {
      ReviseAssumedEnd(item.mLedger, aBatch.mTerm);
    }
  }
  const auto& id = aBatch.mMetadata.mId;
  events::line("batch_term_checked")
    .With("batch", id)
    .With("servers", static_cast<std::int64_t>(aBatch.mTerm.mListed.size()))
    .With("lost_servers", static_cast<std::int64_t>(aBatch.mTerm.mLost.size()))
    .With("silent_servers",
          static_cast<std::int64_t>(aBatch.mTerm.mSilent.size()))
    .With("assumed_ends", assumed);
  mDependencies.mMetrics.Count("lavender_batch_ends_assumed_total",
                               {},
                               static_cast<std::uint64_t>(assumed));
  CheckOpenRuns(aBatch, milliseconds(0));
  mDependencies.mStoreRuns(id);
}

void
batch_runner::ReviseAssumedEnds(running_batch& aBatch,
                                const site::server_start& aLastChecked)
{
  const auto fate = AssumedFate(aBatch.mTerm);
  std::int64_t revised = 0;
  for (auto& item : aBatch.mItems) {
    if (item.mPhase != item_phase::Ended && item.mMayReviseAssumedEnd &&
        ReviseAssumedEnd(item.mLedger, aBatch.mTerm)) {
      ++revised;
    }
  }
  if (revised == 0) {
    return;
  }
  const auto& id = aBatch.mMetadata.mId;
  events::line("batch_ends_revised")
    .With("batch", id)
    .With("server", aLastChecked.mId)
    .With("fate", ToString(fate))
    .With("items", revised);
  if (fate == run_fate::Ended) {
    mDependencies.mStoreRuns(id);
  }
  Dispatch();
  mDependencies.mRewards.Retry();
}

bool
batch_runner::AreEndsStored(const running_batch& aBatch,
                            const site::server_start& aServer)
{
  return std::none_of(
    aBatch.mItems.begin(), aBatch.mItems.end(), [&](const auto& aItem) {
      const bool isThere = (aItem.mPhase == item_phase::Running ||
                            aItem.mPhase == item_phase::Reserved) &&
                           ServerOf(aItem) == aServer;
      // The ledger of an item that awaits a fate isn't stored meanwhile.
      const bool isPending =
        !aItem.mAwaited.empty() &&
        (aItem.mAwaited.count(aServer) > 0 || aItem.mLedger.count(aServer) > 0);
      return isThere || isPending || aItem.mEarlierRuns.count(aServer) > 0 ||
             HasAttemptAt(aItem.mRewardAttempts, aServer);
    });
}

void
batch_runner::MarkServersWritten(const std::string& aBatchId,
                                 const server_list_change& aChange)
{
  if (const auto found = mBatches.find(aBatchId); found != mBatches.end()) {
    MarkWritten(found->second.mTerm, aChange);
  }
}

server_list_change
batch_runner::UnstoredServers(const std::string& aBatchId) const
{
  const auto found = mBatches.find(aBatchId);
  if (found == mBatches.end()) {
    return {};
  }
  const auto& batch = found->second;
  return ChangeOf(
    batch.mTerm,
    UsableServers(batch.mMetadata.mHost, *batch.mSubmission),
    [&](const auto& aServer) { return AreEndsStored(batch, aServer); });
}

bool
batch_runner::HasServersToStore(const std::string& aBatchId) const
{
  const auto found = mBatches.find(aBatchId);
  if (found == mBatches.end()) {
    return false;
  }
  const auto& batch = found->second;
  // A server that waited may have left meanwhile, and a block without a change
  // would be written again and again.
  return batch.mTerm.mPhase == term_phase::Beginning ||
         HasServersToRemove(batch) ||
         (batch.mLacksServers && !UnstoredServers(aBatchId).mAdded.empty());
}

void
batch_runner::ApplyStoredServers(const std::string& aBatchId,
                                 const server_list_change& aChange,
                                 bool aIsOwn)
{
  const auto found = mBatches.find(aBatchId);
  if (found == mBatches.end()) {
    return;
  }
  auto& batch = found->second;
  if (aChange.IsEmpty()) {
    batch.mTerm.mRemoving.clear();
    return;
  }
  batch.mLacksServers = false;
  if (!ApplyChange(batch.mTerm, aChange, aIsOwn)) {
    batch.mHadOtherOwner = true;
    for (auto& item : batch.mItems) {
      item.mMayHaveRunUnstored =
        !AreRunsPlaced(*item.mItem) && MayOthersRunUnstored(item.mLedger);
      RecordEarlierOwners(item.mErrors, 1);
    }
    BeginLaterTerm(batch, batch.mTerm.mListed);
  }
  Dispatch();
  mDependencies.mRewards.Retry();
}

void
batch_runner::ApplyCarriedRuns(const std::string& aBatchId,
                               const std::vector<run_record>& aRecords)
{
  const auto found = mBatches.find(aBatchId);
  if (found == mBatches.end() || aRecords.empty()) {
    return;
  }
  auto& batch = found->second;
  for (const auto& record : aRecords) {
    if (record.mItem < batch.mItems.size() &&
        batch.mItems[record.mItem].mPhase != item_phase::Ended) {
      ApplyCarried(batch.mItems[record.mItem].mLedger, record);
      RecordUnstoredRun(batch.mItems[record.mItem]);
    }
  }
  CheckOpenRuns(batch, kUnnoticedLossTime);
  if (HasRunsToStore(aBatchId)) {
    mDependencies.mStoreRuns(aBatchId);
  }
  Dispatch();
  mDependencies.mRewards.Retry();
}

void
batch_runner::RecordUnstoredRun(item_progress& aItem)
{
  const bool isUnstored =
    aItem.mPhase == item_phase::Running && !aItem.mIsRunStored;
  if (isUnstored && MustStoreSentRun(aItem.mLedger, ServerOf(aItem))) {
    RecordFate(aItem.mLedger, ServerOf(aItem), run_fate::Open);
  }
  RecordUnstoredAttempts(aItem.mRewardAttempts, aItem.mLedger);
}

std::vector<bool>
batch_runner::ListedEngines(running_batch& aBatch,
                            const std::vector<engine_view>& aEngines)
{
  if (aBatch.mPoolsFrom != mDependencies.mConfiguration) {
    aBatch.mPoolsFrom = mDependencies.mConfiguration;
    aBatch.mPools = PoolsOf(aBatch.mMetadata.mHost, *aBatch.mSubmission);
  }
  const auto& pools = aBatch.mPools;
  std::vector<bool> listed;
  bool lacksServers = false;
  for (const auto& engine : aEngines) {
    const auto& row = mDependencies.mDirectory.mRows.at(engine.mId);
    listed.push_back(MayUse(aBatch.mTerm, site::StartOf(row.mServer)));
    lacksServers |= !listed.back() && pools.count(engine.mPool) > 0;
  }
  lacksServers &= aBatch.mTerm.mPhase == term_phase::Begun;
  const bool isNew = lacksServers && !aBatch.mLacksServers;
  aBatch.mLacksServers = lacksServers;
  if (isNew || HasServersToRemove(aBatch)) {
    mDependencies.mStoreRuns(aBatch.mMetadata.mId);
  }
  return listed;
}

} // namespace lavender::batches
