#include "Tests/Support/Fleet.h"
#include "Tests/Support/Relay.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <map>
#include <set>
#include <thread>

using namespace lavender;
using namespace lavender::test;

namespace {

/** What the platform's intake received so far. */
struct intake
{
  /** Figures of each window, as text; more than one is a fault. */
  std::map<std::int64_t, std::set<std::string>> mFigures;
  std::map<std::int64_t, int> mTimes;
  /** Requests billed to each customer, each window once. */
  std::map<std::string, std::int64_t> mRequests;
  std::int64_t mLate = 0;
  std::string mLastCaller;
  int mOldNumbers = 0;
};

struct site
{
  fleet mFleet;
  std::string mWarmKey;
  std::string mKey;
  std::int64_t mServed = 0;

  site()
  {
    mFleet.AddBackend(
      "engine-1", "bogota", "model-pool", "engine", { "--usage-window", "1" });
    mFleet.AddBackend(
      "engine-2", "cali", "model-pool", "engine", { "--usage-window", "1" });
    mFleet.AddEntry("entry-1", "bogota", EntryArguments());
    mFleet.AddEntry("entry-2", "cali", EntryArguments());
    mFleet.PublishInstances();
    json::value pool;
    pool.Set("model", "reports");
    BOOST_REQUIRE(WaitFor([&] {
      return mFleet.Put("BackendPool", "model-pool", pool).mStatus == 200;
    }));
    mWarmKey = mFleet.AddCustomer("warm-up");
    mKey = mFleet.AddCustomer("medellin-crew");
    BOOST_REQUIRE(mFleet.WaitUntilServing(mWarmKey, "reports"));
  }

  static std::vector<std::string> EntryArguments()
  {
    return { "--usage-window",     "1",  "--lease-duration", "1000",
             "--lease-late-bytes", "500" };
  }

  void Serve(const std::string& aEntry, int aCount)
  {
    const auto port = mFleet.Entries().at(aEntry).Callers();
    for (int i = 0; i < aCount; ++i) {
      mServed += Complete(port, mKey, "reports", "report", 4).mStatus == 200;
    }
  }

  void SetFaults(const json::object& aFaults)
  {
    Send(mFleet.PlatformPort(), "POST", "/control/faults", aFaults);
  }

  intake Intake()
  {
    intake taken;
    const auto log = Send(mFleet.PlatformPort(), "GET", "/control/log");
    const auto* lines = log.mBody.Find("lines");
    for (const auto& line : lines ? lines->Elements() : json::array()) {
      if (json::StringAt(line, "interface", "") != "usage") {
        continue;
      }
      const auto& detail = *line.Find("detail");
      const auto window = std::stoll(json::StringAt(detail, "window", "0"));
      json::value figures;
      figures.Set("rows", *detail.Find("rows"));
      figures.Set("late", *detail.Find("late"));
      taken.mLastCaller = json::StringAt(line, "caller", "");
      taken.mOldNumbers += json::IntegerAt(detail, "fencing", 0) <
                           json::IntegerAt(*detail.Find("lease"), "fencing", 0);
      taken.mFigures[window].insert(json::Write(figures));
      if (taken.mTimes[window]++ > 0) {
        continue;
      }
      for (const char* part : { "rows", "late" }) {
        for (const auto& row : detail.Find(part)->Elements()) {
          taken.mRequests[json::StringAt(row, "customer", "")] +=
            json::IntegerAt(row, "requests", 0);
          taken.mLate += std::string(part) == "late";
        }
      }
    }
    return taken;
  }

  std::string Reporter()
  {
    std::string name;
    BOOST_REQUIRE(WaitFor([&] {
      name = Intake().mLastCaller;
      return !name.empty();
    }));
    return name;
  }

  std::string Other(const std::string& aEntry)
  {
    return aEntry == "entry-1" ? "entry-2" : "entry-1";
  }

  bool WaitForReportBy(const std::string& aEntry)
  {
    return WaitFor([&] { return Intake().mLastCaller == aEntry; }, 30s);
  }

  /** Waits until all that was served is billed, and two windows more. */
  void CheckBilledOnce()
  {
    BOOST_TEST(WaitFor(
      [&] { return Intake().mRequests["medellin-crew"] >= mServed; }, 40s));
    const auto last = Intake().mFigures.rbegin()->first;
    BOOST_TEST(
      WaitFor([&] { return Intake().mFigures.rbegin()->first > last + 2; }));
    auto taken = Intake();
    BOOST_TEST(taken.mRequests["medellin-crew"] == mServed);
    int changed = 0;
    int missing = 0;
    for (const auto& [window, figures] : taken.mFigures) {
      changed += figures.size() > 1;
    }
    for (auto window = taken.mFigures.begin()->first;
         window < taken.mFigures.rbegin()->first;
         ++window) {
      missing += taken.mFigures.count(window) == 0;
    }
    BOOST_TEST(changed == 0);
    BOOST_TEST(missing == 0);
    BOOST_TEST(taken.mOldNumbers == 0);
  }

  void RestartAgents()
  {
    for (auto& [name, backend] : mFleet.Backends()) {
      mFleet.StartAgent(backend, { "--usage-window", "1" });
    }
    mFleet.PublishInstances();
  }

  void KillAgents()
  {
    for (auto& [name, backend] : mFleet.Backends()) {
      backend.mAgent->Signal(SIGKILL);
      backend.mAgent->WaitForExit(5s);
    }
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(TestUsageReports)

// A customer is billed twice, or a window changes after it was reported. The
// reporter is killed or paused at any point, answers get lost after the write,
// and the platform is down through several windows.
BOOST_FIXTURE_TEST_CASE(ReportersComeAndGo, site)
{
  Serve("entry-1", 5);
  const auto killed = Reporter();
  SetFaults({ { "lose_answers", 4 }, { "lose_usage_answers", 2 } });
  Serve("entry-2", 5);
  mFleet.Entries().at(killed).mProcess->Signal(SIGKILL);
  mFleet.Entries().at(killed).mProcess->WaitForExit(5s);
  Serve(Other(killed), 5);
  BOOST_TEST(WaitForReportBy(Other(killed)));
  mFleet.StartEntry(mFleet.Entries().at(killed), EntryArguments());
  mFleet.PublishInstances();

  const auto paused = Other(killed);
  mFleet.Entries().at(paused).mProcess->Signal(SIGSTOP);
  BOOST_TEST(WaitForReportBy(killed));
  mFleet.Entries().at(paused).mProcess->Signal(SIGCONT);
  BOOST_TEST(mFleet.WaitUntilServing(mWarmKey, "reports"));
  Serve(paused, 5);

  const auto before = Intake().mFigures.rbegin()->first;
  SetFaults({ { "down", true } });
  for (int i = 0; i < 12; ++i) {
    Serve(i % 2 == 0 ? "entry-1" : "entry-2", 1);
    std::this_thread::sleep_for(250ms);
  }
  SetFaults({ { "down", false } });
  BOOST_TEST(
    WaitFor([&] { return Intake().mFigures.rbegin()->first >= before + 3; }));
  CheckBilledOnce();
  int repeated = 0;
  for (const auto& [window, times] : Intake().mTimes) {
    repeated += times > 1;
  }
  BOOST_TEST(repeated >= 1);
}

// Agents die with counts that no report has; the entries count the same. Then
// an entry leaves with counts whose agent dies too; it handed them over. An
// entry dies whose agents live.
BOOST_FIXTURE_TEST_CASE(WitnessesDieOrLeave, site)
{
  Reporter();
  Serve("entry-1", 3);
  Serve("entry-2", 3);
  KillAgents();
  RestartAgents();
  BOOST_TEST(mFleet.WaitUntilServing(mWarmKey, "reports"));

  Serve("entry-1", 4);
  auto& leaving = mFleet.Entries().at("entry-1");
  KillAgents();
  leaving.mProcess->Signal(SIGTERM);
  BOOST_TEST(leaving.mProcess->WaitForExit(20s) == 0);
  RestartAgents();
  mFleet.StartEntry(leaving, EntryArguments());
  mFleet.PublishInstances();
  BOOST_TEST(mFleet.WaitUntilServing(mWarmKey, "reports"));

  // Until now entry-2 is the only witness of its first requests; that both
  // witnesses die is the stated loss, not this case.
  BOOST_TEST(WaitFor(
    [&] { return Intake().mRequests["medellin-crew"] >= mServed; }, 40s));

  Serve("entry-2", 4);
  auto& dying = mFleet.Entries().at("entry-2");
  dying.mProcess->Signal(SIGKILL);
  dying.mProcess->WaitForExit(5s);
  CheckBilledOnce();
  BOOST_TEST(Intake().mLate >= 1);
}

// A customer is billed for two requests and made one. The agent that runs it
// can't be reached any more, so the entry runs it again on the other server
// and answers; then the first agent is in reach again and has counted it too.
BOOST_FIXTURE_TEST_CASE(RepeatedElsewhereIsBilledOnce, site)
{
  std::map<std::string, std::unique_ptr<relay>> relays;
  for (auto& [name, backend] : mFleet.Backends()) {
    relays[name] = std::make_unique<relay>(backend.mAgent->Port("wire"));
    backend.mAgentRelay = relays[name]->Port();
    Send(backend.mServer->Port("http"),
         "POST",
         "/control/faults",
         json::object{ { "per_token_us", 300000 } });
  }
  mFleet.PublishInstances();
  BOOST_REQUIRE(WaitFor([&] {
    return std::all_of(relays.begin(), relays.end(), [](const auto& aRelay) {
      return aRelay.second->CarriedBytes() > 0;
    });
  }));
  BOOST_REQUIRE(mFleet.WaitUntilServing(mWarmKey, "reports"));
  answer served;
  std::thread caller([&] {
    served = Complete(mFleet.Entries().at("entry-1").Callers(),
                      mKey,
                      "reports",
                      "one two three four five six seven eight nine ten",
                      10);
  });
  backend* first = nullptr;
  const bool hasStarted = WaitFor([&] {
    for (auto& [name, backend] : mFleet.Backends()) {
      const auto load = Send(backend.mServer->Port("http"), "GET", "/load");
      if (json::IntegerAt(load.mBody, "running", 0) > 0) {
        first = &backend;
      }
    }
    return first != nullptr;
  });
  if (hasStarted) {
    relays[first->mName].reset();
  }
  caller.join();
  BOOST_REQUIRE(hasStarted);
  BOOST_REQUIRE(served.mStatus == 200);
  const auto* own = served.mBody.Find("lavender");
  BOOST_REQUIRE((own && json::StringAt(*own, "server", "") != first->mName));
  relays[first->mName] = std::make_unique<relay>(first->mAgent->Port("wire"));
  first->mAgentRelay = relays[first->mName]->Port();
  mFleet.PublishInstances();
  BOOST_REQUIRE(WaitFor([&] {
    return relays[first->mName]->CarriedBytes() > 0 &&
           Intake().mRequests["medellin-crew"] > 0;
  }));
  // Long enough for the windows that the first agent's count falls in.
  const auto before = Intake().mFigures.rbegin()->first;
  BOOST_TEST(
    WaitFor([&] { return Intake().mFigures.rbegin()->first >= before + 4; }));
  BOOST_TEST(Intake().mRequests["medellin-crew"] == 1);
}

BOOST_AUTO_TEST_SUITE_END()
