#include "Bench/Experiments.h"
#include "Bench/Results.h"
#include "Duties/Batches/Schedule.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <numeric>
#include <random>
#include <set>

/** Orders in which a step's items run and servers that they run on, on an
 * emulated pool of model engines that share their time between their runs. */
namespace lavender::bench {
namespace {

using namespace std::chrono_literals;

/** One model's servers and one step of its trainer. */
struct shape
{
  const char* mName;
  int mServers;
  int mSlots;
  int mGroups;
  int mGroupSize;
  double mMeanEvents;
};

/** A small deployment's larger step, and a step of the size planned for. */
constexpr shape kShapes[] = {
  { "26 groups of 4, 5 servers of 12", 5, 12, 26, 4, 20 },
  { "17 groups of 8, 11 servers of 6", 11, 6, 17, 8, 14 },
  { "128 groups of 8, 70 servers of 6", 70, 6, 128, 8, 14 }
};

/** Spread of the lengths, and of a caller's guesses of them, as the standard
 * deviation of their logarithm. */
constexpr double kLengthSpread = 0.84;
constexpr double kGuessSpread = 0.5;
constexpr double kLongest = 140;
/** Share of the groups that the trainer waits for. */
constexpr double kWanted = 0.9;
constexpr int kPromptTokens = 1000;
constexpr double kTokensReadPerMillisecond = 491;
/** Tokens of one event, and the time of one step of an engine, which makes one
 * token of each run. */
constexpr int kTokensPerEvent = 51;
constexpr double kStepMilliseconds = 0.569;
constexpr double kStepMillisecondsPerRun = 0.0226;
constexpr double kTickMilliseconds = 4;
constexpr int kSeeds = 40;

struct sample
{
  int mGroup = 0;
  double mEvents = 0;
  double mGuess = 0;
  double mDone = 0;
  double mPromptLeft = 0;
  int mServer = -1;
  bool mIsEnded = false;
};

/** Puts the samples in the order in which they are to start. */
using ordering = std::function<void(std::vector<std::size_t>&,
                                    const std::vector<sample>&,
                                    const shape&,
                                    std::mt19937_64&)>;

std::vector<double>
LongestGuessByGroup(const std::vector<sample>& aSamples, const shape& aShape)
{
  std::vector<double> longest(static_cast<std::size_t>(aShape.mGroups));
  for (const auto& sample : aSamples) {
    auto& guess = longest[static_cast<std::size_t>(sample.mGroup)];
    guess = std::max(guess, sample.mGuess);
  }
  return longest;
}

void
AsSubmitted(std::vector<std::size_t>&,
            const std::vector<sample>&,
            const shape&,
            std::mt19937_64&)
{
}

void
AtRandom(std::vector<std::size_t>& aOrder,
         const std::vector<sample>&,
         const shape&,
         std::mt19937_64& aRandom)
{
  std::shuffle(aOrder.begin(), aOrder.end(), aRandom);
}

/** The shipped order. */
void
LongestFirst(std::vector<std::size_t>& aOrder,
             const std::vector<sample>& aSamples,
             const shape&,
             std::mt19937_64&)
{
  std::stable_sort(
    aOrder.begin(), aOrder.end(), [&](std::size_t aLeft, std::size_t aRight) {
      const auto rank = [&](std::size_t aPlace) {
        return batches::item_priority{
          0, std::llround(aSamples[aPlace].mGuess * kTokensPerEvent)
        };
      };
      return rank(aLeft) < rank(aRight);
    });
}

/** The groups that look shortest, one after the other. */
void
ShortestGroupFirst(std::vector<std::size_t>& aOrder,
                   const std::vector<sample>& aSamples,
                   const shape& aShape,
                   std::mt19937_64&)
{
  const auto longest = LongestGuessByGroup(aSamples, aShape);
  std::stable_sort(
    aOrder.begin(), aOrder.end(), [&](std::size_t aLeft, std::size_t aRight) {
      const auto group = [&](std::size_t aPlace) {
        return longest[static_cast<std::size_t>(aSamples[aPlace].mGroup)];
      };
      return group(aLeft) < group(aRight);
    });
}

/** The longest first, but the groups that the trainer can do without, which are
 * those that look longest, after all others. */
void
SpareGroupsLast(std::vector<std::size_t>& aOrder,
                const std::vector<sample>& aSamples,
                const shape& aShape,
                std::mt19937_64& aRandom)
{
  LongestFirst(aOrder, aSamples, aShape, aRandom);
  const auto longest = LongestGuessByGroup(aSamples, aShape);
  std::vector<std::size_t> groups(longest.size());
  std::iota(groups.begin(), groups.end(), 0);
  std::stable_sort(groups.begin(), groups.end(), [&](auto aLeft, auto aRight) {
    return longest[aLeft] < longest[aRight];
  });
  const auto wanted =
    static_cast<std::size_t>(std::ceil(kWanted * aShape.mGroups));
  const std::set<std::size_t> spare(
    groups.begin() + static_cast<std::ptrdiff_t>(wanted), groups.end());
  std::stable_partition(aOrder.begin(), aOrder.end(), [&](std::size_t aPlace) {
    return spare.count(static_cast<std::size_t>(aSamples[aPlace].mGroup)) == 0;
  });
}

enum class placement
{
  /** The shipped choice: least loaded, a group near its first server. */
  GroupOnOneServer,
  LeastLoaded,
  Random
};

struct step_outcome
{
  double mWantedAfter = 0;
  int mPromptTokensRead = 0;
};

/** Runs one step on the emulated servers until the wanted groups are whole. */
class emulated_step
{
public:
  emulated_step(const shape& aShape,
                const ordering& aOrdering,
                placement aPlacement,
                std::uint64_t aSeed)
    : mShape(aShape)
    , mPlacement(aPlacement)
    , mRandom(aSeed)
    , mLeftInGroup(static_cast<std::size_t>(aShape.mGroups), aShape.mGroupSize)
    , mPrompts(static_cast<std::size_t>(aShape.mServers))
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
    const int wanted = static_cast<int>(std::ceil(kWanted * mShape.mGroups));
    while (mWholeGroups < wanted) {
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
    std::lognormal_distribution<double> error(0, kGuessSpread);
    for (int group = 0; group < mShape.mGroups; ++group) {
      for (int i = 0; i < mShape.mGroupSize; ++i) {
        sample made;
        made.mGroup = group;
        made.mEvents = std::clamp(std::round(length(mRandom)), 1.0, kLongest);
        made.mGuess = made.mEvents * error(mRandom);
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
    static const batches::group_affinities kNoHomes;
    return batches::ChooseEngine(
      mEngines,
      need,
      mPlacement == placement::GroupOnOneServer ? mHomes : kNoHomes,
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
      mHomes[std::to_string(started.mGroup)] = { mEngines[*chosen].mId, mNow };
      if (mPrompts[*chosen].insert(started.mGroup).second) {
        started.mPromptLeft = kPromptTokens;
        mOutcome.mPromptTokensRead += kPromptTokens;
      }
      mRunning.push_back(mWaiting[mNext - 1]);
    }
  }

  void Tick()
  {
    mOutcome.mWantedAfter += kTickMilliseconds;
    std::vector<std::size_t> left;
    std::vector<int> ended(mEngines.size());
    for (const auto place : mRunning) {
      auto& run = mSamples[place];
      const auto server = static_cast<std::size_t>(run.mServer);
      const double step =
        kStepMilliseconds + kStepMillisecondsPerRun * mEngines[server].mOwnRuns;
      if (run.mPromptLeft > 0) {
        run.mPromptLeft -= kTickMilliseconds * kTokensReadPerMillisecond;
      } else {
        run.mDone += kTickMilliseconds / (step * kTokensPerEvent);
      }
      if (run.mDone < run.mEvents) {
        left.push_back(place);
        continue;
      }
      ++ended[server];
      mWholeGroups += --mLeftInGroup[static_cast<std::size_t>(run.mGroup)] == 0;
    }
    for (std::size_t i = 0; i < mEngines.size(); ++i) {
      mEngines[i].mOwnRuns -= ended[i];
    }
    mRunning = std::move(left);
  }

  const shape mShape;
  const placement mPlacement;
  const time_point mNow{ 1h };
  std::mt19937_64 mRandom;
  std::vector<sample> mSamples;
  std::vector<std::size_t> mWaiting;
  std::size_t mNext = 0;
  std::vector<std::size_t> mRunning;
  std::vector<batches::engine_view> mEngines;
  std::vector<int> mLeftInGroup;
  /** Groups whose prompt each server has read. */
  std::vector<std::set<int>> mPrompts;
  batches::group_affinities mHomes;
  int mWholeGroups = 0;
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
    { "as submitted, random server", AsSubmitted, placement::Random },
    { "random, least loaded", AtRandom, placement::LeastLoaded },
    { "as submitted, least loaded", AsSubmitted, placement::LeastLoaded },
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
        sum += outcome.mWantedAfter;
        worst = std::max(worst, outcome.mWantedAfter);
        tokens += outcome.mPromptTokensRead;
      }
      csv.Row({ shape.mName,
                policy.mName,
                Text(sum / kSeeds),
                Text(worst),
                Text(tokens / kSeeds) });
    }
  }
}

} // namespace lavender::bench
