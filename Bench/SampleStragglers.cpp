// Stragglers of a step: waiting, spare samples, racing a second run and
// starting again by the server's pace, on the same seeded steps.
//
// Everything is simulated: servers with slots and a pace, answers with a heavy
// tail of lengths, some servers five times slower, some runs that hang. Prints
// CSV, one line for each policy.

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
constexpr int kPerGroup = 8;
constexpr double kSecondsPerToken = 0.02;
constexpr double kMedianTokens = 300;
constexpr double kSpread = 0.8;
constexpr double kMaximumTokens = 4000;
constexpr double kSlowFactor = 5;
constexpr double kHangShare = 0.002;
/** After this a run that hangs is given up and made again. */
constexpr double kDeadline = 120;
constexpr int kSteps = 200;

enum class policy
{
  Wait,
  Spares,
  Race,
  RestartByPace,
  ResumeByPace,
  /** As RestartByPace; slow servers get no further sample either. */
  AvoidAndRestart,
  /** Slow servers get no further sample; nothing is started again but what
   * hangs. */
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
  bool mIsOver = false;
  /** Started in another's place; it isn't replaced again. */
  bool mIsSecond = false;
  int mTwin = -1;
};

struct step_result
{
  double mSeconds = 0;
  double mUsedTokens = 0;
  double mMadeTokens = 0;
  int mUsed = 0;
};

struct world
{
  variant mVariant;
  std::mt19937_64 mRandom;
  std::vector<double> mPace;
  std::vector<int> mFree;
  std::vector<run> mRuns;
  std::vector<int> mLeft;
  std::vector<int> mUnstarted;
  std::vector<double> mFinished;
  /** Seconds and tokens finished by each server: its pace as seen. */
  std::vector<double> mSeenSeconds;
  std::vector<double> mSeenTokens;
  std::priority_queue<std::pair<double, int>,
                      std::vector<std::pair<double, int>>,
                      std::greater<>>
    mEnds;
  step_result mResult;

  double DrawTokens()
  {
    std::lognormal_distribution<double> lengths(std::log(kMedianTokens),
                                                kSpread);
    return std::min(kMaximumTokens, std::max(1.0, lengths(mRandom)));
  }

  int PickServer(int aNot)
  {
    int best = -1;
    for (int i = 0; i < kServers; ++i) {
      const bool isAvoided =
        (aNot >= 0 || mVariant.mPolicy == policy::AvoidAndRestart ||
         mVariant.mPolicy == policy::Avoid) &&
        IsSlow(i);
      if (i != aNot && mFree[i] > 0 && !isAvoided &&
          (best < 0 || mFree[i] > mFree[best])) {
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
      seconds += mSeenSeconds[i];
      tokens += mSeenTokens[i];
    }
    return mSeenTokens[aServer] > 0 && tokens > 0 &&
           mSeenSeconds[aServer] / mSeenTokens[aServer] > 2 * seconds / tokens;
  }

  int Start(int aGroup, int aServer, double aNow, double aTokens, bool aSecond)
  {
    run started;
    started.mGroup = aGroup;
    started.mServer = aServer;
    started.mStart = aNow;
    started.mTokens = aTokens;
    started.mIsSecond = aSecond;
    started.mHangs =
      std::uniform_real_distribution<>(0, 1)(mRandom) < kHangShare;
    started.mEnd =
      aNow + (started.mHangs ? kDeadline : aTokens * mPace[aServer]);
    --mFree[aServer];
    const int index = static_cast<int>(mRuns.size());
    mRuns.push_back(started);
    mEnds.push({ started.mEnd, index });
    return index;
  }

  void Cancel(int aRun, double aNow)
  {
    auto& run = mRuns[aRun];
    run.mIsOver = true;
    ++mFree[run.mServer];
    if (!run.mHangs) {
      mResult.mMadeTokens +=
        std::min(run.mTokens, (aNow - run.mStart) / mPace[run.mServer]);
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
      HelpStragglers(aNow);
    }
  }

  double FinishedQuantile(double aShare) const
  {
    if (mFinished.size() < 100) {
      return 1e9;
    }
    auto sorted = mFinished;
    const auto at = static_cast<std::ptrdiff_t>(
      aShare * static_cast<double>(sorted.size() - 1));
    std::nth_element(sorted.begin(), sorted.begin() + at, sorted.end());
    return sorted[static_cast<std::size_t>(at)];
  }

  void HelpStragglers(double aNow)
  {
    const double limit = mVariant.mPolicy == policy::Race
                           ? FinishedQuantile(0.9)
                           : 3 * FinishedQuantile(0.99);
    const auto count = mRuns.size();
    for (std::size_t i = 0; i < count; ++i) {
      const auto run = mRuns[i];
      if (run.mIsOver || run.mIsSecond || run.mTwin >= 0) {
        continue;
      }
      const bool isPaceSlow = mVariant.mPolicy != policy::Race &&
                              mVariant.mPolicy != policy::Avoid &&
                              IsSlow(run.mServer);
      if (!isPaceSlow && aNow - run.mStart < limit) {
        continue;
      }
      const int server = PickServer(run.mServer);
      if (server < 0) {
        return;
      }
      if (mVariant.mPolicy == policy::Race) {
        const int twin = Start(run.mGroup, server, aNow, DrawTokens(), true);
        mRuns[i].mTwin = twin;
        mRuns[static_cast<std::size_t>(twin)].mTwin = static_cast<int>(i);
        continue;
      }
      double tokens = DrawTokens();
      if (mVariant.mPolicy == policy::ResumeByPace && !run.mHangs) {
        // What it has made so far is carried over.
        tokens =
          std::max(1.0, run.mTokens - (aNow - run.mStart) / mPace[run.mServer]);
        mResult.mMadeTokens -= run.mTokens - tokens;
        mResult.mUsedTokens += run.mTokens - tokens;
      }
      Cancel(static_cast<int>(i), aNow);
      Start(run.mGroup, server, aNow, tokens, true);
    }
  }

  void End(int aRun, double aNow)
  {
    const auto run = mRuns[aRun];
    if (run.mIsOver) {
      return;
    }
    mRuns[aRun].mIsOver = true;
    ++mFree[run.mServer];
    if (run.mHangs) {
      mUnstarted.push_back(run.mGroup);
      return;
    }
    mResult.mMadeTokens += run.mTokens;
    mFinished.push_back(aNow - run.mStart);
    mSeenSeconds[run.mServer] += aNow - run.mStart;
    mSeenTokens[run.mServer] += run.mTokens;
    if (run.mTwin >= 0 && !mRuns[static_cast<std::size_t>(run.mTwin)].mIsOver) {
      Cancel(run.mTwin, aNow);
    }
    if (mLeft[run.mGroup] == 0) {
      return;
    }
    --mLeft[run.mGroup];
    ++mResult.mUsed;
    mResult.mUsedTokens += run.mTokens;
    if (mLeft[run.mGroup] == 0) {
      for (std::size_t i = 0; i < mRuns.size(); ++i) {
        if (!mRuns[i].mIsOver && mRuns[i].mGroup == run.mGroup) {
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
    mFree.assign(kServers, kSlots);
    mPace.assign(kServers, kSecondsPerToken);
    // One server of the nine is slow in this step.
    mPace[std::uniform_int_distribution<>(0, kServers - 1)(mRandom)] *=
      kSlowFactor;
    mSeenSeconds.assign(kServers, 0);
    mSeenTokens.assign(kServers, 0);
    mLeft.assign(kGroups, kPerGroup);
    for (int group = kGroups - 1; group >= 0; --group) {
      for (int i = 0; i < kPerGroup + mVariant.mSpares; ++i) {
        mUnstarted.push_back(group);
      }
    }
    double now = 0;
    FillFreeSlots(now);
    while (!mEnds.empty() && mResult.mUsed < kGroups * kPerGroup) {
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
    { "restart_by_pace", policy::RestartByPace, 0 },
    { "resume_by_pace", policy::ResumeByPace, 0 },
    { "avoid_slow", policy::Avoid, 0 },
    { "avoid_and_restart", policy::AvoidAndRestart, 0 },
  };
  std::printf("policy,steps,seconds_mean,seconds_p95,wasted_token_share,"
              "mean_tokens_per_sample\n");
  for (const auto& variant : variants) {
    std::vector<double> seconds;
    double used = 0;
    double made = 0;
    double samples = 0;
    for (int seed = 1; seed <= kSteps; ++seed) {
      world step;
      step.mVariant = variant;
      step.mRandom.seed(static_cast<std::uint64_t>(seed));
      const auto result = step.Run();
      seconds.push_back(result.mSeconds);
      used += result.mUsedTokens;
      made += std::max(result.mMadeTokens, result.mUsedTokens);
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
                1 - used / made,
                used / samples);
  }
  return 0;
}
