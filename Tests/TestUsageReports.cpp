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

/** What the platform's usage intake has received so far. */
struct usage_intake
{
  /** Distinct contents of each window's reports, as text; more than one is a
   * fault. */
  std::map<std::int64_t, std::set<std::string>> mFigures;
  std::map<std::int64_t, int> mReportCounts;
  /** Requests billed to each customer; each window counts once. */
  std::map<std::string, std::int64_t> mRequests;
  std::int64_t mLate = 0;
  std::string mLastCaller;
  int mStaleFencing = 0;
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

  usage_intake ReadIntake()
  {
    usage_intake received;
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
      received.mLastCaller = json::StringAt(line, "caller", "");
      received.mStaleFencing +=
        json::IntegerAt(detail, "fencing", 0) <
        json::IntegerAt(*detail.Find("lease"), "fencing", 0);
      received.mFigures[window].insert(json::Write(figures));
      if (received.mReportCounts[window]++ > 0) {
        continue;
      }
      for (const char* part : { "rows", "late" }) {
        for (const auto& row : detail.Find(part)->Elements()) {
          received.mRequests[json::StringAt(row, "customer", "")] +=
            json::IntegerAt(row, "requests", 0);
          received.mLate += std::string(part) == "late";
        }
      }
    }
    return received;
  }

  std::string Reporter()
  {
    std::string name;
    BOOST_REQUIRE(WaitFor([&] {
      name = ReadIntake().mLastCaller;
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
    return WaitFor([&] { return ReadIntake().mLastCaller == aEntry; }, 30s);
  }

  /** Waits until everything served is billed and two more windows are reported,
   * then checks that nothing is billed twice, changed or missing. */
  void CheckBilledOnce()
  {
    BOOST_TEST(WaitFor(
      [&] { return ReadIntake().mRequests["medellin-crew"] >= mServed; }, 40s));
    const auto last = ReadIntake().mFigures.rbegin()->first;
    BOOST_TEST(WaitFor(
      [&] { return ReadIntake().mFigures.rbegin()->first > last + 2; }));
    auto received = ReadIntake();
    BOOST_TEST(received.mRequests["medellin-crew"] == mServed);
    int changed = 0;
    int missing = 0;
    for (const auto& [window, figures] : received.mFigures) {
      changed += figures.size() > 1;
    }
    for (auto window = received.mFigures.begin()->first;
         window < received.mFigures.rbegin()->first;
         ++window) {
      missing += received.mFigures.count(window) == 0;
    }
    BOOST_TEST(changed == 0);
    BOOST_TEST(missing == 0);
    BOOST_TEST(received.mStaleFencing == 0);
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

// Guards against a customer billed twice and a window that changes after it was
// reported. The reporter is killed or paused at any point, responses are lost
// after the write, and the platform is down through several windows.
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

  const auto before = ReadIntake().mFigures.rbegin()->first;
  SetFaults({ { "down", true } });
  for (int i = 0; i < 12; ++i) {
    Serve(i % 2 == 0 ? "entry-1" : "entry-2", 1);
    std::this_thread::sleep_for(250ms);
  }
  SetFaults({ { "down", false } });
  BOOST_TEST(WaitFor(
    [&] { return ReadIntake().mFigures.rbegin()->first >= before + 3; }));
  CheckBilledOnce();
  int repeated = 0;
  for (const auto& [window, times] : ReadIntake().mReportCounts) {
    repeated += times > 1;
  }
  BOOST_TEST(repeated >= 1);
}

// Agents die with counts that no report contains yet; the entries hold the same
// counts. Then the agents die again and an entry leaves that has counted the
// same requests: it must hand its counts over first. At last an entry dies
// whose agents live.
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

  // Until now entry-2 is the only witness of its first requests. Counts whose
  // witnesses both die are lost by design, which this case doesn't cover.
  BOOST_TEST(WaitFor(
    [&] { return ReadIntake().mRequests["medellin-crew"] >= mServed; }, 40s));

  Serve("entry-2", 4);
  auto& dying = mFleet.Entries().at("entry-2");
  dying.mProcess->Signal(SIGKILL);
  dying.mProcess->WaitForExit(5s);
  CheckBilledOnce();
  BOOST_TEST(ReadIntake().mLate >= 1);
}

// Guards against a request billed twice: the agent that runs it becomes
// unreachable, so the entry runs it again on the other server and responds;
// then the first agent is reachable again and has counted the request too.
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
      return aRelay.second->ForwardedBytes() > 0;
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
    return relays[first->mName]->ForwardedBytes() > 0 &&
           ReadIntake().mRequests["medellin-crew"] > 0;
  }));
  // Long enough for the windows that contain the first agent's count.
  const auto before = ReadIntake().mFigures.rbegin()->first;
  BOOST_TEST(WaitFor(
    [&] { return ReadIntake().mFigures.rbegin()->first >= before + 4; }));
  BOOST_TEST(ReadIntake().mRequests["medellin-crew"] == 1);
}

BOOST_AUTO_TEST_SUITE_END()
