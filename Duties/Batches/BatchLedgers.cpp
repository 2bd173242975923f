#include "Duties/Batches/BatchRunner.h"

#include "Libraries/EventLog/EventLog.h"

#include <algorithm>

namespace lavender::batches {

namespace {

/** A server that has ended gets no runs for this time. The directory drops its
 * record within it, unless the store is away. */
constexpr milliseconds kGoneTime{ 5000 };
/** As kKnownToRunTime when a stored run is sent: the write may have taken
 * seconds. */
constexpr milliseconds kJustAnsweredTime{ 100 };

bool
IsAtServer(const item_progress& aItem)
{
  return aItem.mPhase == item_phase::Running ||
         aItem.mPhase == item_phase::Reserved;
}

/** Whether the run or reward call in progress is at the server, or the next one
 * is being stored for it. */
bool
IsCurrent(const item_progress& aItem, const site::server_start& aServer)
{
  return IsAtServer(aItem) ? ServerOf(aItem) == aServer
                           : HasAttemptAt(aItem.mRewardAttempts, aServer);
}

/** Whether the next run or reward call is being stored for the server. */
bool
IsReservedAt(const item_progress& aItem, const site::server_start& aServer)
{
  return (aItem.mPhase == item_phase::Reserved && ServerOf(aItem) == aServer) ||
         aItem.mRewardAttempts.mReserved == aServer;
}

/** The item's ledger without the run or reward call in progress. */
run_ledger
WithoutCurrentRun(const item_progress& aItem)
{
  auto ledger = aItem.mLedger;
  for (auto run = ledger.begin(); run != ledger.end();) {
    const bool isCurrent =
      run->second.mFate == run_fate::Open && IsCurrent(aItem, run->first);
    run = isCurrent ? ledger.erase(run) : std::next(run);
  }
  return ledger;
}

int
ServersEnded(const run_ledger& aLedger)
{
  return static_cast<int>(
    std::count_if(aLedger.begin(), aLedger.end(), [](const auto& aRun) {
      return aRun.second.mFate == run_fate::Ended;
    }));
}

} // namespace

site::server_start
ServerOf(const item_progress& aItem)
{
  return { aItem.mServer, aItem.mServerStartedAt };
}

std::optional<wait_reason>
batch_runner::UnsettledCount(const item_progress& aItem)
{
  if (!aItem.mAwaited.empty()) {
    return wait_reason::FateAwaited;
  }
  if (SuspicionOf(WithoutCurrentRun(aItem)) == suspicion::Barred) {
    return wait_reason::Barred;
  }
  return IsCountStored(aItem.mLedger)
           ? std::nullopt
           : std::optional(wait_reason::CountNotStored);
}

suspicion
batch_runner::CurrentSuspicion(const item_progress& aItem)
{
  return IsAtServer(aItem) ? aItem.mSuspicion : SuspicionOf(aItem.mLedger);
}

suspect_counts
batch_runner::AddSuspects(std::vector<engine_view>& aEngines) const
{
  std::map<std::string, engine_view*> byId;
  for (auto& engine : aEngines) {
    byId[engine.mId] = &engine;
  }
  suspect_counts counts;
  for (const auto& [id, batch] : mBatches) {
    for (const auto& item : batch.mItems) {
      const auto engine = byId.find(item.mServer);
      const bool isThere = IsAtServer(item) && engine != byId.end();
      if (isThere && item.mPhase == item_phase::Reserved) {
        ++engine->second->mOwnRuns;
        --engine->second->mRunsLeft;
      }
      if (const auto moveTo =
            item.mMove ? byId.find(item.mMove->mTo.mId) : byId.end();
          moveTo != byId.end()) {
        ++moveTo->second->mOwnRuns;
        --moveTo->second->mRunsLeft;
      }
      const auto level = CurrentSuspicion(item);
      if (item.mPhase == item_phase::Ended || level == suspicion::None ||
          level == suspicion::Barred) {
        continue;
      }
      ++(level == suspicion::LastRun ? counts.mLastRuns : counts.mSuspects);
      if (isThere) {
        CountSuspect(*engine->second, level);
      }
    }
  }
  return counts;
}

void
batch_runner::RecordGone(const site::server_start& aServer)
{
  mGone[aServer] = boot_clock::now() + kGoneTime;
}

bool
batch_runner::IsGone(const site::server_start& aServer, time_point aNow) const
{
  const auto gone = mGone.find(aServer);
  return gone != mGone.end() && aNow < gone->second;
}

bool
batch_runner::IsKnownToRun(const std::string& aServer,
                           milliseconds aWithin,
                           time_point aNow)
{
  const auto& server = mDependencies.mDirectory.mRows.at(aServer).mServer;
  const auto start = site::StartOf(server);
  const auto [asked, isNew] = mAskedServers.try_emplace(start, std::nullopt);
  if (!isNew && !asked->second) {
    return false;
  }
  if (!isNew && aNow - *asked->second < aWithin) {
    return true;
  }
  asked->second.reset();
  mDependencies.mChecks.Check(
    start, server.mAddress, [this, start](site::server_fate aFate) {
      if (aFate == site::server_fate::Running) {
        mAskedServers[start] = boot_clock::now();
      } else if (aFate == site::server_fate::Ended) {
        mAskedServers.erase(start);
        RecordGone(start);
      }
      Dispatch();
    });
  return false;
}

void
batch_runner::ReserveRun(running_batch& aBatch,
                         std::size_t aIndex,
                         const engine_view& aEngine,
                         const site::route& aRoute)
{
  auto& item = aBatch.mItems[aIndex];
  const auto row = mDependencies.mDirectory.mRows.find(aEngine.mId);
  if (row == mDependencies.mDirectory.mRows.end()) {
    return;
  }
  item.mServer = aEngine.mId;
  item.mServerStartedAt = row->second.mServer.mStartedAt;
  RecordFate(item.mLedger, ServerOf(item), run_fate::Open);
  if (IsCountStored(item.mLedger)) {
    StartRun(aBatch, aIndex, aEngine, aRoute);
    return;
  }
  item.mPhase = item_phase::Reserved;
  mDependencies.mStoreRuns(aBatch.mMetadata.mId);
}

void
batch_runner::StartReservedRuns(running_batch& aBatch)
{
  const auto now = boot_clock::now();
  std::optional<std::vector<engine_view>> engines;
  for (std::size_t i = 0; i < aBatch.mItems.size(); ++i) {
    auto& item = aBatch.mItems[i];
    if (item.mPhase != item_phase::Reserved) {
      continue;
    }
    if (const auto unsettled = UnsettledCount(item)) {
      // A server of an earlier run may have ended since the run was reserved.
      if (unsettled == wait_reason::Barred) {
        StopRun(item);
      }
      continue;
    }
    const bool isPlaced = IsPlaced(item.mLedger, ServerOf(item));
    if (isPlaced && !IsStored(item.mLedger, ServerOf(item))) {
      continue;
    }
    if (!engines) {
      engines = Engines();
    }
    const auto route = RouteOf(aBatch, *item.mItem);
    const auto engine =
      std::find_if(engines->begin(), engines->end(), [&](const auto& aEngine) {
        return aEngine.mId == item.mServer && HasRoom(aEngine, now);
      });
    const auto row = mDependencies.mDirectory.mRows.find(item.mServer);
    if (!route || engine == engines->end() ||
        row->second.mServer.mStartedAt != item.mServerStartedAt) {
      StopRun(item);
      continue;
    }
    if (!isPlaced && !IsKnownToRun(item.mServer, kJustAnsweredTime, now)) {
      continue;
    }
    StartRun(aBatch, i, *engine, *route);
    ++engine->mOwnRuns;
    --engine->mRunsLeft;
  }
}

void
batch_runner::CountCutOff(running_batch& aBatch,
                          std::size_t aIndex,
                          const site::server_start& aServer,
                          const edge::endpoint& aAddress)
{
  auto& ledger = aBatch.mItems[aIndex].mLedger;
  RecordFate(ledger, aServer, run_fate::Open);
  CheckServer(aBatch, aIndex, aServer, aAddress);
  // A server that the item was moved away from may have ended silently before.
  OpenPlacedRuns(ledger);
  CheckOpenRuns(aBatch, milliseconds(0));
}

void
batch_runner::CheckServer(running_batch& aBatch,
                          std::size_t aIndex,
                          const site::server_start& aServer,
                          const std::optional<edge::endpoint>& aAddress)
{
  aBatch.mItems[aIndex].mAwaited.insert(aServer);
  aBatch.mItems[aIndex].mChecked.insert(aServer);
  mDependencies.mChecks.Check(
    aServer,
    aAddress,
    [this, batchId = aBatch.mMetadata.mId, aIndex, aServer](
      site::server_fate aFate) {
      HandleFate(batchId, aIndex, aServer, aFate);
    });
}

void
batch_runner::CheckUnreachable(const item_progress& aItem)
{
  mDependencies.mChecks.Check(
    ServerOf(aItem), aItem.mServerAddress, [this](site::server_fate aFate) {
      if (aFate == site::server_fate::Running) {
        Dispatch();
      }
    });
}

void
batch_runner::CheckOpenRuns(running_batch& aBatch, milliseconds aMayGoOn)
{
  for (std::size_t i = 0; i < aBatch.mItems.size(); ++i) {
    const auto& item = aBatch.mItems[i];
    if (item.mPhase == item_phase::Ended) {
      continue;
    }
    for (const auto& server : OpenRuns(item.mLedger)) {
      if (IsAssumed(server) || IsCurrent(item, server) ||
          item.mChecked.count(server) > 0) {
        continue;
      }
      if (aMayGoOn > milliseconds(0)) {
        aBatch.mItems[i].mEarlierRuns[server] = boot_clock::now() + aMayGoOn;
      }
      CheckServer(aBatch, i, server, std::nullopt);
    }
  }
}

milliseconds
batch_runner::TimeOfEarlierRuns(const running_batch& aBatch)
{
  return aBatch.mHadOtherOwner ? kUnnoticedLossTime : kDropTime;
}

void
batch_runner::CountEarlierRuns(running_batch& aBatch)
{
  const auto now = boot_clock::now();
  bool hasCounted = false;
  for (auto& item : aBatch.mItems) {
    auto& runs = item.mEarlierRuns;
    for (auto run = runs.begin(); run != runs.end();) {
      const bool isOver = now >= run->second;
      // While the store is away the directory still holds servers that ended.
      const bool hasEnded = mRecentEnds.count(run->first) > 0 ||
                            (isOver && IsPlaced(item.mLedger, run->first) &&
                             mDependencies.mChecks.IsSilent(run->first));
      // Releasing a reserved server removes it from the ledger, so an end of
      // the server is counted after the release.
      const bool isReserved = IsReservedAt(item, run->first);
      if (hasEnded ? isReserved : !isOver) {
        ++run;
        continue;
      }
      if (hasEnded && item.mPhase != item_phase::Ended) {
        RecordFate(item.mLedger, run->first, run_fate::Open);
        RecordUnstoredRun(item);
        hasCounted = true;
      } else if (IsPlaced(item.mLedger, run->first) &&
                 !IsCurrent(item, run->first)) {
        // The server that the run was moved away from lives.
        RecordFate(item.mLedger, run->first, run_fate::Survived);
      }
      run = runs.erase(run);
    }
  }
  if (hasCounted) {
    CheckOpenRuns(aBatch, kUnnoticedLossTime);
  }
}

void
batch_runner::HandleFate(const std::string& aBatchId,
                         std::size_t aIndex,
                         const site::server_start& aServer,
                         site::server_fate aFate)
{
  const auto found = mBatches.find(aBatchId);
  if (found == mBatches.end() || aIndex >= found->second.mItems.size()) {
    return;
  }
  auto& item = found->second.mItems[aIndex];
  item.mAwaited.erase(aServer);
  if (aFate != site::server_fate::Unknown) {
    item.mChecked.erase(aServer);
  }
  if (IsCurrent(item, aServer) || item.mLedger.count(aServer) == 0) {
    return;
  }
  if (aFate == site::server_fate::Running) {
    RecordFate(item.mLedger, aServer, run_fate::Survived);
    mRecentEnds.erase(aServer);
    if (const auto earlier = item.mEarlierRuns.find(aServer);
        earlier != item.mEarlierRuns.end() && !found->second.mHadOtherOwner) {
      earlier->second =
        std::min(earlier->second, boot_clock::now() + kDropTime);
    }
    LogRunThatSurvived(found->second, item, aServer);
  } else {
    if (aFate == site::server_fate::Ended) {
      RecordFate(item.mLedger, aServer, run_fate::Ended);
    }
    RecordEnd(mRecentEnds, aServer, boot_clock::now());
    LogCountedRun(found->second, item, aServer, aFate);
  }
  if (item.mPhase == item_phase::Ended) {
    return;
  }
  if (!IsCountStored(item.mLedger)) {
    mDependencies.mStoreRuns(aBatchId);
  }
  Dispatch();
  mDependencies.mRewards.Retry();
}

void
batch_runner::LogRunThatSurvived(const running_batch& aBatch,
                                 const item_progress& aItem,
                                 const site::server_start& aServer)
{
  events::line("run_uncounted")
    .With("request", aItem.mItem->mId)
    .With("batch", aBatch.mMetadata.mId)
    .With("server", aServer.mId)
    .With("started_at", aServer.mStartedAt)
    .With("servers_lost",
          static_cast<std::int64_t>(ServersLost(WithoutCurrentRun(aItem))));
}

void
batch_runner::LogCountedRun(const running_batch& aBatch,
                            item_progress& aItem,
                            const site::server_start& aServer,
                            site::server_fate aFate)
{
  events::line("run_counted")
    .With("request", aItem.mItem->mId)
    .With("batch", aBatch.mMetadata.mId)
    .With("server", aServer.mId)
    .With("started_at", aServer.mStartedAt)
    .With("fate", site::ToString(aFate))
    .With("servers_lost",
          static_cast<std::int64_t>(ServersLost(WithoutCurrentRun(aItem))));
  if (aItem.mIsBarred || ServersEnded(aItem.mLedger) < kMaximumServersLost) {
    return;
  }
  aItem.mIsBarred = true;
  events::line("item_barred")
    .With("request", aItem.mItem->mId)
    .With("batch", aBatch.mMetadata.mId)
    .With("host", aBatch.mMetadata.mHost)
    .With("path", aItem.mItem->mPath)
    .With("reason", "servers ended under it as often as an item may run");
  mDependencies.mMetrics.Count("lavender_batch_items_barred_total", {});
}

std::vector<run_record>
batch_runner::UnstoredRuns(const std::string& aBatchId) const
{
  std::vector<run_record> records;
  const auto batch = mBatches.find(aBatchId);
  if (batch == mBatches.end()) {
    return records;
  }
  for (std::size_t i = 0; i < batch->second.mItems.size(); ++i) {
    const auto& item = batch->second.mItems[i];
    if (item.mPhase != item_phase::Ended && item.mAwaited.empty() &&
        MayStoreRuns(batch->second.mTerm, item.mMayHaveRunUnstored)) {
      AddUnstored(item.mLedger, i, records);
    }
  }
  return records;
}

std::vector<item_run>
batch_runner::CountedRuns(const std::string& aBatchId) const
{
  std::vector<item_run> runs;
  const auto batch = mBatches.find(aBatchId);
  if (batch == mBatches.end()) {
    return runs;
  }
  for (const auto& item : batch->second.mItems) {
    auto ledger = WithoutCurrentRun(item);
    if (batch->second.mTerm.mPhase == term_phase::Checking &&
        item.mPhase != item_phase::Ended && item.mMayHaveRunUnstored) {
      AssumeUnknownEnd(ledger);
    }
    AddCounted(ledger, item.mItem->mId, runs);
  }
  // A later batch lists other servers, so nothing could revise the end there.
  for (auto& run : runs) {
    run.mFate = IsAssumed(run.mServer) ? run_fate::Ended : run.mFate;
  }
  return runs;
}

bool
batch_runner::IsChecking(const std::string& aBatchId) const
{
  const auto batch = mBatches.find(aBatchId);
  return batch != mBatches.end() &&
         batch->second.mTerm.mPhase == term_phase::Checking;
}

bool
batch_runner::HasRunsToStore(const std::string& aBatchId) const
{
  return HasUnstoredCount(UnstoredRuns(aBatchId)) ||
         HasPlacesToStore(aBatchId) || HasMovesToStore(aBatchId) ||
         HasErrorsToStore(aBatchId);
}

bool
batch_runner::HasMovesToStore(const std::string& aBatchId) const
{
  const auto batch = mBatches.find(aBatchId);
  if (batch == mBatches.end()) {
    return false;
  }
  const auto& items = batch->second.mItems;
  return std::any_of(items.begin(), items.end(), [](const auto& aItem) {
    return aItem.mMove && aItem.mAwaited.empty() &&
           !IsStored(aItem.mLedger, aItem.mMove->mTo);
  });
}

std::vector<run_record>
batch_runner::RunsForBlock(const std::string& aBatchId)
{
  const auto batch = mBatches.find(aBatchId);
  if (batch == mBatches.end()) {
    return {};
  }
  auto& items = batch->second.mItems;
  for (auto& item : items) {
    if (item.mPhase == item_phase::Running && !item.mIsRunStored &&
        AreRunsPlaced(*item.mItem)) {
      RecordPlacement(item.mLedger, ServerOf(item));
    }
  }
  PlanWaitingItems(batch->second);
  return UnstoredRuns(aBatchId);
}

void
batch_runner::MarkRunsWritten(const std::string& aBatchId,
                              const std::vector<run_record>& aRecords)
{
  const auto batch = mBatches.find(aBatchId);
  if (batch == mBatches.end()) {
    return;
  }
  for (const auto& record : aRecords) {
    MarkWritten(batch->second.mItems[record.mItem].mLedger, record.mServer);
  }
}

void
batch_runner::ApplyStoredRuns(const std::string& aBatchId,
                              const std::vector<run_record>& aRecords)
{
  mPlacesPausedUntil = {};
  const auto found = mBatches.find(aBatchId);
  if (found == mBatches.end() || aRecords.empty()) {
    return;
  }
  auto& batch = found->second;
  for (const auto& record : aRecords) {
    if (record.mItem < batch.mItems.size()) {
      ApplyStored(batch.mItems[record.mItem].mLedger, record);
      RecordUnstoredRun(batch.mItems[record.mItem]);
    }
  }
  StartReservedRuns(batch);
  StartMoves(batch);
  CheckOpenRuns(batch, TimeOfEarlierRuns(batch));
  if (HasUnstoredCount(aRecords)) {
    Dispatch();
    mDependencies.mRewards.Retry();
  }
}

} // namespace lavender::batches
