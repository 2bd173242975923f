#include "Bench/Experiments.h"
#include "Bench/Results.h"
#include "Duties/Batches/Schedule.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <numeric>
#include <random>
#include <set>

/** Compares start orders and server placements of a step's items on an emulated
 * pool of model engines, each of which shares its time between its runs. */
namespace lavender::bench {
namespace {

using namespace std::chrono_literals;

/** Size of one model's pool and of one step of its trainer. */
struct step_shape
{
  const char* mName;
  int mServers;
  int mSlots;
  int mGroups;
  int mGroupSize;
  double mMeanEvents;
};

/** Large steps of two small deployments, and a step of the planned size. */
constexpr step_shape kShapes[] = {
  { "26 groups of 4, 5 servers of 12", 5, 12, 26, 4, 20 },
  { "17 groups of 8, 11 servers of 6", 11, 6, 17, 8, 14 },
  { "128 groups of 8, 70 servers of 6", 70, 6, 128, 8, 14 }
};

/** Standard deviations of the logarithm of the sample lengths, and of the error
 * of the caller's length estimates. */
constexpr double kLengthSpread = 0.84;
constexpr double kEstimateSpread = 0.5;
constexpr double kMaximumEvents = 140;
/** Share of the groups that must be complete before the trainer continues. */
constexpr double kRequiredShare = 0.9;
constexpr int kPromptTokens = 1000;
constexpr double kPrefillTokensPerMillisecond = 491;
/** Tokens of one event, and the duration of one engine step. Each engine step
 * generates one token of each of the engine's runs. */
constexpr int kTokensPerEvent = 51;
constexpr double kStepMilliseconds = 0.569;
constexpr double kStepMillisecondsPerRun = 0.0226;
constexpr double kTickMilliseconds = 4;
constexpr int kSeeds = 40;

struct sample
{
  int mGroup = 0;
  double mEvents = 0;
  double mEstimate = 0;
  double mEventsDone = 0;
  double mPromptLeft = 0;
  int mServer = -1;
  bool mHasEnded = false;
};

/** Sorts the indices of the samples into their start order. */
using ordering = std::function<void(std::vector<std::size_t>&,
                                    const std::vector<sample>&,
                                    const step_shape&,
                                    std::mt19937_64&)>;

std::vector<double>
LongestEstimateByGroup(const std::vector<sample>& aSamples,
                       const step_shape& aShape)
{
  std::vector<double> longest(static_cast<std::size_t>(aShape.mGroups));
  for (const auto& sample : aSamples) {
    auto& estimate = longest[static_cast<std::size_t>(sample.mGroup)];
    estimate = std::max(estimate, sample.mEstimate);
  }
  return longest;
}

void
KeepSubmissionOrder(std::vector<std::size_t>&,
                    const std::vector<sample>&,
                    const step_shape&,
                    std::mt19937_64&)
{
}

void
ShuffleRandomly(std::vector<std::size_t>& aOrder,
                const std::vector<sample>&,
                const step_shape&,
                std::mt19937_64& aRandom)
{
  std::shuffle(aOrder.begin(), aOrder.end(), aRandom);
}

/** The order within the groups that the production scheduler runs first. */
void
LongestFirst(std::vector<std::size_t>& aOrder,
             const std::vector<sample>& aSamples,
             const step_shape&,
             std::mt19937_64&)
{
  std::stable_sort(
    aOrder.begin(), aOrder.end(), [&](std::size_t aLeft, std::size_t aRight) {
      const auto rank = [&](std::size_t aIndex) {
        return batches::item_priority{
          0, 0, std::llround(aSamples[aIndex].mEstimate * kTokensPerEvent)
        };
      };
      return rank(aLeft) < rank(aRight);
    });
}

/** Starts the groups one after the other, shortest estimate first. */
void
ShortestGroupFirst(std::vector<std::size_t>& aOrder,
                   const std::vector<sample>& aSamples,
                   const step_shape& aShape,
                   std::mt19937_64&)
{
  const auto longest = LongestEstimateByGroup(aSamples, aShape);
  std::stable_sort(
    aOrder.begin(), aOrder.end(), [&](std::size_t aLeft, std::size_t aRight) {
      const auto group = [&](std::size_t aIndex) {
        return longest[static_cast<std::size_t>(aSamples[aIndex].mGroup)];
      };
      return group(aLeft) < group(aRight);
    });
}

/** Longest first, but the groups that the trainer doesn't require start last.
 * These are the groups with the longest estimates. */
void
SpareGroupsLast(std::vector<std::size_t>& aOrder,
                const std::vector<sample>& aSamples,
                const step_shape& aShape,
                std::mt19937_64& aRandom)
{
  LongestFirst(aOrder, aSamples, aShape, aRandom);
  const auto longest = LongestEstimateByGroup(aSamples, aShape);
  std::vector<std::size_t> groups(longest.size());
  std::iota(groups.begin(), groups.end(), 0);
  std::stable_sort(groups.begin(), groups.end(), [&](auto aLeft, auto aRight) {
    return longest[aLeft] < longest[aRight];
  });
  const auto required =
    static_cast<std::size_t>(std::ceil(kRequiredShare * aShape.mGroups));
  const std::set<std::size_t> spare(
    groups.begin() + static_cast<std::ptrdiff_t>(required), groups.end());
  std::stable_partition(aOrder.begin(), aOrder.end(), [&](std::size_t aIndex) {
    return spare.count(static_cast<std::size_t>(aSamples[aIndex].mGroup)) == 0;
  });
}

enum class placement
{
  /** The production choice: the least loaded server, with affinity of a group
   * to its first server. */
  GroupOnOneServer,
  LeastLoaded,
  Random
};

struct step_outcome
{
  double mElapsedMilliseconds = 0;
  int mPromptTokens = 0;
};

/** Emulates one step until the required share of the groups is complete. */
class emulated_step
{
public:
  emulated_step(const step_shape& aShape,
                const ordering& aOrdering,
                placement aPlacement,
                std::uint64_t aSeed)
    : mShape(aShape)
    , mPlacement(aPlacement)
    , mRandom(aSeed)
    , mLeftInGroup(static_cast<std::size_t>(aShape.mGroups), aShape.mGroupSize)
    , mCachedPrompts(static_cast<std::size_t>(aShape.mServers))
  {
    MakeSamples();
    mWaiting.resize(mSamples.size());
    std::iota(mWaiting.begin(), mWaiting.end(), 0);
    aOrdering(mWaiting, mSamples, mShape, mRandom);
    for (int i = 0; i < mShape.mServers; ++i) {
      batches::engine_view engine;
      engine.mId = std::to_string(i);
      engine.mPool = "pool";
      engine.mSlots = mShape.mSlots;
      mEngines.push_back(engine);
    }
  }

  step_outcome Run()
  {
    const int required =
      static_cast<int>(std::ceil(kRequiredShare * mShape.mGroups));
    while (mCompleteGroups < required) {
      StartWaiting();
      Tick();
    }
    return mOutcome;
  }

private:
  void MakeSamples()
  {
    std::lognormal_distribution<double> length(
      std::log(mShape.mMeanEvents) - kLengthSpread * kLengthSpread / 2,
      kLengthSpread);
    std::lognormal_distribution<double> error(0, kEstimateSpread);
    for (int group = 0; group < mShape.mGroups; ++group) {
      for (int i = 0; i < mShape.mGroupSize; ++i) {
        sample made;
        made.mGroup = group;
        made.mEvents =
          std::clamp(std::round(length(mRandom)), 1.0, kMaximumEvents);
        made.mEstimate = made.mEvents * error(mRandom);
        mSamples.push_back(made);
      }
    }
  }

  std::optional<std::size_t> Choose(const sample& aSample)
  {
    batches::item_requirements need;
    need.mPools = { "pool" };
    need.mGroup = std::to_string(aSample.mGroup);
    if (mPlacement == placement::Random) {
      std::vector<std::size_t> free;
      for (std::size_t i = 0; i < mEngines.size(); ++i) {
        if (mEngines[i].mOwnRuns < mEngines[i].mSlots) {
          free.push_back(i);
        }
      }
      if (free.empty()) {
        return std::nullopt;
      }
      return free[std::uniform_int_distribution<std::size_t>(
        0, free.size() - 1)(mRandom)];
    }
    static const batches::group_affinities kNoAffinities;
    return batches::ChooseEngine(
      mEngines,
      need,
      mPlacement == placement::GroupOnOneServer ? mAffinities : kNoAffinities,
      mNow);
  }

  void StartWaiting()
  {
    while (mNext < mWaiting.size()) {
      auto& started = mSamples[mWaiting[mNext]];
      const auto chosen = Choose(started);
      if (!chosen) {
        return;
      }
      ++mNext;
      started.mServer = static_cast<int>(*chosen);
      ++mEngines[*chosen].mOwnRuns;
      mAffinities[std::to_string(started.mGroup)] = { mEngines[*chosen].mId,
                                                      mNow };
      if (mCachedPrompts[*chosen].insert(started.mGroup).second) {
        started.mPromptLeft = kPromptTokens;
        mOutcome.mPromptTokens += kPromptTokens;
      }
      mRunning.push_back(mWaiting[mNext - 1]);
    }
  }

  void Tick()
  {
    mOutcome.mElapsedMilliseconds += kTickMilliseconds;
    std::vector<std::size_t> left;
    std::vector<int> ended(mEngines.size());
    for (const auto index : mRunning) {
      auto& run = mSamples[index];
      const auto server = static_cast<std::size_t>(run.mServer);
      const double step =
        kStepMilliseconds + kStepMillisecondsPerRun * mEngines[server].mOwnRuns;
      if (run.mPromptLeft > 0) {
        run.mPromptLeft -= kTickMilliseconds * kPrefillTokensPerMillisecond;
      } else {
        run.mEventsDone += kTickMilliseconds / (step * kTokensPerEvent);
      }
      if (run.mEventsDone < run.mEvents) {
        left.push_back(index);
        continue;
      }
      ++ended[server];
      mCompleteGroups +=
        --mLeftInGroup[static_cast<std::size_t>(run.mGroup)] == 0;
    }
    for (std::size_t i = 0; i < mEngines.size(); ++i) {
      mEngines[i].mOwnRuns -= ended[i];
    }
    mRunning = std::move(left);
  }

  const step_shape mShape;
  const placement mPlacement;
  const time_point mNow{ 1h };
  std::mt19937_64 mRandom;
  std::vector<sample> mSamples;
  std::vector<std::size_t> mWaiting;
  std::size_t mNext = 0;
  std::vector<std::size_t> mRunning;
  std::vector<batches::engine_view> mEngines;
  std::vector<int> mLeftInGroup;
  /** For each server, the groups whose prompt it has processed. */
  std::vector<std::set<int>> mCachedPrompts;
  batches::group_affinities mAffinities;
  int mCompleteGroups = 0;
  step_outcome mOutcome;
};

struct policy
{
  const char* mName;
  ordering mOrdering;
  placement mPlacement;
};

const std::vector<policy>&
Policies()
{
  static const std::vector<policy> kPolicies = {
    { "as submitted, random server", KeepSubmissionOrder, placement::Random },
    { "random, least loaded", ShuffleRandomly, placement::LeastLoaded },
    { "as submitted, least loaded",
      KeepSubmissionOrder,
      placement::LeastLoaded },
    { "longest first, least loaded", LongestFirst, placement::LeastLoaded },
    { "shortest group first, group on one server",
      ShortestGroupFirst,
      placement::GroupOnOneServer },
    { "spare groups last, group on one server",
      SpareGroupsLast,
      placement::GroupOnOneServer },
    { "longest first, group on one server (shipped)",
      LongestFirst,
      placement::GroupOnOneServer },
  };
  return kPolicies;
}

} // namespace

void
RunBatchOrder(const experiment_options& aOptions)
{
  csv_file csv(aOptions.mFolder + "/batch-order.csv",
               { "step", "policy", "mean_ms", "worst_ms", "prompt_tokens" });
  for (const auto& shape : kShapes) {
    for (const auto& policy : Policies()) {
      double sum = 0;
      double worst = 0;
      double tokens = 0;
      for (int seed = 0; seed < kSeeds; ++seed) {
        const auto outcome =
          emulated_step(shape,
                        policy.mOrdering,
                        policy.mPlacement,
                        aOptions.mSeed + static_cast<std::uint64_t>(seed))
            .Run();
        sum += outcome.mElapsedMilliseconds;
        worst = std::max(worst, outcome.mElapsedMilliseconds);
        tokens += outcome.mPromptTokens;
      }
      csv.WriteRow({ shape.mName,
                     policy.mName,
                     Format(sum / kSeeds),
                     Format(worst),
                     Format(tokens / kSeeds) });
    }
  }
}

} // namespace lavender::bench
