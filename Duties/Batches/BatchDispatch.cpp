#include "Duties/Batches/BatchRunner.h"

#include "Duties/Site/Evacuation.h"
#include "Duties/Site/Regions.h"
#include "Libraries/Core/Mechanisms.h"
#include "Libraries/Core/Rendezvous.h"
#include "Libraries/EventLog/EventLog.h"

#include <algorithm>
#include <boost/asio/post.hpp>

namespace lavender::batches {

using namespace std::chrono_literals;

namespace {

/** Interval at which waiting items are dispatched when no event triggers a
 * dispatch. */
constexpr milliseconds kDispatchInterval = 100ms;

} // namespace

void
batch_runner::Dispatch()
{
  if (mIsDispatchPosted) {
    return;
  }
  mIsDispatchPosted = true;
  boost::asio::post(mDependencies.mLoop, [this] {
    mIsDispatchPosted = false;
    DispatchNow();
  });
}

std::shared_ptr<const site::route>
batch_runner::RouteOf(const running_batch& aBatch,
                      const batch_item& aItem) const
{
  return mDependencies.mConfiguration
           ? site::FindRoute(*mDependencies.mConfiguration,
                             aBatch.mMetadata.mHost,
                             aItem.mPath)
           : nullptr;
}

std::vector<engine_view>
batch_runner::Engines() const
{
  std::vector<engine_view> engines;
  const auto now = boot_clock::now();
  const auto median = UsualEventTime();
  const auto signs = LatestSigns();
  for (const auto& [id, row] : mDependencies.mDirectory.mRows) {
    if (!site::AcceptsWork(mDependencies.mDirectory, row.mServer) ||
        mDependencies.mChecks.IsSilent(site::StartOf(row.mServer)) ||
        IsGone(site::StartOf(row.mServer), now) ||
        (IsOn(mechanism::RunBreakers) &&
         !IsUsable(mHealths, id, mDependencies.mDirectory.mRows.size(), now))) {
      continue;
    }
    engine_view engine;
    engine.mId = id;
    engine.mStartedAt = row.mServer.mStartedAt;
    engine.mPool = row.mServer.mPool;
    engine.mAvailabilityZone = row.mServer.mAvailabilityZone;
    engine.mSlots = row.mServer.mSlots;
    engine.mIsWarming = now < site::WarmAt(row);
    engine.mRunsLeft = mDependencies.mLimits.RequestsLeft(row, now);
    engine.mTieBreak = RendezvousHash(id, mDependencies.mName);
    engine.mIdleConnections =
      mDependencies.mClients.UsableConnections(row.mServer.mAddress, now);
    engine.mVersions = row.mServer.mVersions;
    if (const auto seen = mSeenVersions.find(id); seen != mSeenVersions.end()) {
      for (const auto& [model, version] : seen->second) {
        engine.mVersions[model] = std::max(engine.mVersions[model], version);
      }
    }
    if (const auto runs = mRunsByServer.find(id); runs != mRunsByServer.end()) {
      engine.mOwnRuns = runs->second;
    }
    if (const auto* load = mDependencies.mLoads.Find(id, now);
        load && IsOn(mechanism::OtherLoad)) {
      engine.mOtherRuns = load->mOtherRequests;
    }
    if (const auto probe = mProbes.find(id); probe != mProbes.end()) {
      engine.mRunsLeft = probe->second == 0 ? std::min(engine.mRunsLeft, 1) : 0;
    }
    if (const auto sign = signs.find(site::StartOf(row.mServer));
        sign != signs.end()) {
      engine.mIsSilent = now - sign->second > kUsualSilence;
    }
    if (const auto blocked = mBlocked.find(id); blocked != mBlocked.end()) {
      engine.mBlockedUntil = blocked->second;
    }
    if (const auto speed = mSpeeds.find(id);
        speed != mSpeeds.end() && IsOn(mechanism::ServerSpeeds)) {
      engine.mRelativeTime =
        scheduling::RelativeTime(ExpectedEventTime(speed->second), median);
    }
    if (mDependencies.mConfiguration) {
      const auto& pools = mDependencies.mConfiguration->mPools;
      if (const auto pool = pools.find(engine.mPool);
          pool != pools.end() && pool->second.mEngine) {
        engine.mMemoryTokens = pool->second.mEngine->mMemoryTokens;
      }
    }
    engines.push_back(std::move(engine));
  }
  return engines;
}

std::map<site::server_start, time_point>
batch_runner::LatestSigns() const
{
  std::map<site::server_start, time_point> signs;
  for (const auto& [id, batch] : mBatches) {
    for (const auto& item : batch.mItems) {
      if (item.mPhase == item_phase::Running) {
        auto& sign = signs[ServerOf(item)];
        sign = std::max(sign, item.mLastEventAt);
      }
    }
  }
  return signs;
}

void
batch_runner::GiveUpItems(running_batch& aBatch)
{
  for (auto& item : aBatch.mItems) {
    if (item.mPhase == item_phase::Ended) {
      continue;
    }
    const auto route = RouteOf(aBatch, *item.mItem);
    if (!route) {
      continue;
    }
    const bool isOverdue = TimeUntilGivenUp(AgeOf(aBatch.mMetadata),
                                            route->mMaximumQueueTime) <= 0ms;
    // An earlier owner may have died before it could list the item.
    const bool hasFailed =
      item.mPhase == item_phase::Waiting &&
      HasFailedTooOften(item.mErrors, route->mMaximumAttempts);
    if (isOverdue || hasFailed) {
      StopRun(item);
      FinishItem(aBatch, item, item_end::GivenUp);
    }
  }
}

double
batch_runner::LongestWaiting()
{
  double longest = 0;
  for (auto& [id, batch] : mBatches) {
    for (auto& item : batch.mItems) {
      if (item.mPhase != item_phase::Waiting) {
        continue;
      }
      if (const auto route = RouteOf(batch, *item.mItem)) {
        longest = std::max(longest, EventsLeft(batch, item, *route).mMean);
      }
    }
  }
  return longest;
}

void
batch_runner::DispatchNow()
{
  dispatch_round round;
  round.mNow = boot_clock::now();
  ForgetOldSpeeds();
  ReleaseLatePlaces(round.mNow);
  for (auto& [id, batch] : mBatches) {
    StartReservedRuns(batch);
    StartMoves(batch);
  }
  round.mEngines = Engines();
  AddRunMemory(round.mEngines);
  round.mSuspects = AddSuspects(round.mEngines);
  ForgetOldEnds(mRecentEnds, round.mNow);
  round.mYoungServers =
    CountYoungServers(mDependencies.mDirectory,
                      mRecentEnds,
                      std::chrono::duration_cast<milliseconds>(
                        std::chrono::system_clock::now().time_since_epoch()));
  if (round.mNow - mWaitsReportedAt >= kWaitReportInterval) {
    mWaits.emplace();
  }
  for (auto& [id, batch] : mBatches) {
    CheckListedServers(batch);
    CountEarlierRuns(batch);
    batch.mListedEngines = ListedEngines(batch, round.mEngines);
    GiveUpItems(batch);
  }
  const auto waiting = SendableItems(round.mEngines, round.mNow);
  // Runs longer than every waiting item move first, which frees places for
  // these items; shorter runs move after the waiting items are placed.
  if (HasFasterServer(round.mEngines, round.mNow)) {
    MoveRuns(round.mEngines, LongestWaiting(), round.mNow);
  }
  for (const auto& next : waiting) {
    if (const auto reason = PlaceItem(next, round)) {
      RecordWait(
        *next.mBatch, next.mBatch->mItems[next.mIndex], *reason, round.mNow);
    }
  }
  if (!waiting.empty()) {
    MoveRuns(round.mEngines, 0, round.mNow);
  }
  if (mWaits) {
    PublishWaits(round.mNow);
  }
  ScheduleDispatch();
}

std::vector<batch_runner::waiting_item>
batch_runner::SendableItems(const std::vector<engine_view>& aEngines,
                            time_point aNow)
{
  std::vector<waiting_item> waiting;
  const auto ranks = GroupRanks(aEngines);
  for (auto& [id, batch] : mBatches) {
    const auto submitted = std::chrono::duration_cast<milliseconds>(
      batch.mMetadata.mSubmittedAt.time_since_epoch());
    bool hasUnstoredCount = false;
    for (std::size_t i = 0; i < batch.mItems.size(); ++i) {
      auto& item = batch.mItems[i];
      if (item.mPhase == item_phase::Scoring) {
        hasUnstoredCount |=
          RecordRewardWait(batch, item, aNow) == wait_reason::CountNotStored;
        continue;
      }
      if (item.mPhase != item_phase::Waiting &&
          item.mPhase != item_phase::Reserved) {
        item.mWait.reset();
        item.mApartSince.reset();
        continue;
      }
      if (!item.mWait) {
        item.mWait = item_wait{ aNow, std::nullopt, {} };
      }
      if (const auto reason = WaitReasonOf(batch, item)) {
        hasUnstoredCount |= reason == wait_reason::CountNotStored;
        RecordWait(batch, item, *reason, aNow);
        continue;
      }
      waiting.push_back(
        { { ranks.at(id)[batch.mGroupOf[i]],
            submitted.count(),
            IsOn(mechanism::LongestFirst) ? item.mItem->mExpectedTokens : 0 },
          &batch,
          i });
    }
    if (hasUnstoredCount) {
      mDependencies.mStoreRuns(id);
    }
  }
  std::stable_sort(
    waiting.begin(), waiting.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.mRank < aRight.mRank;
    });
  return waiting;
}

std::optional<wait_reason>
batch_runner::PlaceItem(const waiting_item& aNext, dispatch_round& aRound)
{
  auto& batch = *aNext.mBatch;
  auto& item = batch.mItems[aNext.mIndex];
  const auto route = RouteOf(batch, *item.mItem);
  if (!route) {
    return wait_reason::NoRoute;
  }
  auto& engines = aRound.mEngines;
  auto need = RequirementsOf(batch, item, *route);
  need.mSuspicion = SuspicionOf(item.mLedger);
  if (need.mSuspicion == suspicion::LastRun &&
      MustLastRunWait(mRecentEnds,
                      mDependencies.mDirectory.mRows.size(),
                      aRound.mYoungServers,
                      TimeSince(item.mWait->mSince, aRound.mNow),
                      aRound.mNow)) {
    return wait_reason::AwaitsCalm;
  }
  if (need.mSuspicion != suspicion::None) {
    need.mSuspectLimits =
      LimitsOf(aRound.mSuspects,
               CountSuitable(engines, need),
               TimeSince(item.mApartSince.value_or(aRound.mNow), aRound.mNow));
    need.mLostServers = ServersCounted(item.mLedger);
  }
  const auto chosen = ChooseServer(batch, item, need, aRound);
  if (!chosen) {
    if (!item.mApartSince && IsKeptApart(engines, need, aRound.mNow)) {
      item.mApartSince = aRound.mNow;
    }
    return mWaits && HasWaitedLong(*item.mWait, aRound.mNow)
             ? std::optional(WhyNotPlaced(engines, need, aRound.mNow))
             : std::nullopt;
  }
  auto& engine = engines[*chosen];
  if (need.mSuspicion != suspicion::None &&
      !IsKnownToRun(engine.mId, kKnownToRunTime, aRound.mNow)) {
    return wait_reason::ServerAsked;
  }
  ++engine.mOwnRuns;
  --engine.mIdleConnections;
  --engine.mRunsLeft;
  engine.mRunMemory.push_back(need.mMemory);
  SendItem(batch, aNext.mIndex, engine, *route);
  return std::nullopt;
}

void
batch_runner::SendItem(running_batch& aBatch,
                       std::size_t aIndex,
                       engine_view& aEngine,
                       const site::route& aRoute)
{
  auto& item = aBatch.mItems[aIndex];
  item.mSuspicion = SuspicionOf(item.mLedger);
  if (AreRunsPlaced(*item.mItem) && item.mSuspicion == suspicion::None) {
    SendPlaced(aBatch, aIndex, aEngine, aRoute);
    return;
  }
  DropPlan(item);
  item.mIsRunStored = !MayRunUnstored(item.mLedger);
  if (!item.mIsRunStored) {
    StartRun(aBatch, aIndex, aEngine, aRoute);
    return;
  }
  if (item.mSuspicion != suspicion::None) {
    CountSuspect(aEngine, item.mSuspicion);
  }
  ReserveRun(aBatch, aIndex, aEngine, aRoute);
}

void
batch_runner::ScheduleDispatch()
{
  const bool isBusy =
    std::any_of(mBatches.begin(), mBatches.end(), [](const auto& aEntry) {
      const auto& items = aEntry.second.mItems;
      return std::any_of(items.begin(), items.end(), [](const auto& aItem) {
        return aItem.mPhase != item_phase::Ended;
      });
    });
  if (!isBusy) {
    return;
  }
  mTimer.expires_after(kDispatchInterval);
  mTimer.async_wait([this](const auto& aError) {
    if (!aError) {
      Dispatch();
    }
  });
}

item_requirements
batch_runner::RequirementsOf(const running_batch& aBatch,
                             item_progress& aItem,
                             const site::route& aRoute)
{
  item_requirements need;
  for (const auto& pool : aRoute.mPools) {
    need.mPools.push_back(pool.mPool);
  }
  need.mModel = aBatch.mMetadata.mModel;
  need.mMinimumVersion = aBatch.mMetadata.mMinimumVersion;
  need.mGroup = aItem.mItem->mGroup;
  need.mListedEngines = &aBatch.mListedEngines;
  need.mAvoidedServer = aItem.mAvoidedServer;
  need.mMemory = MemoryOf(aBatch, aItem, aRoute);
  const auto* customer = site::FindCustomer(*mDependencies.mConfiguration,
                                            aBatch.mMetadata.mCustomer);
  if (!aRoute.mAllowedRegions.empty() ||
      (customer && !customer->mAllowedRegions.empty())) {
    need.mIsZoneAllowed = [this, &aRoute, customer](const std::string& aZone) {
      return site::IsZoneAllowed(
        mDependencies.mDirectory.mRegions, &aRoute, customer, aZone);
    };
  }
  return need;
}

} // namespace lavender::batches
