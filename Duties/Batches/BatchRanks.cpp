#include "Duties/Batches/BatchRunner.h"

#include "Libraries/Core/Mechanisms.h"
#include "Libraries/EventLog/EventLog.h"

#include <algorithm>
#include <numeric>

namespace lavender::batches {

namespace {

using seconds = std::chrono::duration<double>;

/** Stands for the time of an item that no route of the configuration takes, or
 * that isn't sent any more. */
constexpr seconds kNever = std::chrono::hours(24);

const char*
ToString(scheduling::group_standing aStanding)
{
  switch (aStanding) {
    case scheduling::group_standing::InTime:
      return "in_time";
    case scheduling::group_standing::NoRoom:
      return "no_room";
    case scheduling::group_standing::Surplus:
      return "surplus";
    case scheduling::group_standing::Late:
      return "late";
    case scheduling::group_standing::Complete:
      return "complete";
  }
  return "";
}

bool
IsDeferred(scheduling::group_standing aStanding)
{
  return aStanding == scheduling::group_standing::NoRoom ||
         aStanding == scheduling::group_standing::Late;
}

/** Number of runs that the servers hold for batches of the model. Servers that
 * hold a version which is new enough for one of the batches count. */
int
PlacesOf(const std::vector<engine_view>& aEngines,
         const std::string& aModel,
         std::int64_t aMinimumVersion)
{
  int places = 0;
  for (const auto& engine : aEngines) {
    const auto version = engine.mVersions.find(aModel);
    const bool isUsable =
      aModel.empty() ||
      (version != engine.mVersions.end() && version->second >= aMinimumVersion);
    places += isUsable ? std::max(0, engine.mSlots - engine.mOtherRuns) : 0;
  }
  return places;
}

/** Time of an event on the fastest of the servers, relative to a usual one; a
 * long run may move there. */
double
FastestEventTime(const std::vector<engine_view>& aEngines)
{
  double fastest = 1;
  for (const auto& engine : aEngines) {
    fastest = std::min(fastest, engine.mRelativeTime);
  }
  return fastest;
}

} // namespace

batch_runner::run_time
batch_runner::TimeLeftOf(const running_batch& aBatch,
                         item_progress& aItem,
                         scheduling::event_time aUsual,
                         scheduling::event_time aFastest)
{
  const auto route = RouteOf(aBatch, *aItem.mItem);
  const bool isBarred = aItem.mPhase == item_phase::Waiting &&
                        SuspicionOf(aItem.mLedger) == suspicion::Barred;
  if (!route || isBarred) {
    return { seconds(0), kNever };
  }
  auto eventTime = aUsual;
  if (const auto speed = mSpeeds.find(aItem.mServer);
      speed != mSpeeds.end() && aItem.mPhase == item_phase::Running) {
    eventTime = ExpectedEventTime(speed->second).value_or(eventTime);
  }
  const auto left = EventsLeft(aBatch, aItem, *route);
  // Lengths are off by factors: the bound below the mean is as far off as the
  // one above it.
  const double least = left.mMean * std::min(1.0, left.mMean / left.mUpper);
  return { left.mMean * eventTime, least * aFastest };
}

scheduling::open_step
batch_runner::StepOf(running_batch& aBatch,
                     scheduling::event_time aUsual,
                     scheduling::event_time aFastest)
{
  scheduling::open_step step;
  step.mTimeLeft = DueIn(aBatch) - kListingTime;
  step.mGroups.resize(aBatch.mGroupCount);
  for (std::size_t i = 0; i < aBatch.mItems.size(); ++i) {
    auto& item = aBatch.mItems[i];
    if (item.mPhase != item_phase::Waiting &&
        item.mPhase != item_phase::Reserved &&
        item.mPhase != item_phase::Running) {
      continue;
    }
    auto& group = step.mGroups[aBatch.mGroupOf[i]];
    const auto left = TimeLeftOf(aBatch, item, aUsual, aFastest);
    ++group.mOpenItems;
    group.mWork += left.mMean;
    group.mLongest = std::max(group.mLongest, left.mLeast);
  }
  int target = aBatch.mMetadata.mTargetGroups;
  for (std::size_t i = 0; i < step.mGroups.size(); ++i) {
    step.mGroups[i].mLastStanding = aBatch.mStandings[i];
    target -= step.mGroups[i].mOpenItems == 0 ? 1 : 0;
  }
  step.mTargetGroups = static_cast<std::size_t>(std::max(0, target));
  return step;
}

void
batch_runner::RecordStandings(
  running_batch& aBatch,
  const scheduling::open_step& aStep,
  const std::vector<scheduling::ranked_group>& aRanks)
{
  for (std::size_t i = 0; i < aRanks.size(); ++i) {
    const auto before =
      std::exchange(aBatch.mStandings[i], aRanks[i].mStanding);
    if (before == aRanks[i].mStanding) {
      continue;
    }
    mDependencies.mMetrics.Count("lavender_batch_groups_total",
                                 { { "standing", ToString(before) },
                                   { "to", ToString(aRanks[i].mStanding) } });
    if (!IsDeferred(aRanks[i].mStanding) || aBatch.mWasDeferred[i]) {
      continue;
    }
    aBatch.mWasDeferred[i] = true;
    const auto inMs = [](seconds aTime) {
      return std::chrono::duration_cast<milliseconds>(aTime).count();
    };
    events::line("group_deferred")
      .With("batch", aBatch.mMetadata.mId)
      .With("group", static_cast<std::int64_t>(i))
      .With("standing", ToString(aRanks[i].mStanding))
      .With("time_left_ms", inMs(aStep.mTimeLeft))
      .With("work_left_ms", inMs(aStep.mGroups[i].mWork))
      .With("longest_ms", inMs(aStep.mGroups[i].mLongest));
  }
}

void
batch_runner::RankModel(const std::vector<running_batch*>& aBatches,
                        const std::vector<engine_view>& aEngines,
                        group_ranks& aRanks)
{
  const auto usual = UsualEventTime();
  const auto fastest = FastestEventTime(aEngines) * usual;
  std::vector<scheduling::open_step> steps;
  auto version = aBatches.front()->mMetadata.mMinimumVersion;
  for (auto* batch : aBatches) {
    steps.push_back(StepOf(*batch, usual, fastest));
    version = std::min(version, batch->mMetadata.mMinimumVersion);
  }
  const auto places =
    PlacesOf(aEngines, aBatches.front()->mMetadata.mModel, version);
  if (places <= 0) {
    // No server holds the model yet.
    for (const auto* batch : aBatches) {
      aRanks[batch->mMetadata.mId].assign(batch->mGroupCount, 0);
    }
    return;
  }
  const auto ranked = scheduling::RankSteps(steps, places);
  for (std::size_t i = 0; i < aBatches.size(); ++i) {
    RecordStandings(*aBatches[i], steps[i], ranked[i]);
    auto& ranks = aRanks[aBatches[i]->mMetadata.mId];
    for (const auto& group : ranked[i]) {
      ranks.push_back(group.mRank);
    }
  }
}

std::vector<std::size_t>
batch_runner::OrderOfItems(running_batch& aBatch,
                           const std::vector<engine_view>& aEngines)
{
  std::vector<std::size_t> ranks(aBatch.mGroupCount, 0);
  const auto places = PlacesOf(
    aEngines, aBatch.mMetadata.mModel, aBatch.mMetadata.mMinimumVersion);
  if (places > 0 && IsOn(mechanism::GroupOrder) &&
      scheduling::MedianEventTime(mSpeeds)) {
    const auto usual = UsualEventTime();
    const auto step = StepOf(aBatch, usual, FastestEventTime(aEngines) * usual);
    const auto ranked = scheduling::RankSteps({ step }, places).front();
    for (std::size_t i = 0; i < ranked.size(); ++i) {
      ranks[i] = ranked[i].mRank;
    }
  }
  std::vector<std::size_t> order(aBatch.mItems.size());
  std::iota(order.begin(), order.end(), std::size_t{ 0 });
  const auto priority = [&](std::size_t aItem) {
    const auto tokens = IsOn(mechanism::LongestFirst)
                          ? aBatch.mItems[aItem].mItem->mExpectedTokens
                          : 0;
    return item_priority{ ranks[aBatch.mGroupOf[aItem]], 0, tokens };
  };
  std::stable_sort(order.begin(), order.end(), [&](auto aLeft, auto aRight) {
    return priority(aLeft) < priority(aRight);
  });
  return order;
}

batch_runner::group_ranks
batch_runner::GroupRanks(const std::vector<engine_view>& aEngines)
{
  group_ranks ranks;
  std::map<std::string, std::vector<running_batch*>> models;
  for (auto& [id, batch] : mBatches) {
    models[batch.mMetadata.mModel].push_back(&batch);
    ranks[id].clear();
  }
  if (!IsOn(mechanism::GroupOrder) || !scheduling::MedianEventTime(mSpeeds)) {
    for (const auto& [id, batch] : mBatches) {
      ranks[id].assign(batch.mGroupCount, 0);
    }
    return ranks;
  }
  for (auto& [model, batches] : models) {
    std::sort(batches.begin(), batches.end(), [](auto* aLeft, auto* aRight) {
      return aLeft->mMetadata.mSubmittedAt < aRight->mMetadata.mSubmittedAt;
    });
    RankModel(batches, aEngines, ranks);
  }
  return ranks;
}

} // namespace lavender::batches
