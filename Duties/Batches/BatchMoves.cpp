#include "Duties/Batches/BatchRunner.h"

#include "Libraries/Core/Mechanisms.h"
#include "Libraries/EventLog/EventLog.h"

#include <algorithm>

namespace lavender::batches {

using namespace std::chrono_literals;

namespace {

/** An estimate is renewed when the item has grown by this many events, or by an
 * eighth. */
constexpr int kEstimateStep = 4;
/** A server that ended before a run was moved away is known to have ended
 * within this time. */
constexpr milliseconds kMovedRunTime{ 5000 };
/** Time of an event while no server's speed is known. */
constexpr scheduling::event_time kAssumedEventTime{ 50 };

int
EventsOf(const item_progress& aItem)
{
  return static_cast<int>(aItem.mGenerated.mLastEvent.value_or(-1)) + 1;
}

} // namespace

void
batch_runner::ForgetOldSpeeds()
{
  const auto& rows = mDependencies.mDirectory.mRows;
  for (auto start = mStartTimes.begin(); start != mStartTimes.end();) {
    const auto row = rows.find(start->first);
    if (row != rows.end() && row->second.mServer.mStartedAt == start->second) {
      start = row->second.mServer.mIsLeaving ? mStartTimes.erase(start)
                                             : std::next(start);
      continue;
    }
    RecordEnd(mRecentEnds, { start->first, start->second }, boot_clock::now());
    mSpeeds.erase(start->first);
    start = mStartTimes.erase(start);
  }
  for (const auto& [id, row] : rows) {
    if (!row.mServer.mIsLeaving) {
      mStartTimes.emplace(id, row.mServer.mStartedAt);
    }
  }
}

void
batch_runner::LearnSpeeds(const batch_metadata& aMetadata)
{
  if (!scheduling::IsPossible(aMetadata.mMedianEventTime)) {
    return;
  }
  mToldMedians[aMetadata.mModel] = aMetadata.mMedianEventTime;
  auto listed = aMetadata.mServerSpeeds;
  listed.erase(std::remove_if(listed.begin(),
                              listed.end(),
                              [this](const auto& aSpeed) {
                                return mDependencies.mDirectory.mRows.count(
                                         aSpeed.mServer) == 0;
                              }),
               listed.end());
  scheduling::ApplyToldSpeeds(mSpeeds, listed);
}

std::vector<scheduling::told_speed>
batch_runner::MeasuredSpeeds() const
{
  return scheduling::SpeedsToTell(mSpeeds);
}

scheduling::event_time
batch_runner::MedianOfSpeeds() const
{
  return scheduling::MedianEventTime(mSpeeds).value_or(
    scheduling::event_time(0));
}

scheduling::event_time
batch_runner::UsualEventTime() const
{
  if (const auto measured = scheduling::MedianEventTime(mSpeeds)) {
    return *measured;
  }
  return mToldMedians.empty() ? kAssumedEventTime
                              : mToldMedians.begin()->second;
}

const site::engine_pool*
batch_runner::EnginePoolOf(const site::route& aRoute) const
{
  if (!mDependencies.mConfiguration) {
    return nullptr;
  }
  const auto& pools = mDependencies.mConfiguration->mPools;
  for (const auto& weighted : aRoute.mPools) {
    if (const auto pool = pools.find(weighted.mPool);
        pool != pools.end() && pool->second.mEngine) {
      return &*pool->second.mEngine;
    }
  }
  return nullptr;
}

double
batch_runner::HintedEvents(const batch_item& aItem,
                           const site::route& aRoute) const
{
  const auto* pool = EnginePoolOf(aRoute);
  const auto tokensPerEvent =
    pool ? std::max<std::int64_t>(1, pool->mTokensPerEvent) : 1;
  return static_cast<double>(aItem.mExpectedTokens) /
         static_cast<double>(tokensPerEvent);
}

scheduling::length_statistics
batch_runner::LengthsOf(const std::string& aModel) const
{
  const auto lengths = mLengths.find(aModel);
  return lengths == mLengths.end() ? scheduling::length_statistics()
                                   : lengths->second;
}

std::int64_t
batch_runner::LongItemTokens(const submission& aSubmission,
                             const std::string& aHost) const
{
  const auto route = mDependencies.mConfiguration
                       ? site::FindRoute(*mDependencies.mConfiguration,
                                         aHost,
                                         FirstPath(aSubmission))
                       : nullptr;
  if (!route) {
    return 0;
  }
  const auto statistics = LengthsOf(aSubmission.mModel);
  // A model that has mostly fast servers keeps them only if its items count as
  // long by the servers that it would get instead.
  auto usual = UsualEventTime();
  for (const auto& [model, median] : mToldMedians) {
    usual = std::max(usual, median);
  }
  const double eventsUntilDue =
    scheduling::event_time(route->mResultsDueAfter - kListingTime) / usual;
  std::int64_t tokens = 0;
  for (const auto& item : aSubmission.mItems) {
    const auto left =
      scheduling::EstimateRemaining(statistics, HintedEvents(item, *route), 0);
    tokens += left.mUpper > eventsUntilDue ? item.mExpectedTokens : 0;
  }
  return tokens;
}

scheduling::remaining_events
batch_runner::EventsLeft(const running_batch& aBatch,
                         item_progress& aItem,
                         const site::route& aRoute)
{
  const int events = EventsOf(aItem);
  const bool hasGrown =
    events >= aItem.mEstimatedAt + kEstimateStep + aItem.mEstimatedAt / 8 ||
    events < aItem.mEstimatedAt;
  if (!aItem.mLeft || hasGrown) {
    aItem.mLeft =
      scheduling::EstimateRemaining(LengthsOf(aBatch.mMetadata.mModel),
                                    HintedEvents(*aItem.mItem, aRoute),
                                    events);
    aItem.mEstimatedAt = events;
  }
  return *aItem.mLeft;
}

scheduling::run_memory
batch_runner::MemoryOf(const running_batch& aBatch,
                       item_progress& aItem,
                       const site::route& aRoute)
{
  const auto* pool = EnginePoolOf(aRoute);
  if (!pool || pool->mMemoryTokens <= 0 || pool->mTokensPerEvent <= 0) {
    return {};
  }
  const auto left = EventsLeft(aBatch, aItem, aRoute);
  const auto now =
    aItem.mItem->mPromptTokens + EventsOf(aItem) * pool->mTokensPerEvent;
  const auto growth = static_cast<std::int64_t>(
    left.mMean * static_cast<double>(pool->mTokensPerEvent));
  return { now, now + growth, left.mMean };
}

void
batch_runner::AddRunMemory(std::vector<engine_view>& aEngines)
{
  if (!IsOn(mechanism::MemoryFit)) {
    return;
  }
  std::map<std::string, engine_view*> byId;
  for (auto& engine : aEngines) {
    byId[engine.mId] = &engine;
  }
  for (auto& [id, batch] : mBatches) {
    for (auto& item : batch.mItems) {
      const auto engine = byId.find(item.mServer);
      if (item.mPhase != item_phase::Running || engine == byId.end()) {
        continue;
      }
      if (const auto route = RouteOf(batch, *item.mItem)) {
        engine->second->mRunMemory.push_back(MemoryOf(batch, item, *route));
      }
    }
  }
}

std::vector<movable_run>
batch_runner::MovableRuns(
  const std::vector<engine_view>& aEngines,
  std::vector<std::pair<running_batch*, std::size_t>>& aItems)
{
  std::map<std::string, std::size_t> byId;
  for (std::size_t i = 0; i < aEngines.size(); ++i) {
    byId[aEngines[i].mId] = i;
  }
  std::vector<movable_run> runs;
  for (auto& [id, batch] : mBatches) {
    for (std::size_t i = 0; i < batch.mItems.size(); ++i) {
      auto& item = batch.mItems[i];
      const auto server = byId.find(item.mServer);
      // A suspect stays where the store knows it.
      if (item.mPhase != item_phase::Running || server == byId.end() ||
          item.mIsRunStored || item.mMove || ServersLost(item.mLedger) > 0) {
        continue;
      }
      const auto route = RouteOf(batch, *item.mItem);
      if (!route || !route->mIsResumable) {
        continue;
      }
      runs.push_back({ server->second,
                       EventsLeft(batch, item, *route),
                       item.mMoves,
                       RequirementsOf(batch, item, *route) });
      aItems.emplace_back(&batch, i);
    }
  }
  return runs;
}

void
batch_runner::MoveRuns(std::vector<engine_view>& aEngines,
                       double aMinimumEvents,
                       time_point aNow)
{
  if (!IsOn(mechanism::SlowServerMoves) || !HasFasterServer(aEngines, aNow)) {
    return;
  }
  std::vector<std::pair<running_batch*, std::size_t>> items;
  const auto runs = MovableRuns(aEngines, items);
  for (const auto& move :
       ChooseMoves(aEngines, runs, UsualEventTime(), aMinimumEvents, aNow)) {
    auto& [batch, index] = items[move.mRun];
    auto& item = batch->mItems[index];
    if (aNow - item.mLastEventAt > kUsualSilence) {
      // The server may have ended without a word; the item is sent elsewhere
      // once that is counted.
      StopRun(item);
      CountCutOff(*batch, index, ServerOf(item), item.mServerAddress);
      continue;
    }
    const auto& row =
      mDependencies.mDirectory.mRows.at(aEngines[move.mServer].mId);
    const auto to = site::StartOf(row.mServer);
    if (MayMove(item.mLedger, ServerOf(item), to)) {
      RequestMove(*batch,
                  item,
                  { to,
                    runs[move.mRun].mLeft.mMean,
                    std::chrono::duration_cast<milliseconds>(move.mGain) });
    }
  }
}

void
batch_runner::RequestMove(running_batch& aBatch,
                          item_progress& aItem,
                          pending_move aMove)
{
  RecordPlacement(aItem.mLedger, ServerOf(aItem));
  RecordPlacement(aItem.mLedger, aMove.mTo);
  aItem.mMove = std::move(aMove);
  mDependencies.mStoreRuns(aBatch.mMetadata.mId);
}

void
batch_runner::StartMoves(running_batch& aBatch)
{
  const auto now = boot_clock::now();
  std::optional<std::vector<engine_view>> engines;
  for (std::size_t i = 0; i < aBatch.mItems.size(); ++i) {
    auto& item = aBatch.mItems[i];
    if (!item.mMove || !IsStored(item.mLedger, item.mMove->mTo) ||
        !IsStored(item.mLedger, ServerOf(item))) {
      continue;
    }
    if (!engines) {
      engines = Engines();
    }
    const auto engine =
      std::find_if(engines->begin(), engines->end(), [&](const auto& aEngine) {
        return aEngine.mId == item.mMove->mTo.mId &&
               aEngine.mStartedAt == item.mMove->mTo.mStartedAt &&
               HasRoom(aEngine, now);
      });
    const bool isLively = now - item.mLastEventAt <= kUsualSilence;
    if (engine == engines->end() || !isLively ||
        ServersLost(item.mLedger) > 0) {
      CancelMove(item);
      continue;
    }
    MoveRun(aBatch, i, *engine);
    ++engine->mOwnRuns;
    --engine->mRunsLeft;
  }
}

void
batch_runner::MoveRun(running_batch& aBatch,
                      std::size_t aIndex,
                      const engine_view& aEngine)
{
  auto& item = aBatch.mItems[aIndex];
  const auto route = RouteOf(aBatch, *item.mItem);
  if (!route) {
    CancelMove(item);
    return;
  }
  const auto move = *std::exchange(item.mMove, std::nullopt);
  events::line("item_moved")
    .With("request", item.mItem->mId)
    .With("batch", aBatch.mMetadata.mId)
    .With("server", item.mServer)
    .With("to", aEngine.mId)
    .With("events_left", static_cast<std::int64_t>(move.mEventsLeft))
    .With("gain_ms", static_cast<std::int64_t>(move.mGain.count()));
  mDependencies.mMetrics.Count("lavender_batch_moves_total", {});
  StopRun(item);
  auto& mayHaveEndedUntil = item.mEarlierRuns[ServerOf(item)];
  mayHaveEndedUntil =
    std::max(mayHaveEndedUntil, boot_clock::now() + kMovedRunTime);
  CheckMovedFrom(aBatch, aIndex);
  ++item.mMoves;
  StartRun(aBatch, aIndex, aEngine, *route);
}

void
batch_runner::CheckMovedFrom(const running_batch& aBatch, std::size_t aIndex)
{
  const auto& item = aBatch.mItems[aIndex];
  mDependencies.mChecks.Check(
    ServerOf(item),
    item.mServerAddress,
    [this, batchId = aBatch.mMetadata.mId, aIndex, server = ServerOf(item)](
      site::server_fate aFate) {
      if (const auto batch = mBatches.find(batchId);
          batch != mBatches.end() && aIndex < batch->second.mItems.size()) {
        HandleMovedFate(batch->second, aIndex, server, aFate);
      }
    });
}

void
batch_runner::HandleMovedFate(running_batch& aBatch,
                              std::size_t aIndex,
                              const site::server_start& aServer,
                              site::server_fate aFate)
{
  if (aFate == site::server_fate::Ended) {
    RecordEnd(mRecentEnds, aServer, boot_clock::now());
    return;
  }
  auto& runs = aBatch.mItems[aIndex].mEarlierRuns;
  const auto run = runs.find(aServer);
  if (aFate == site::server_fate::Running && run != runs.end() &&
      !aBatch.mHadOtherOwner) {
    run->second = std::min(run->second, boot_clock::now() + kDropTime);
  }
}

void
batch_runner::CancelMove(item_progress& aItem)
{
  if (const auto move = std::exchange(aItem.mMove, std::nullopt)) {
    RecordFate(aItem.mLedger, move->mTo, run_fate::Survived);
  }
}

void
batch_runner::RecordEstimate(const item_progress& aItem) const
{
  const bool isLate = boot_clock::now() > aItem.mExpectedEnd;
  mDependencies.mMetrics.Count(
    "lavender_run_estimates_total",
    { { "result", isLate ? "later_than_expected" : "in_time" } });
}

} // namespace lavender::batches
