#include "Duties/Billing/UsageDuty.h"
#include "Libraries/Edge/LoopScheduler.h"
#include "Libraries/Edge/RunAfter.h"
#include "StandIns/ObjectStore/MemoryStore.h"
#include "Tests/Site/Support/Loop.h"

#include <boost/test/unit_test.hpp>
#include <set>

using namespace lavender;
using namespace lavender::tests;
using namespace std::chrono_literals;

namespace {

constexpr milliseconds kWindow = 2s;
constexpr milliseconds kLease = 3s;

struct usage_site
{
  test_loop mLoop;
  std::shared_ptr<edge::client_pool> mClients =
    std::make_shared<edge::client_pool>(mLoop.mLoop);
  standin::memory_store_state mState;
  std::map<std::string, edge::endpoint> mPeers;
  /** False until the list of entries has been read, a moment after the start.
   */
  bool mKnowsPeers = false;
  /** All reports in the order in which they were sent. */
  std::vector<billing::usage_report> mReports;
  std::vector<time_point> mSentAt;

  /** Times that a holder sent, another one did, and it sent again within the
   * duration of a lease. */
  std::size_t TurnsTaken() const
  {
    std::size_t turns = 0;
    for (std::size_t last = 0; last < mReports.size(); ++last) {
      bool isOtherBetween = false;
      for (auto before = last; before-- > 0;) {
        const bool isSame = mReports[before].mHolder == mReports[last].mHolder;
        turns +=
          isSame && isOtherBetween && mSentAt[last] - mSentAt[before] < kLease;
        isOtherBetween = isOtherBetween || !isSame;
      }
    }
    return turns;
  }

  /** Reports of one window with different counts, or holders that go back. */
  std::size_t Faults() const
  {
    std::size_t faults = 0;
    std::map<billing::window_number, billing::customer_counts> first;
    std::int64_t epoch = 0;
    for (const auto& report : mReports) {
      const auto known =
        first.emplace(report.mWindow, report.mCounts).first->second;
      faults += known != report.mCounts;
      faults += report.mEpoch < epoch;
      epoch = report.mEpoch;
    }
    return faults;
  }

  std::size_t ReportsOf(billing::window_number aWindow) const
  {
    return static_cast<std::size_t>(
      std::count_if(mReports.begin(), mReports.end(), [&](const auto& aReport) {
        return aReport.mWindow == aWindow;
      }));
  }
};

/** One entry's usage duty, with a listener for the others' questions. */
struct usage_entry
{
  usage_entry(usage_site& aSite, const std::string& aName)
    : mStore(standin::MakeMemoryStore(edge::LoopScheduler(aSite.mLoop.mLoop),
                                      aSite.mState))
    , mDuty({ aSite.mLoop.mLoop,
              mStore,
              *aSite.mClients,
              aName,
              kWindow,
              kLease,
              [&aSite, aName] {
                std::vector<std::string> names;
                for (const auto& [name, address] : aSite.mPeers) {
                  if (aSite.mKnowsPeers || name == aName) {
                    names.push_back(name);
                  }
                }
                return names;
              },
              [&aSite](const std::string& aPeer) {
                const auto found = aSite.mPeers.find(aPeer);
                return found == aSite.mPeers.end()
                         ? std::nullopt
                         : std::optional(found->second);
              },
              [&aSite](const auto& aReport, const auto& aDone) {
                aSite.mReports.push_back(aReport);
                aSite.mSentAt.push_back(boot_clock::now());
                aDone(billing::report_outcome::Accepted);
              } })
    , mListener(aSite.mLoop.mLoop,
                std::make_shared<edge::listener_limits>(),
                [this](const auto& aExchange) { Serve(aExchange); })
  {
    mListener.Open({ "127.0.0.1", 0 });
    aSite.mPeers[aName] = { "127.0.0.1", mListener.Port() };
  }

  void Serve(const edge::exchange_ptr& aExchange)
  {
    const auto window = edge::ParseInteger(
      aExchange->mRequest.mTarget.substr(sizeof billing::kUsagePath - 1));
    ++mQuestions[window.value_or(0)];
    if (mIsSilent) {
      mHeld.push_back(aExchange);
    } else {
      aExchange->Answer({ 200, {}, mDuty.CountsAsJson(window.value_or(0)) });
    }
  }

  objects::object_store mStore;
  billing::usage_duty mDuty;
  bool mIsSilent = false;
  std::map<billing::window_number, int> mQuestions;
  std::vector<edge::exchange_ptr> mHeld;
  edge::listener mListener;
};

struct usage_fleet : usage_site
{
  explicit usage_fleet(int aEntries)
  {
    for (int i = 0; i < aEntries; ++i) {
      mEntries.push_back(std::make_unique<usage_entry>(
        *this, "entry-" + std::string(1, static_cast<char>('a' + i))));
    }
  }

  void Start()
  {
    for (auto& entry : mEntries) {
      entry->mDuty.Start();
    }
    edge::RunAfter(mLoop.mLoop, 50ms, [this] { mKnowsPeers = true; });
  }

  std::vector<std::unique_ptr<usage_entry>> mEntries;
};

billing::window_number
WindowNow()
{
  return billing::WindowAt(std::chrono::system_clock::now(), kWindow);
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestUsageDuty)

// Each call to the platform's store is paid for. Every entry read the record of
// every window in full, though the first had reported it; and at the start,
// when each knew only itself, all of them wrote it.
BOOST_AUTO_TEST_CASE(AWindowIsReportedOnceAtTheCostOfOneEntry)
{
  usage_fleet fleet(6);
  fleet.Start();
  const auto window = WindowNow() + 1;
  for (auto& entry : fleet.mEntries) {
    entry->mDuty.CountStart("customer");
  }
  const auto isPast = [&] { return WindowNow() > window + 4; };
  BOOST_TEST(fleet.mLoop.RunUntil(isPast, 60s));
  std::set<std::string> holders;
  for (const auto& report : fleet.mReports) {
    holders.insert(report.mHolder);
  }
  BOOST_TEST(holders.size() == 1u);
  BOOST_TEST(*holders.begin() == "entry-a");
  BOOST_TEST(fleet.ReportsOf(window) == 1u);
  BOOST_TEST(fleet.Faults() == 0u);
  // A read and two writes a window by the first entry; the others look at a
  // copy. One more of each while the first window's record is made.
  const auto windows = static_cast<int>(fleet.mReports.size());
  BOOST_TEST(fleet.mState.mCalls - fleet.mState.mStaleReads <= 3 * windows + 3);
}

// A window's report comes so late that another entry starts it over: entries
// that are gone from the network were asked for their counts one after another.
BOOST_AUTO_TEST_CASE(SilentEntriesDontAddUp)
{
  usage_fleet fleet(7);
  for (std::size_t i = 1; i < fleet.mEntries.size(); ++i) {
    fleet.mEntries[i]->mIsSilent = true;
  }
  fleet.Start();
  const auto window = WindowNow() + 1;
  const auto isPast = [&] { return WindowNow() > window + 3; };
  BOOST_TEST(fleet.mLoop.RunUntil(isPast, 60s));
  BOOST_TEST(fleet.ReportsOf(window) == 1u);
  BOOST_TEST(fleet.mEntries.back()->mQuestions[window] == 1);
}

// A bill is sent twice with different counts, by two entries in turn. The
// holder is paused between fixing a window and sending it, the next one takes
// over, and then the first wakes.
BOOST_AUTO_TEST_CASE(APausedHolderSendsNothingAfterItsSuccessor)
{
  usage_fleet fleet(3);
  auto& first = *fleet.mEntries.front();
  const auto replace = first.mStore.mReplace;
  const auto create = first.mStore.mCreate;
  // Long enough for the second entry's turn to begin and end.
  static constexpr milliseconds kPause = 2600ms;
  const auto late = [&](const objects::object_done& aDone) {
    return [&fleet, aDone](const objects::object_reply& aReply) {
      edge::RunAfter(
        fleet.mLoop.mLoop, kPause, [aDone, aReply] { aDone(aReply); });
    };
  };
  first.mStore.mReplace = [&, replace](const auto& aKind,
                                       const auto& aName,
                                       auto aExpected,
                                       auto aJson,
                                       const auto& aDone) {
    replace(aKind, aName, aExpected, aJson, late(aDone));
  };
  first.mStore.mCreate = [&, create](const auto& aKind,
                                     const auto& aName,
                                     auto aJson,
                                     const auto& aDone) {
    create(aKind, aName, aJson, late(aDone));
  };
  fleet.Start();
  const auto window = WindowNow() + 1;
  const auto isPast = [&] { return WindowNow() > window + 4; };
  BOOST_TEST(fleet.mLoop.RunUntil(isPast, 60s));
  BOOST_TEST(fleet.ReportsOf(window) >= 1u);
  BOOST_TEST(fleet.Faults() == 0u);
  for (const auto& report : fleet.mReports) {
    BOOST_TEST(report.mHolder != "entry-a");
  }
}

// A customer isn't billed for what it used while the platform's store was down:
// nobody could fix the reports of these windows, and later ones passed them by.
BOOST_AUTO_TEST_CASE(AnOutageOfTheStoreLosesNoWindow)
{
  usage_fleet fleet(3);
  fleet.Start();
  const auto first = WindowNow() + 1;
  constexpr int kDown = 4;
  const auto until = [&](billing::window_number aWindow) {
    return fleet.mLoop.RunUntil([&] { return WindowNow() >= aWindow; }, 60s);
  };
  for (int window = 0; window < kDown + 2; ++window) {
    BOOST_TEST(until(first + window));
    fleet.mState.mFault = window > 0 && window <= kDown
                            ? standin::store_fault::Silent
                            : standin::store_fault::None;
    for (auto& entry : fleet.mEntries) {
      entry->mDuty.CountStart("customer-" + std::to_string(window));
    }
  }
  const auto last = first + kDown + 1;
  BOOST_TEST(
    fleet.mLoop.RunUntil([&] { return fleet.ReportsOf(last) > 0; }, 60s));
  for (int window = 0; window < kDown + 2; ++window) {
    BOOST_TEST(fleet.ReportsOf(first + window) >= 1u);
    for (const auto& report : fleet.mReports) {
      if (report.mWindow == first + window) {
        BOOST_TEST(report.mCounts.size() == 1u);
        BOOST_TEST(report.mCounts.begin()->first ==
                   "customer-" + std::to_string(window));
        BOOST_TEST(report.mCounts.begin()->second == 3);
      }
    }
  }
  BOOST_TEST(fleet.Faults() == 0u);
  BOOST_TEST(fleet.TurnsTaken() == 0u);
}

// Two entries take turns in reporting, which the platform takes for two that
// both believe to be in charge. The first one's note that a window was reported
// is lost, so the second reports it again, and then the first goes on with the
// next window.
BOOST_AUTO_TEST_CASE(ReportersDontTakeTurnsWithinALease)
{
  usage_fleet fleet(3);
  for (auto& entry : fleet.mEntries) {
    const auto replace = entry->mStore.mReplace;
    entry->mStore.mReplace = [&, replace](const auto& aKind,
                                          const auto& aName,
                                          auto aExpected,
                                          auto aJson,
                                          const auto& aDone) {
      if (aJson.find("\"sent\":true") == std::string::npos) {
        replace(aKind, aName, aExpected, aJson, aDone);
      }
    };
  }
  fleet.Start();
  const auto window = WindowNow() + 1;
  const auto isPast = [&] { return WindowNow() > window + 6; };
  BOOST_TEST(fleet.mLoop.RunUntil(isPast, 60s));
  std::set<std::string> holders;
  for (const auto& report : fleet.mReports) {
    holders.insert(report.mHolder);
  }
  BOOST_TEST(holders.size() > 1u);
  BOOST_TEST(fleet.TurnsTaken() == 0u);
  BOOST_TEST(fleet.Faults() == 0u);
}

BOOST_AUTO_TEST_SUITE_END()
