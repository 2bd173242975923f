#include "Tests/Support/Fleet.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <map>
#include <mutex>
#include <thread>

using namespace lavender;
using namespace lavender::test;

namespace {

/** Stands for the platform's load balancer: picks among the entries that report
 * that they are ready. */
class balancer
{
public:
  explicit balancer(fleet& aFleet)
  {
    for (auto& [name, entry] : aFleet.Entries()) {
      SetEntry(name, entry);
    }
    mThread = std::thread([this] { Poll(); });
  }
  ~balancer()
  {
    mIsStopping = true;
    mThread.join();
  }
  void SetEntry(const std::string& aName, const entry_instance& aEntry)
  {
    std::lock_guard lock(mMutex);
    mEntries[aName] = { aEntry.Callers(), aEntry.Health(), false };
  }
  /** Callers' port of a ready entry; 0 when no entry is ready. */
  std::uint16_t Pick(unsigned aTurn)
  {
    std::lock_guard lock(mMutex);
    std::vector<std::uint16_t> ready;
    for (const auto& [name, entry] : mEntries) {
      if (entry.mIsReady) {
        ready.push_back(entry.mCallers);
      }
    }
    return ready.empty() ? 0 : ready[aTurn % ready.size()];
  }
  bool IsReady(const std::string& aName)
  {
    std::lock_guard lock(mMutex);
    return mEntries[aName].mIsReady;
  }

private:
  struct entry_state
  {
    std::uint16_t mCallers = 0;
    std::uint16_t mHealth = 0;
    bool mIsReady = false;
  };

  void Poll()
  {
    while (!mIsStopping) {
      std::map<std::string, entry_state> entries;
      {
        std::lock_guard lock(mMutex);
        entries = mEntries;
      }
      for (auto& [name, entry] : entries) {
        const bool isReady =
          Send(entry.mHealth, "GET", "/readyz", {}, {}, 2s).mStatus == 200;
        std::lock_guard lock(mMutex);
        if (mEntries[name].mHealth == entry.mHealth) {
          mEntries[name].mIsReady = isReady;
        }
      }
      std::this_thread::sleep_for(50ms);
    }
  }

  std::mutex mMutex;
  std::map<std::string, entry_state> mEntries;
  std::atomic<bool> mIsStopping{ false };
  std::thread mThread;
};

/** Clients that send one request after another until they are stopped. */
class load
{
public:
  load(balancer& aBalancer, const std::string& aKey)
    : mBalancer(aBalancer)
    , mKey(aKey)
  {
    constexpr int kCallers = 8;
    for (int i = 0; i < kCallers; ++i) {
      mThreads.emplace_back([this, i] { Run(i); });
    }
  }
  ~load() { Stop(); }
  void Stop()
  {
    mIsStopping = true;
    for (auto& thread : mThreads) {
      if (thread.joinable()) {
        thread.join();
      }
    }
  }
  int Served() const { return mServed; }
  int Failed() const { return mFailed; }
  std::string LastFailure()
  {
    std::lock_guard lock(mMutex);
    return mLastFailure;
  }

private:
  void Run(int aCaller)
  {
    for (unsigned turn = 0; !mIsStopping; ++turn) {
      const auto port = mBalancer.Pick(turn);
      const auto prompt = "minutes-" + std::to_string(aCaller) + "-" +
                          std::to_string(turn) + " two three";
      if (port == 0) {
        std::this_thread::sleep_for(20ms);
        continue;
      }
      const auto got = Complete(port, mKey, "protokoll", prompt, 8);
      const auto* choices = got.mBody.Find("choices");
      const bool isComplete =
        got.mStatus == 200 && choices && !choices->Elements().empty() &&
        json::StringAt(choices->Elements()[0], "text", "") == prompt;
      ++(isComplete ? mServed : mFailed);
      if (!isComplete) {
        std::lock_guard lock(mMutex);
        mLastFailure =
          std::to_string(got.mStatus) + " " + json::Write(got.mBody);
      }
    }
  }

  balancer& mBalancer;
  const std::string mKey;
  std::atomic<bool> mIsStopping{ false };
  std::atomic<int> mServed{ 0 };
  std::atomic<int> mFailed{ 0 };
  std::mutex mMutex;
  std::string mLastFailure;
  std::vector<std::thread> mThreads;
};

struct site
{
  fleet mFleet;
  std::string mKey;

  site()
  {
    for (const char* name : { "engine-1", "engine-2", "engine-3" }) {
      mFleet.AddBackend(name, "hall-malmo", "modellflotta", "engine");
      Send(mFleet.Backends().at(name).mServer->Port("http"),
           "POST",
           "/control/faults",
           json::object{ { "per_token_us", 20000 } });
    }
    mFleet.AddEntry("entry-1", "hall-malmo");
    mFleet.AddEntry("entry-2", "hall-lund");
    mFleet.PublishInstances();
    json::value pool;
    pool.Set("model", "protokoll");
    mFleet.Put("BackendPool", "modellflotta", pool);
    mKey = mFleet.AddCustomer("brf-ekbacken");
    BOOST_REQUIRE(mFleet.WaitUntilServing(mKey, "protokoll"));
    // The instance list shows every change 2 s late.
    Send(mFleet.PlatformPort(),
         "POST",
         "/control/faults",
         json::object{ { "list_lag_ms", 2000 } });
  }

  /** Number of runs of each request at one engine. */
  std::map<std::string, int> RunsAt(const std::string& aName)
  {
    std::map<std::string, int> runs;
    const auto log = Send(
      mFleet.Backends().at(aName).mServer->Port("http"), "GET", "/control/log");
    for (const auto& run : log.mBody.Find("runs")->Elements()) {
      ++runs[json::StringAt(run, "request", "")];
    }
    return runs;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(TestRollingReplacement)

// The operators replace every instance, one after another, under load. Guards
// against truncated or missing responses, which occur when an instance stops
// before its requests have ended or gets new ones after it said that it leaves.
BOOST_FIXTURE_TEST_CASE(LosesNothing, site)
{
  balancer balancer(mFleet);
  BOOST_REQUIRE(WaitFor([&] {
    return balancer.IsReady("entry-1") && balancer.IsReady("entry-2");
  }));
  load load(balancer, mKey);
  int replaced = 0;
  for (auto& [name, backend] : mFleet.Backends()) {
    const auto oldPort = backend.mAgent->Port("wire");
    backend.mAgent->Signal(SIGTERM);
    BOOST_TEST(backend.mAgent->WaitForExit(20s) == 0);
    mFleet.StartAgent(backend);
    replaced += backend.mAgent->Port("wire") != oldPort ? 1 : 0;
    mFleet.PublishInstances();
    // The next instance is replaced only once this one gets requests again.
    const auto before = RunsAt(name).size();
    BOOST_TEST(
      WaitFor([&, &name = name] { return RunsAt(name).size() > before + 20; }));
  }
  for (auto& [name, entry] : mFleet.Entries()) {
    const auto oldPort = entry.Callers();
    entry.mProcess->Signal(SIGTERM);
    BOOST_TEST(entry.mProcess->WaitForExit(20s) == 0);
    mFleet.StartEntry(entry);
    replaced += entry.Callers() != oldPort ? 1 : 0;
    balancer.SetEntry(name, entry);
    mFleet.PublishInstances();
    BOOST_TEST(WaitFor([&, &name = name] { return balancer.IsReady(name); }));
    const int before = load.Served();
    BOOST_TEST(WaitFor([&] { return load.Served() > before + 100; }));
  }
  load.Stop();
  BOOST_TEST(replaced == 5);
  BOOST_TEST(load.Served() > 500);
  BOOST_TEST(load.Failed() == 0, load.LastFailure());
  std::map<std::string, int> runs;
  for (const auto& [name, backend] : mFleet.Backends()) {
    for (const auto& [request, count] : RunsAt(name)) {
      runs[request] += count;
    }
  }
  int doubled = 0;
  for (const auto& [request, count] : runs) {
    doubled += count > 1 ? 1 : 0;
  }
  BOOST_TEST(doubled == 0);
  BOOST_TEST_MESSAGE("served=" << load.Served());
}

// A server is taken out while the platform's instance list goes on naming it
// for a long time. It must get no new requests a few seconds later, and be
// dropped once the list has caught up.
BOOST_FIXTURE_TEST_CASE(ALeavingServerGetsNoNewWorkThoughTheListLags, site)
{
  balancer balancer(mFleet);
  BOOST_REQUIRE(WaitFor([&] {
    return balancer.IsReady("entry-1") && balancer.IsReady("entry-2");
  }));
  Send(mFleet.PlatformPort(),
       "POST",
       "/control/faults",
       json::object{ { "list_lag_ms", 10000 } });
  load load(balancer, mKey);
  auto& leaving = mFleet.Backends().at("engine-1");
  BOOST_TEST(WaitFor([&] { return RunsAt("engine-1").size() > 10; }));
  leaving.mAgent->Signal(SIGTERM);
  std::this_thread::sleep_for(3s);
  const auto before = RunsAt("engine-1").size();
  const int servedBefore = load.Served();
  BOOST_TEST(WaitFor([&] { return load.Served() > servedBefore + 200; }));
  BOOST_TEST(RunsAt("engine-1").size() == before);
  BOOST_TEST(leaving.mAgent->WaitForExit(20s) == 0);
  load.Stop();
  BOOST_TEST(load.Failed() == 0, load.LastFailure());
  // Once it is gone from the list, the entry drops it.
  auto server = std::move(mFleet.Backends().at("engine-1").mServer);
  mFleet.Backends().erase("engine-1");
  mFleet.PublishInstances();
  Send(mFleet.PlatformPort(),
       "POST",
       "/control/faults",
       json::object{ { "list_lag_ms", 0 } });
  BOOST_TEST(WaitFor([&] {
    const auto got = Send(mFleet.Entries().at("entry-1").Operators(),
                          "GET",
                          "/v1/resources/BackendPool/modellflotta");
    const auto* status = got.mBody.Find("status");
    const auto* servers = status ? status->Find("servers") : nullptr;
    return servers && json::IntegerAt(*servers, "live", 0) == 2 &&
           !servers->Find("silent") && !servers->Find("leaving");
  }));
}

BOOST_AUTO_TEST_SUITE_END()
