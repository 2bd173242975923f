// Compares policies for the stragglers of a training step on the same seeded
// steps: waiting, spare samples, racing a second run, and restarting the runs
// of slow servers.
//
// Everything is simulated: servers with slots and a speed, responses with a
// heavy-tailed length distribution, one server that is five times slower, and
// runs that hang. Prints CSV, one line for each policy.

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace {

constexpr int kServers = 9;
constexpr int kSlots = 16;
constexpr int kGroups = 128;
constexpr int kSamplesPerGroup = 8;
constexpr double kSecondsPerToken = 0.02;
constexpr double kMedianTokens = 300;
constexpr double kLengthSpread = 0.8;
constexpr double kMaximumTokens = 4000;
constexpr double kSlowFactor = 5;
constexpr double kHangShare = 0.002;
/** Seconds after which a run that hangs is cancelled and started again. */
constexpr double kRunTimeout = 120;
constexpr int kSteps = 200;

enum class policy
{
  Wait,
  Spares,
  Race,
  RestartOnSlowServer,
  ResumeOnSlowServer,
  /** Like RestartOnSlowServer, and slow servers get no new samples. */
  AvoidAndRestart,
  /** Slow servers get no new samples. Only runs that reach the timeout are
   * restarted. */
  Avoid
};

struct variant
{
  const char* mName;
  policy mPolicy;
  int mSpares;
};

struct run
{
  int mGroup = 0;
  int mServer = 0;
  double mStart = 0;
  double mEnd = 0;
  double mTokens = 0;
  bool mHangs = false;
  bool mHasEnded = false;
  /** Replaces or races another run; such a run isn't replaced itself. */
  bool mIsReplacement = false;
  int mRacingRun = -1;
};

struct step_result
{
  double mSeconds = 0;
  double mUsedTokens = 0;
  double mGeneratedTokens = 0;
  int mUsed = 0;
};

struct step_simulation
{
  variant mVariant;
  std::mt19937_64 mRandom;
  std::vector<double> mSecondsPerToken;
  std::vector<int> mFreeSlots;
  std::vector<run> mRuns;
  std::vector<int> mRemainingInGroup;
  std::vector<int> mUnstarted;
  std::vector<double> mFinishedDurations;
  /** Seconds and tokens of the finished runs of each server, from which its
   * observed speed follows. */
  std::vector<double> mObservedSeconds;
  std::vector<double> mObservedTokens;
  std::priority_queue<std::pair<double, int>,
                      std::vector<std::pair<double, int>>,
                      std::greater<>>
    mEnds;
  step_result mResult;

  double DrawTokens()
  {
    std::lognormal_distribution<double> lengths(std::log(kMedianTokens),
                                                kLengthSpread);
    return std::min(kMaximumTokens, std::max(1.0, lengths(mRandom)));
  }

  int PickServer(int aExcluded)
  {
    int best = -1;
    for (int i = 0; i < kServers; ++i) {
      const bool isAvoided =
        (aExcluded >= 0 || mVariant.mPolicy == policy::AvoidAndRestart ||
         mVariant.mPolicy == policy::Avoid) &&
        IsSlow(i);
      if (i != aExcluded && mFreeSlots[i] > 0 && !isAvoided &&
          (best < 0 || mFreeSlots[i] > mFreeSlots[best])) {
        best = i;
      }
    }
    return best;
  }

  bool IsSlow(int aServer) const
  {
    double seconds = 0;
    double tokens = 0;
    for (int i = 0; i < kServers; ++i) {
      seconds += mObservedSeconds[i];
      tokens += mObservedTokens[i];
    }
    return mObservedTokens[aServer] > 0 && tokens > 0 &&
           mObservedSeconds[aServer] / mObservedTokens[aServer] >
             2 * seconds / tokens;
  }

  int Start(int aGroup,
            int aServer,
            double aNow,
            double aTokens,
            bool aIsReplacement)
  {
    run started;
    started.mGroup = aGroup;
    started.mServer = aServer;
    started.mStart = aNow;
    started.mTokens = aTokens;
    started.mIsReplacement = aIsReplacement;
    started.mHangs =
      std::uniform_real_distribution<>(0, 1)(mRandom) < kHangShare;
    started.mEnd =
      aNow +
      (started.mHangs ? kRunTimeout : aTokens * mSecondsPerToken[aServer]);
    --mFreeSlots[aServer];
    const int index = static_cast<int>(mRuns.size());
    mRuns.push_back(started);
    mEnds.push({ started.mEnd, index });
    return index;
  }

  void Cancel(int aRun, double aNow)
  {
    auto& run = mRuns[aRun];
    run.mHasEnded = true;
    ++mFreeSlots[run.mServer];
    if (!run.mHangs) {
      mResult.mGeneratedTokens += std::min(
        run.mTokens, (aNow - run.mStart) / mSecondsPerToken[run.mServer]);
    }
  }

  void FillFreeSlots(double aNow)
  {
    while (!mUnstarted.empty()) {
      const int server = PickServer(-1);
      if (server < 0) {
        return;
      }
      Start(mUnstarted.back(), server, aNow, DrawTokens(), false);
      mUnstarted.pop_back();
    }
    if (mVariant.mPolicy != policy::Wait &&
        mVariant.mPolicy != policy::Spares) {
      ReplaceStragglers(aNow);
    }
  }

  double FinishedQuantile(double aShare) const
  {
    if (mFinishedDurations.size() < 100) {
      return 1e9;
    }
    auto sorted = mFinishedDurations;
    const auto at = static_cast<std::ptrdiff_t>(
      aShare * static_cast<double>(sorted.size() - 1));
    std::nth_element(sorted.begin(), sorted.begin() + at, sorted.end());
    return sorted[static_cast<std::size_t>(at)];
  }

  void ReplaceStragglers(double aNow)
  {
    const double limit = mVariant.mPolicy == policy::Race
                           ? FinishedQuantile(0.9)
                           : 3 * FinishedQuantile(0.99);
    const auto count = mRuns.size();
    for (std::size_t i = 0; i < count; ++i) {
      const auto run = mRuns[i];
      if (run.mHasEnded || run.mIsReplacement || run.mRacingRun >= 0) {
        continue;
      }
      const bool isServerSlow = mVariant.mPolicy != policy::Race &&
                                mVariant.mPolicy != policy::Avoid &&
                                IsSlow(run.mServer);
      if (!isServerSlow && aNow - run.mStart < limit) {
        continue;
      }
      const int server = PickServer(run.mServer);
      if (server < 0) {
        return;
      }
      if (mVariant.mPolicy == policy::Race) {
        const int racing = Start(run.mGroup, server, aNow, DrawTokens(), true);
        mRuns[i].mRacingRun = racing;
        mRuns[static_cast<std::size_t>(racing)].mRacingRun =
          static_cast<int>(i);
        continue;
      }
      double tokens = DrawTokens();
      if (mVariant.mPolicy == policy::ResumeOnSlowServer && !run.mHangs) {
        // The replacement continues after the tokens generated so far.
        tokens = std::max(1.0,
                          run.mTokens - (aNow - run.mStart) /
                                          mSecondsPerToken[run.mServer]);
        mResult.mGeneratedTokens -= run.mTokens - tokens;
        mResult.mUsedTokens += run.mTokens - tokens;
      }
      Cancel(static_cast<int>(i), aNow);
      Start(run.mGroup, server, aNow, tokens, true);
    }
  }

  void End(int aRun, double aNow)
  {
    const auto run = mRuns[aRun];
    if (run.mHasEnded) {
      return;
    }
    mRuns[aRun].mHasEnded = true;
    ++mFreeSlots[run.mServer];
    if (run.mHangs) {
      mUnstarted.push_back(run.mGroup);
      return;
    }
    mResult.mGeneratedTokens += run.mTokens;
    mFinishedDurations.push_back(aNow - run.mStart);
    mObservedSeconds[run.mServer] += aNow - run.mStart;
    mObservedTokens[run.mServer] += run.mTokens;
    if (run.mRacingRun >= 0 &&
        !mRuns[static_cast<std::size_t>(run.mRacingRun)].mHasEnded) {
      Cancel(run.mRacingRun, aNow);
    }
    if (mRemainingInGroup[run.mGroup] == 0) {
      return;
    }
    --mRemainingInGroup[run.mGroup];
    ++mResult.mUsed;
    mResult.mUsedTokens += run.mTokens;
    if (mRemainingInGroup[run.mGroup] == 0) {
      for (std::size_t i = 0; i < mRuns.size(); ++i) {
        if (!mRuns[i].mHasEnded && mRuns[i].mGroup == run.mGroup) {
          Cancel(static_cast<int>(i), aNow);
        }
      }
      mUnstarted.erase(
        std::remove(mUnstarted.begin(), mUnstarted.end(), run.mGroup),
        mUnstarted.end());
    }
  }

  step_result Run()
  {
    mFreeSlots.assign(kServers, kSlots);
    mSecondsPerToken.assign(kServers, kSecondsPerToken);
    // One of the nine servers is slow in this step.
    mSecondsPerToken[std::uniform_int_distribution<>(0, kServers - 1)(
      mRandom)] *= kSlowFactor;
    mObservedSeconds.assign(kServers, 0);
    mObservedTokens.assign(kServers, 0);
    mRemainingInGroup.assign(kGroups, kSamplesPerGroup);
    for (int group = kGroups - 1; group >= 0; --group) {
      for (int i = 0; i < kSamplesPerGroup + mVariant.mSpares; ++i) {
        mUnstarted.push_back(group);
      }
    }
    double now = 0;
    FillFreeSlots(now);
    while (!mEnds.empty() && mResult.mUsed < kGroups * kSamplesPerGroup) {
      const auto [at, index] = mEnds.top();
      mEnds.pop();
      now = at;
      End(index, now);
      FillFreeSlots(now);
    }
    mResult.mSeconds = now;
    return mResult;
  }
};

double
Quantile(std::vector<double> aValues, double aShare)
{
  std::sort(aValues.begin(), aValues.end());
  return aValues[static_cast<std::size_t>(
    aShare * static_cast<double>(aValues.size() - 1))];
}

} // namespace

int
main()
{
  const std::vector<variant> variants = {
    { "wait", policy::Wait, 0 },
    { "spares_1_of_8", policy::Spares, 1 },
    { "spares_2_of_8", policy::Spares, 2 },
    { "race_after_p90", policy::Race, 0 },
    { "restart_by_pace", policy::RestartOnSlowServer, 0 },
    { "resume_by_pace", policy::ResumeOnSlowServer, 0 },
    { "avoid_slow", policy::Avoid, 0 },
    { "avoid_and_restart", policy::AvoidAndRestart, 0 },
  };
  std::printf("policy,steps,seconds_mean,seconds_p95,wasted_token_share,"
              "mean_tokens_per_sample\n");
  for (const auto& variant : variants) {
    std::vector<double> seconds;
    double used = 0;
    double generated = 0;
    double samples = 0;
    for (int seed = 1; seed <= kSteps; ++seed) {
      step_simulation step;
      step.mVariant = variant;
      step.mRandom.seed(static_cast<std::uint64_t>(seed));
      const auto result = step.Run();
      seconds.push_back(result.mSeconds);
      used += result.mUsedTokens;
      generated += std::max(result.mGeneratedTokens, result.mUsedTokens);
      samples += result.mUsed;
    }
    double mean = 0;
    for (const double one : seconds) {
      mean += one / kSteps;
    }
    std::printf("%s,%d,%.1f,%.1f,%.3f,%.1f\n",
                variant.mName,
                kSteps,
                mean,
                Quantile(seconds, 0.95),
                1 - used / generated,
                used / samples);
  }
  return 0;
}
