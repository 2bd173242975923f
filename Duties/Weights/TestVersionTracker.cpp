#include "Duties/Weights/VersionTracker.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <rapidcheck.h>

using namespace lavender;
using namespace lavender::weights;
using namespace std::chrono_literals;

namespace {

constexpr auto kSettle = 10000ms;

enum class account_kind
{
  Truthful,
  None,
  /** Names the version last ordered, whatever the server holds. */
  NamesOrdered
};

/** The server as it truly is: it knows which version made each token. */
struct true_server
{
  account_kind mAccount = account_kind::Truthful;
  std::int64_t mHeld = 1;
  std::int64_t mOrdered = 1;
  /** Orders that take effect later, with the time by which they do. */
  std::deque<std::pair<std::int64_t, time_point>> mLate;
};

struct true_run
{
  std::uint64_t mId = 0;
  bool mHasGeneration = false;
  std::vector<version_part> mTruth;
  std::vector<version_part> mAccount;
  std::int64_t mTokens = 0;
  /** A swap, crash or restart came near it. */
  bool mIsDisturbed = false;
};

/** RapidCheck shrinks ranges early in a run; histories want the whole one. */
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

/** What a naive agent would say, for the failing-first runs. */
enum class labelling
{
  Tracker,
  BelievesAccount,
  BelievesReads
};

struct tally
{
  std::int64_t mNamed = 0;
  std::int64_t mSpans = 0;
  std::int64_t mUnknown = 0;
  std::int64_t mUndisturbed = 0;
  std::int64_t mLate = 0;
  std::int64_t mFailed = 0;
  std::int64_t mCrashes = 0;
  std::int64_t mAgentRestarts = 0;
  std::int64_t mWrongAccounts = 0;
};

struct world
{
  true_server mServer;
  version_tracker mTracker;
  std::vector<true_run> mRuns;
  time_point mNow{ 1000s };
  std::int64_t mFencing = 1;
  tally* mTally = nullptr;
  labelling mLabelling = labelling::Tracker;
  time_point mDisturbedUntil;

  void Disturb()
  {
    mDisturbedUntil = mNow + kSettle;
    for (auto& run : mRuns) {
      run.mIsDisturbed = true;
    }
  }

  weight_version Read() const { return { "protokoll", mServer.mHeld }; }

  void Start()
  {
    true_run run;
    run.mId = StartRun(mTracker, mNow);
    run.mIsDisturbed = mNow <= mDisturbedUntil;
    TakeBefore(mTracker, run.mId, Read(), mTracker.mEvents, mNow);
    mRuns.push_back(run);
  }

  void Generate()
  {
    for (auto& run : mRuns) {
      run.mHasGeneration = true;
      ++run.mTokens;
      AddToken(run.mTruth, mServer.mHeld);
      AddToken(run.mAccount,
               mServer.mAccount == account_kind::NamesOrdered ? mServer.mOrdered
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
    const auto account = mServer.mAccount == account_kind::None
                           ? std::vector<version_part>{}
                           : run.mAccount;
    mTally->mWrongAccounts += !account.empty() && account != run.mTruth;
    const auto before = *mTracker.mRuns.at(run.mId).mBefore;
    auto label = EndRun(mTracker, run.mId, Read(), account, run.mTokens, mNow);
    TakeRead(mTracker, Read(), mTracker.mEvents, mNow);
    if (mLabelling == labelling::BelievesAccount) {
      label.mParts = account;
    } else if (mLabelling == labelling::BelievesReads) {
      label.mParts.clear();
      if (before == Read()) {
        label.mParts = { { before.mVersion, run.mTokens } };
      }
    }
    if (!run.mIsDisturbed) {
      ++mTally->mUndisturbed;
      RC_ASSERT(!label.mParts.empty());
    }
    if (label.mParts.empty()) {
      ++mTally->mUnknown;
      return;
    }
    ++mTally->mNamed;
    mTally->mSpans += label.mParts.size() > 1;
    RC_ASSERT(label.mParts == run.mTruth);
  }

  /** One order, with tokens made between its steps. */
  void Swap(std::int64_t aVersion, swap_answer aAnswer, bool aIsLate)
  {
    TakeRead(mTracker, Read(), mTracker.mEvents, mNow);
    const weight_version target{ "protokoll", aVersion };
    if (!OpenSwap(mTracker, target, Read(), mFencing++, mNow).empty()) {
      return;
    }
    Disturb();
    mServer.mOrdered = aVersion;
    if (aIsLate) {
      ++mTally->mLate;
      mServer.mLate.emplace_back(aVersion, mNow + kSettle);
    } else if (aAnswer == swap_answer::Failed) {
      ++mTally->mFailed;
    } else {
      mServer.mHeld = aVersion;
    }
    Generate();
    CloseSwap(mTracker, aAnswer, Read(), mNow);
  }

  void ApplyLate()
  {
    if (!mServer.mLate.empty()) {
      mServer.mHeld = mServer.mLate.front().first;
      mServer.mLate.pop_front();
    }
  }

  void Pass(milliseconds aTime)
  {
    while (!mServer.mLate.empty() &&
           mServer.mLate.front().second <= mNow + aTime) {
      ApplyLate();
    }
    mNow += aTime;
  }

  /** Runs under way get no answer, and what was ordered is forgotten. */
  void CrashServer()
  {
    ++mTally->mCrashes;
    Disturb();
    mServer.mHeld = 1;
    mServer.mOrdered = 1;
    mServer.mLate.clear();
    auto kept = mRuns;
    mRuns.clear();
    for (const auto& run : kept) {
      if (run.mHasGeneration) {
        DropRun(mTracker, run.mId);
      } else {
        mRuns.push_back(run);
      }
    }
  }

  /** A successor refuses what it didn't start itself. */
  void RestartAgent()
  {
    ++mTally->mAgentRestarts;
    mRuns.clear();
    Disturb();
    mTracker = {};
    mTracker.mLimits.mSwapTimeout = kSettle;
    mTracker.mStartedAt = mNow;
  }
};

void
RunHistory(tally& aTally, labelling aLabelling)
{
  world run;
  run.mTally = &aTally;
  run.mLabelling = aLabelling;
  run.mServer.mAccount = *rc::gen::element(
    account_kind::Truthful, account_kind::None, account_kind::NamesOrdered);
  run.RestartAgent();
  if (*rc::gen::arbitrary<bool>()) {
    run.Pass(kSettle + 1ms);
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
        run.Swap(Draw(1, 4), swap_answer::Done, false);
        break;
      case 9:
        run.Swap(Draw(1, 4),
                 *rc::gen::element(swap_answer::Done,
                                   swap_answer::Failed,
                                   swap_answer::NoAnswer),
                 *rc::gen::arbitrary<bool>());
        break;
      case 10:
        run.ApplyLate();
        break;
      case 11:
        run.Pass(milliseconds(*rc::gen::element(500, 3000, 11000)));
        break;
      case 12:
        if (const int fault = Draw(0, 12); fault == 0) {
          run.RestartAgent();
        } else if (fault < 3) {
          run.CrashServer();
        }
        break;
      case 13:
        TakeRead(run.mTracker, run.Read(), run.mTracker.mEvents, run.mNow);
        break;
    }
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestVersionTracker)

// A trainer gets a sample that names the new version, though the server had
// failed its swap, swapped late or crashed back to its base version while the
// sample was made. The cause: an answer's own account, or a read at one end,
// taken for proof.
BOOST_AUTO_TEST_CASE(NamedVersionsAreTrueInEveryHistory)
{
  tally seen;
  BOOST_TEST(rc::check("each named part is the version that produced it",
                       [&] { RunHistory(seen, labelling::Tracker); }));
  BOOST_TEST_MESSAGE(
    "named=" << seen.mNamed << " spans=" << seen.mSpans
             << " unknown=" << seen.mUnknown << " late=" << seen.mLate
             << " failed=" << seen.mFailed << " crashes=" << seen.mCrashes
             << " agent_restarts=" << seen.mAgentRestarts << " undisturbed="
             << seen.mUndisturbed << " wrong_accounts=" << seen.mWrongAccounts);
  // Each fault happened, and the answers weren't all thrown away.
  BOOST_TEST(seen.mLate > 0);
  BOOST_TEST(seen.mFailed > 0);
  BOOST_TEST(seen.mCrashes > 0);
  BOOST_TEST(seen.mAgentRestarts > 0);
  BOOST_TEST(seen.mWrongAccounts > 0);
  BOOST_TEST(seen.mSpans > 0);
  BOOST_TEST(seen.mUndisturbed > 0);
}

// The histories must be able to convict: both naive ways of labelling name a
// version that didn't produce the tokens.
BOOST_AUTO_TEST_CASE(NaiveLabelsAreConvicted)
{
  for (const auto naive :
       { labelling::BelievesAccount, labelling::BelievesReads }) {
    tally seen;
    const auto result =
      rc::detail::checkTestable([&] { RunHistory(seen, naive); },
                                rc::detail::TestMetadata(),
                                rc::detail::configuration().testParams);
    rc::detail::FailureResult failure;
    BOOST_TEST(result.match(failure));
  }
}

// An order of a holder that lost its lease arrives after its successor's.
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
  CloseSwap(tracker, swap_answer::Done, two, now);
  BOOST_TEST(OpenSwap(tracker, two, two, 8, now) == "already_held");
  BOOST_TEST(OpenSwap(tracker, three, two, 8, now) == "");
  CloseSwap(tracker, swap_answer::NoAnswer, {}, now);
  BOOST_TEST(OpenSwap(tracker, two, one, 9, now) == "swap_unsettled");
  BOOST_TEST(OpenSwap(tracker, two, one, 9, now + 11s) == "");
}

BOOST_AUTO_TEST_SUITE_END()
