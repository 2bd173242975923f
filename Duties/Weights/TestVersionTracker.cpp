#include "Duties/Weights/VersionTracker.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <rapidcheck.h>

using namespace lavender;
using namespace lavender::weights;
using namespace std::chrono_literals;

namespace {

constexpr auto kSwapTimeout = 10000ms;

enum class report_kind
{
  Truthful,
  None,
  /** Reports the version last ordered instead of the one held. */
  OrderedVersion
};

/** Simulated server, which knows the version that produced each token. */
struct simulated_server
{
  report_kind mReportKind = report_kind::Truthful;
  std::int64_t mHeld = 1;
  std::int64_t mOrdered = 1;
  /** Orders that take effect later, each with its latest time. */
  std::deque<std::pair<std::int64_t, time_point>> mLate;
};

struct simulated_run
{
  std::uint64_t mId = 0;
  bool mHasTokens = false;
  std::vector<version_part> mActual;
  std::vector<version_part> mReported;
  std::int64_t mTokens = 0;
  /** A swap, crash or restart happened during the run or shortly before. */
  bool mIsDisturbed = false;
};

/** Draws from the full range; RapidCheck narrows ranges early in a run. */
int
Draw(int aFrom, int aTo)
{
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(aFrom, aTo));
}

void
AddToken(std::vector<version_part>& aParts, std::int64_t aVersion)
{
  if (aParts.empty() || aParts.back().mVersion != aVersion) {
    aParts.push_back({ aVersion, 0 });
  }
  ++aParts.back().mTokens;
}

/** How a run is labelled. The naive ways check that the test can fail. */
enum class labelling_method
{
  Tracker,
  ReportedVersions,
  VersionReads
};

struct history_counts
{
  std::int64_t mLabelled = 0;
  std::int64_t mMultiVersionLabels = 0;
  std::int64_t mUnknown = 0;
  std::int64_t mUndisturbed = 0;
  std::int64_t mLate = 0;
  std::int64_t mFailed = 0;
  std::int64_t mCrashes = 0;
  std::int64_t mAgentRestarts = 0;
  std::int64_t mWrongReports = 0;
};

struct simulation
{
  simulated_server mServer;
  version_tracker mTracker;
  std::vector<simulated_run> mRuns;
  time_point mNow{ 1000s };
  std::int64_t mFencing = 1;
  history_counts* mCounts = nullptr;
  labelling_method mLabelling = labelling_method::Tracker;
  time_point mDisturbedUntil;

  void Disturb()
  {
    mDisturbedUntil = mNow + kSwapTimeout;
    for (auto& run : mRuns) {
      run.mIsDisturbed = true;
    }
  }

  weight_version Read() const { return { "protokoll", mServer.mHeld }; }

  void Start()
  {
    simulated_run run;
    run.mId = StartRun(mTracker, mNow);
    run.mIsDisturbed = mNow <= mDisturbedUntil;
    RecordVersionBefore(mTracker, run.mId, Read(), mTracker.mEvents, mNow);
    mRuns.push_back(run);
  }

  void Generate()
  {
    for (auto& run : mRuns) {
      run.mHasTokens = true;
      ++run.mTokens;
      AddToken(run.mActual, mServer.mHeld);
      AddToken(run.mReported,
               mServer.mReportKind == report_kind::OrderedVersion
                 ? mServer.mOrdered
                 : mServer.mHeld);
    }
  }

  void End(std::size_t aIndex)
  {
    const auto run = mRuns[aIndex];
    mRuns.erase(mRuns.begin() + static_cast<std::ptrdiff_t>(aIndex));
    if (run.mTokens == 0) {
      DropRun(mTracker, run.mId);
      return;
    }
    const auto reported = mServer.mReportKind == report_kind::None
                            ? std::vector<version_part>{}
                            : run.mReported;
    mCounts->mWrongReports += !reported.empty() && reported != run.mActual;
    const auto before = *mTracker.mRuns.at(run.mId).mBefore;
    auto label = EndRun(mTracker, run.mId, Read(), reported, run.mTokens, mNow);
    ApplyRead(mTracker, Read(), mTracker.mEvents, mNow);
    if (mLabelling == labelling_method::ReportedVersions) {
      label.mParts = reported;
    } else if (mLabelling == labelling_method::VersionReads) {
      label.mParts.clear();
      if (before == Read()) {
        label.mParts = { { before.mVersion, run.mTokens } };
      }
    }
    if (!run.mIsDisturbed) {
      ++mCounts->mUndisturbed;
      RC_ASSERT(!label.mParts.empty());
    }
    if (label.mParts.empty()) {
      ++mCounts->mUnknown;
      return;
    }
    ++mCounts->mLabelled;
    mCounts->mMultiVersionLabels += label.mParts.size() > 1;
    RC_ASSERT(label.mParts == run.mActual);
  }

  /** Executes one order, with tokens generated while it is open. */
  void Swap(std::int64_t aVersion, swap_result aResult, bool aIsLate)
  {
    ApplyRead(mTracker, Read(), mTracker.mEvents, mNow);
    const weight_version target{ "protokoll", aVersion };
    if (!OpenSwap(mTracker, target, Read(), mFencing++, mNow).empty()) {
      return;
    }
    Disturb();
    mServer.mOrdered = aVersion;
    if (aIsLate) {
      ++mCounts->mLate;
      mServer.mLate.emplace_back(aVersion, mNow + kSwapTimeout);
    } else if (aResult == swap_result::Failed) {
      ++mCounts->mFailed;
    } else {
      mServer.mHeld = aVersion;
    }
    Generate();
    CloseSwap(mTracker, aResult, Read(), mNow);
  }

  void ApplyLate()
  {
    if (!mServer.mLate.empty()) {
      mServer.mHeld = mServer.mLate.front().first;
      mServer.mLate.pop_front();
    }
  }

  void AdvanceTime(milliseconds aTime)
  {
    while (!mServer.mLate.empty() &&
           mServer.mLate.front().second <= mNow + aTime) {
      ApplyLate();
    }
    mNow += aTime;
  }

  /** Runs in progress get no response, and pending orders are lost. */
  void CrashServer()
  {
    ++mCounts->mCrashes;
    Disturb();
    mServer.mHeld = 1;
    mServer.mOrdered = 1;
    mServer.mLate.clear();
    auto waiting = mRuns;
    mRuns.clear();
    for (const auto& run : waiting) {
      if (run.mHasTokens) {
        DropRun(mTracker, run.mId);
      } else {
        mRuns.push_back(run);
      }
    }
  }

  /** The new agent process doesn't know the runs of its predecessor. */
  void RestartAgent()
  {
    ++mCounts->mAgentRestarts;
    mRuns.clear();
    Disturb();
    mTracker = {};
    mTracker.mLimits.mSwapTimeout = kSwapTimeout;
    mTracker.mStartedAt = mNow;
  }
};

void
RunHistory(history_counts& aCounts, labelling_method aLabelling)
{
  simulation run;
  run.mCounts = &aCounts;
  run.mLabelling = aLabelling;
  run.mServer.mReportKind = *rc::gen::element(
    report_kind::Truthful, report_kind::None, report_kind::OrderedVersion);
  run.RestartAgent();
  if (*rc::gen::arbitrary<bool>()) {
    run.AdvanceTime(kSwapTimeout + 1ms);
  }
  const auto steps = Draw(1, 120);
  for (int i = 0; i < steps; ++i) {
    switch (Draw(0, 14)) {
      case 0:
      case 1:
        run.Start();
        break;
      case 2:
      case 3:
      case 4:
        run.Generate();
        break;
      case 5:
      case 6:
        if (!run.mRuns.empty()) {
          run.End(static_cast<std::size_t>(
            Draw(0, static_cast<int>(run.mRuns.size()))));
        }
        break;
      case 7:
      case 8:
        run.Swap(Draw(1, 4), swap_result::Done, false);
        break;
      case 9:
        run.Swap(Draw(1, 4),
                 *rc::gen::element(swap_result::Done,
                                   swap_result::Failed,
                                   swap_result::NoResponse),
                 *rc::gen::arbitrary<bool>());
        break;
      case 10:
        run.ApplyLate();
        break;
      case 11:
        run.AdvanceTime(milliseconds(*rc::gen::element(500, 3000, 11000)));
        break;
      case 12:
        if (const int fault = Draw(0, 12); fault == 0) {
          run.RestartAgent();
        } else if (fault < 3) {
          run.CrashServer();
        }
        break;
      case 13:
        ApplyRead(run.mTracker, run.Read(), run.mTracker.mEvents, run.mNow);
        break;
    }
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestVersionTracker)

// Guards against samples labelled with the wrong version. The server fails a
// swap, swaps late, or crashes and returns to its base version during a run; a
// label based on the server's report alone or on one read would be wrong.
BOOST_AUTO_TEST_CASE(NamedVersionsAreTrueInEveryHistory)
{
  history_counts counts;
  BOOST_TEST(rc::check("each part names the version that produced it",
                       [&] { RunHistory(counts, labelling_method::Tracker); }));
  BOOST_TEST_MESSAGE(
    "named=" << counts.mLabelled << " spans=" << counts.mMultiVersionLabels
             << " unknown=" << counts.mUnknown << " late=" << counts.mLate
             << " failed=" << counts.mFailed << " crashes=" << counts.mCrashes
             << " agent_restarts=" << counts.mAgentRestarts
             << " undisturbed=" << counts.mUndisturbed
             << " wrong_accounts=" << counts.mWrongReports);
  // Each fault occurred, and some responses were labelled.
  BOOST_TEST(counts.mLate > 0);
  BOOST_TEST(counts.mFailed > 0);
  BOOST_TEST(counts.mCrashes > 0);
  BOOST_TEST(counts.mAgentRestarts > 0);
  BOOST_TEST(counts.mWrongReports > 0);
  BOOST_TEST(counts.mMultiVersionLabels > 0);
  BOOST_TEST(counts.mUndisturbed > 0);
}

// Checks that the histories detect wrong labels: both naive ways of labelling
// must fail.
BOOST_AUTO_TEST_CASE(NaiveLabelsAreConvicted)
{
  for (const auto naive :
       { labelling_method::ReportedVersions, labelling_method::VersionReads }) {
    history_counts counts;
    const auto result =
      rc::detail::checkTestable([&] { RunHistory(counts, naive); },
                                rc::detail::TestMetadata(),
                                rc::detail::configuration().testParams);
    rc::detail::FailureResult failure;
    BOOST_TEST(result.match(failure));
  }
}

// Guards against an order of a former lease holder that arrives after an order
// of the current one, and against two open orders.
BOOST_AUTO_TEST_CASE(RefusesOldFencingNumbersAndASecondOpenOrder)
{
  version_tracker tracker;
  const time_point now{ 1000s };
  const weight_version one{ "protokoll", 1 };
  const weight_version two{ "protokoll", 2 };
  const weight_version three{ "protokoll", 3 };
  BOOST_TEST(OpenSwap(tracker, two, one, 7, now) == "");
  BOOST_TEST(OpenSwap(tracker, one, one, 6, now) == "old_fencing_number");
  BOOST_TEST(OpenSwap(tracker, three, one, 8, now) == "swap_unsettled");
  CloseSwap(tracker, swap_result::Done, two, now);
  BOOST_TEST(OpenSwap(tracker, two, two, 8, now) == "already_held");
  BOOST_TEST(OpenSwap(tracker, three, two, 8, now) == "");
  CloseSwap(tracker, swap_result::NoResponse, {}, now);
  BOOST_TEST(OpenSwap(tracker, two, one, 9, now) == "swap_unsettled");
  BOOST_TEST(OpenSwap(tracker, two, one, 9, now + 11s) == "");
}

BOOST_AUTO_TEST_SUITE_END()
