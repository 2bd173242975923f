#include "Duties/Batches/BatchRunner.h"

#include "Libraries/Core/Mechanisms.h"

#include <algorithm>
#include <limits>

namespace lavender::batches {

namespace {

/** A plan that is no older is followed without a look at the other servers. */
constexpr milliseconds kFreshPlanTime{ 500 };
/** A store that answers at all, if slowly, holds a place within this time. */
constexpr milliseconds kPlaceStoredTime{ 300 };
/** Interval at which the runs of waiting items are planned anew. */
constexpr milliseconds kReplanInterval{ 250 };
/** Time for which no more places are asked of a store that is silent. */
constexpr milliseconds kPlacesPause{ 2000 };

std::optional<std::size_t>
FindEngine(const std::vector<engine_view>& aEngines,
           const site::server_start& aServer)
{
  const auto found =
    std::find_if(aEngines.begin(), aEngines.end(), [&](const auto& aEngine) {
      return aEngine.mStartedAt == aServer.mStartedAt &&
             aEngine.mId == aServer.mId;
    });
  return found == aEngines.end() ? std::nullopt
                                 : std::optional(static_cast<std::size_t>(
                                     std::distance(aEngines.begin(), found)));
}

/** Servers as they are for planning, where no run waits for room. */
std::vector<engine_view>
WithoutLimits(std::vector<engine_view> aEngines)
{
  for (auto& engine : aEngines) {
    engine.mSlots = std::numeric_limits<int>::max();
    engine.mMemoryTokens = 0;
    if (engine.mRunsLeft > 0) {
      engine.mRunsLeft = std::numeric_limits<int>::max();
    }
  }
  return aEngines;
}

} // namespace

void
batch_runner::PlanRuns(const batch_metadata& aMetadata,
                       const std::shared_ptr<submission>& aSubmission)
{
  if (!mDependencies.mConfiguration) {
    return;
  }
  auto batch =
    MakeRunningBatch(aMetadata, aSubmission, [](const auto&) { return false; });
  auto engines = Engines();
  AddRunMemory(engines);
  batch.mListedEngines.assign(engines.size(), true);
  group_affinities affinities;
  std::vector<std::size_t> later;
  for (const auto index : OrderOfItems(batch, engines)) {
    auto& item = batch.mItems[index];
    if (!AreRunsPlaced(*item.mItem)) {
      continue;
    }
    auto& planned = aSubmission->mItems[index].mPlannedServer;
    planned = PlanRun(batch, item, engines, affinities);
    if (!planned) {
      later.push_back(index);
    }
  }
  engines = WithoutLimits(std::move(engines));
  for (const auto index : later) {
    aSubmission->mItems[index].mPlannedServer =
      PlanRun(batch, batch.mItems[index], engines, affinities);
  }
}

std::optional<site::server_start>
batch_runner::PlanRun(running_batch& aBatch,
                      item_progress& aItem,
                      std::vector<engine_view>& aEngines,
                      group_affinities& aAffinities)
{
  const auto route = RouteOf(aBatch, *aItem.mItem);
  if (!route) {
    return std::nullopt;
  }
  const auto now = boot_clock::now();
  const auto need = RequirementsOf(aBatch, aItem, *route);
  const auto chosen = ChooseEngine(aEngines, need, aAffinities, now);
  if (!chosen) {
    return std::nullopt;
  }
  auto& engine = aEngines[*chosen];
  ++engine.mOwnRuns;
  --engine.mIdleConnections;
  --engine.mRunsLeft;
  engine.mRunMemory.push_back(need.mMemory);
  if (!need.mGroup.empty()) {
    aAffinities[need.mGroup] = { engine.mId, now };
  }
  return site::server_start{ engine.mId, engine.mStartedAt };
}

void
batch_runner::ApplyPlannedRuns(running_batch& aBatch, bool aIsFirstOwner)
{
  for (std::size_t i = 0; i < aBatch.mItems.size(); ++i) {
    auto& item = aBatch.mItems[i];
    const auto& planned = item.mItem->mPlannedServer;
    if (!planned || item.mPhase == item_phase::Ended) {
      continue;
    }
    ApplyStored(item.mLedger, { i, *planned, run_fate::Placed });
    if (aIsFirstOwner) {
      item.mPlanned = planned;
      aBatch.mPlannedAt = boot_clock::now();
    }
  }
}

bool
batch_runner::IsPlanUsable(const item_progress& aItem, time_point aNow) const
{
  if (!aItem.mPlanned) {
    return false;
  }
  const auto& rows = mDependencies.mDirectory.mRows;
  const auto row = rows.find(aItem.mPlanned->mId);
  return row != rows.end() &&
         site::StartOf(row->second.mServer) == *aItem.mPlanned &&
         !MayHaveEnded(*aItem.mPlanned, aNow);
}

void
batch_runner::PlanWaitingItems(running_batch& aBatch)
{
  const auto now = boot_clock::now();
  if (aBatch.mTerm.mPhase == term_phase::Checking ||
      now - aBatch.mReplannedAt < kReplanInterval) {
    return;
  }
  std::vector<std::size_t> unplanned;
  for (std::size_t i = 0; i < aBatch.mItems.size(); ++i) {
    auto& item = aBatch.mItems[i];
    if (item.mPhase != item_phase::Waiting || !AreRunsPlaced(*item.mItem)) {
      continue;
    }
    if (ServersLost(item.mLedger) > 0) {
      DropPlan(item);
    } else if (!IsPlanUsable(item, now) && item.mAwaited.empty() &&
               item.mEarlierRuns.empty()) {
      DropPlan(item);
      unplanned.push_back(i);
    }
  }
  if (unplanned.empty()) {
    return;
  }
  aBatch.mReplannedAt = now;
  auto engines = WithoutLimits(Engines());
  const auto& listed = aBatch.mTerm.mListed;
  aBatch.mListedEngines.clear();
  for (const auto& engine : engines) {
    aBatch.mListedEngines.push_back(
      listed.count({ engine.mId, engine.mStartedAt }) > 0);
  }
  group_affinities affinities;
  for (const auto i : unplanned) {
    auto& item = aBatch.mItems[i];
    item.mPlanned = PlanRun(aBatch, item, engines, affinities);
    if (!item.mPlanned) {
      // No server suits this item, so mostly none suits the batch's others.
      return;
    }
    RecordPlacement(item.mLedger, *item.mPlanned);
  }
}

void
batch_runner::DropPlan(item_progress& aItem,
                       const site::server_start* aUnlessAt)
{
  const auto planned = std::exchange(aItem.mPlanned, std::nullopt);
  const bool isKept = planned && aUnlessAt && *planned == *aUnlessAt;
  if (planned && !isKept && IsPlaced(aItem.mLedger, *planned)) {
    RecordFate(aItem.mLedger, *planned, run_fate::Survived);
  }
}

std::optional<std::size_t>
batch_runner::ChooseServer(const running_batch& aBatch,
                           const item_progress& aItem,
                           const item_requirements& aNeed,
                           const dispatch_round& aRound) const
{
  const auto& engines = aRound.mEngines;
  const auto now = aRound.mNow;
  const bool mustBePlaced =
    aNeed.mSuspicion == suspicion::None && AreRunsPlaced(*aItem.mItem);
  if (!mustBePlaced) {
    return ChooseEngine(engines, aNeed, mAffinities, now);
  }
  const auto planned = PlannedEngine(aItem, aNeed, aRound);
  const bool isFresh =
    aBatch.mPlannedAt && now - *aBatch.mPlannedAt <= kFreshPlanTime;
  // The plan knows nothing of items that may end their server.
  const bool isSafe = planned && engines[*planned].mLastRuns == 0;
  if ((isSafe && isFresh) || now < mPlacesPausedUntil) {
    return planned;
  }
  const auto best = ChooseEngine(engines, aNeed, mAffinities, now);
  return planned && best &&
             IsAboutAsGood(engines[*planned], engines[*best], aNeed)
           ? planned
           : best;
}

std::optional<std::size_t>
batch_runner::PlannedEngine(const item_progress& aItem,
                            const item_requirements& aNeed,
                            const dispatch_round& aRound)
{
  if (!aItem.mPlanned || !IsStoredPlace(aItem.mLedger, *aItem.mPlanned)) {
    return std::nullopt;
  }
  const auto planned = FindEngine(aRound.mEngines, *aItem.mPlanned);
  return planned && MayRunOn(aRound.mEngines, *planned, aNeed, aRound.mNow)
           ? planned
           : std::nullopt;
}

void
batch_runner::SendPlaced(running_batch& aBatch,
                         std::size_t aIndex,
                         const engine_view& aEngine,
                         const site::route& aRoute)
{
  auto& item = aBatch.mItems[aIndex];
  const site::server_start server{ aEngine.mId, aEngine.mStartedAt };
  item.mIsRunStored = false;
  DropPlan(item, &server);
  const bool isStored = IsStoredPlace(item.mLedger, server);
  mDependencies.mMetrics.Count("lavender_batch_runs_sent_total",
                               { { "place", isStored ? "planned" : "new" } });
  if (isStored) {
    StartRun(aBatch, aIndex, aEngine, aRoute);
    return;
  }
  item.mServer = server.mId;
  item.mServerStartedAt = server.mStartedAt;
  RecordPlacement(item.mLedger, server);
  item.mPhase = item_phase::Reserved;
  item.mReservedAt = boot_clock::now();
  mDependencies.mStoreRuns(aBatch.mMetadata.mId);
}

bool
batch_runner::AwaitsPlace(const item_progress& aItem)
{
  return aItem.mPhase == item_phase::Reserved &&
         IsPlaced(aItem.mLedger, ServerOf(aItem)) &&
         !IsStored(aItem.mLedger, ServerOf(aItem));
}

bool
batch_runner::HasPlacesToStore(const std::string& aBatchId) const
{
  const auto batch = mBatches.find(aBatchId);
  if (batch == mBatches.end()) {
    return false;
  }
  const auto& items = batch->second.mItems;
  return std::any_of(items.begin(), items.end(), [](const auto& aItem) {
    return AwaitsPlace(aItem) && aItem.mAwaited.empty();
  });
}

void
batch_runner::ReleaseLatePlaces(time_point aNow)
{
  const auto isLate = [&](const auto& aItem) {
    return AwaitsPlace(aItem) && aNow - aItem.mReservedAt > kPlaceStoredTime;
  };
  const bool isSilent =
    std::any_of(mBatches.begin(), mBatches.end(), [&](const auto& aBatch) {
      const auto& items = aBatch.second.mItems;
      return std::any_of(items.begin(), items.end(), isLate);
    });
  if (!isSilent) {
    return;
  }
  mPlacesPausedUntil = aNow + kPlacesPause;
  for (auto& [id, batch] : mBatches) {
    for (auto& item : batch.mItems) {
      if (AwaitsPlace(item)) {
        StopRun(item);
      }
    }
  }
}

} // namespace lavender::batches
