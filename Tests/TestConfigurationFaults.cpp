#include "Tests/Support/Fleet.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <cstdlib>
#include <cxxtools/http/client.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <filesystem>
#include <thread>

using namespace lavender;
using namespace lavender::test;

namespace {

/** Longest time for which a withdrawn key may still be accepted, in every case.
 */
constexpr auto kWithdrawalLimit = 8s;

json::value
Instance(const std::string& aName,
         const std::string& aPool,
         const std::string& aRole,
         std::uint16_t aPort)
{
  json::value item;
  item.Set("name", aName);
  item.Set("zone", "hall-malmo");
  item.Set("pool", aPool);
  item.Set("role", aRole);
  item.Set("address", "127.0.0.1:" + std::to_string(aPort));
  item.Set("state", "live");
  return item;
}

/** Reason code of an error response; empty without one. */
std::string
ReasonOf(const answer& aAnswer)
{
  const auto* error = aAnswer.mBody.Find("error");
  return error ? json::StringAt(*error, "reason", "") : "";
}

std::string
RanOf(const answer& aAnswer)
{
  const auto* error = aAnswer.mBody.Find("error");
  return error ? json::StringAt(*error, "ran", "") : "";
}

struct site
{
  fleet mFleet;
  std::string mKey;
  std::string mOtherKey;

  site()
  {
    mFleet.AddBackend("engine-1",
                      "hall-malmo",
                      "modellflotta",
                      "engine",
                      { "--slots", "1", "--queue", "8" });
    mFleet.AddEntry("entry-1", "hall-malmo");
    mFleet.AddEntry("entry-2", "hall-lund");
    mFleet.PublishInstances();
    json::value pool;
    pool.Set("model", "protokoll");
    mFleet.Put("BackendPool", "modellflotta", pool);
    mKey = mFleet.AddCustomer("brf-ekbacken");
    mOtherKey = mFleet.AddCustomer("brf-tallen");
    BOOST_REQUIRE(mFleet.WaitUntilServing(mKey, "protokoll"));
    BOOST_REQUIRE(mFleet.WaitUntilServing(mOtherKey, "protokoll"));
  }

  entry_instance& Entry(const std::string& aName)
  {
    return mFleet.Entries().at(aName);
  }
  answer SendRequest(const std::string& aEntry, const std::string& aKey)
  {
    return Complete(Entry(aEntry).Callers(), aKey, "protokoll", "mote", 1);
  }
  void SetFaults(const json::value& aFaults)
  {
    Send(mFleet.PlatformPort(), "POST", "/control/faults", aFaults);
  }
  std::int64_t Calls(const std::string& aName)
  {
    return json::IntegerAt(
      Send(mFleet.PlatformPort(), "GET", "/control/calls").mBody, aName, 0);
  }
  void CutEntry2()
  {
    SetFaults(json::object{ { "cut", json::array{ "entry-2" } } });
    const auto before = Calls("cut");
    BOOST_REQUIRE(WaitFor([&] { return Calls("cut") > before; }));
    // A watch request that was already waiting would still deliver the next
    // change.
    std::this_thread::sleep_for(1200ms);
  }
  void Withdraw(const std::string& aCustomer)
  {
    json::value spec;
    spec.Set("customer", aCustomer);
    spec.Set("withdrawn", true);
    BOOST_REQUIRE(mFleet.Put("Key", aCustomer + "-key", spec).mStatus == 200);
  }
  /** Publishes an instance list in which the entries have no usable peer
   * address. */
  void PublishWithoutPeers()
  {
    json::array items;
    for (auto& [name, backend] : mFleet.Backends()) {
      items.push_back(
        Instance(name, backend.mPool, "backend", backend.mAgent->Port("wire")));
    }
    for (auto& [name, entry] : mFleet.Entries()) {
      items.push_back(Instance(name, "", "entry", 1));
    }
    json::value body;
    body.Set("instances", std::move(items));
    Send(mFleet.PlatformPort(), "POST", "/control/instances", body);
  }
};

/** An HTTP connection that stays open over several requests. */
class keep_alive_connection
{
public:
  explicit keep_alive_connection(std::uint16_t aPort)
    : mClient("127.0.0.1", aPort)
  {
    mClient.connect();
  }
  unsigned SendRequest(const std::string& aKey)
  {
    json::value body;
    body.Set("model", "protokoll");
    body.Set("prompt", "mote");
    body.Set("max_tokens", 1);
    cxxtools::http::Request request("/v1/completions");
    request.method("POST");
    request.setHeader("Authorization", ("Bearer " + aKey).c_str());
    request.body() << json::Write(body);
    const auto status =
      mClient.execute(request, cxxtools::Seconds(20)).httpReturnCode();
    mClient.readBody();
    return status;
  }

private:
  cxxtools::http::Client mClient;
};

/** Temporary folder that is removed with the object. */
struct temporary_folder
{
  std::filesystem::path mPath;

  temporary_folder()
  {
    std::string name =
      (std::filesystem::temp_directory_path() / "lavender-XXXXXX").string();
    mPath = mkdtemp(name.data());
  }
  ~temporary_folder() { std::filesystem::remove_all(mPath); }
};

} // namespace

BOOST_AUTO_TEST_SUITE(TestConfigurationFaults)

// Guards against keys being checked once per connection: a customer's key is
// withdrawn while a client holds an open connection to each entry, and requests
// on that connection must be refused from then on.
BOOST_FIXTURE_TEST_CASE(StopsOnKeptAliveConnections, site)
{
  keep_alive_connection first(Entry("entry-1").Callers());
  keep_alive_connection second(Entry("entry-2").Callers());
  BOOST_TEST(first.SendRequest(mKey) == 200u);
  BOOST_TEST(second.SendRequest(mKey) == 200u);
  Withdraw("brf-ekbacken");
  BOOST_TEST(WaitFor(
    [&] {
      return first.SendRequest(mKey) == 401u &&
             second.SendRequest(mKey) == 401u;
    },
    kWithdrawalLimit));
  BOOST_TEST(first.SendRequest(mOtherKey) == 200u);
  BOOST_TEST(second.SendRequest(mOtherKey) == 200u);
}

// Guards against a request that runs with a withdrawn key: the key is withdrawn
// while the request waits in a server's queue, so it must be checked again
// before the request is dispatched.
BOOST_FIXTURE_TEST_CASE(StopsForQueuedWork, site)
{
  const auto engine = mFleet.Backends().at("engine-1").mServer->Port("http");
  Send(engine,
       "POST",
       "/control/faults",
       json::object{ { "per_token_us", 100000 } });
  std::string longPrompt;
  for (int i = 0; i < 40; ++i) {
    longPrompt += "word ";
  }
  answer running;
  answer queued;
  std::thread busy([&] {
    running = Complete(
      Entry("entry-1").Callers(), mOtherKey, "protokoll", longPrompt, 40);
  });
  std::this_thread::sleep_for(300ms);
  std::thread waiting([&] {
    queued = Complete(
      Entry("entry-2").Callers(), mKey, "protokoll", "queued minutes", 1);
  });
  std::this_thread::sleep_for(300ms);
  Withdraw("brf-ekbacken");
  waiting.join();
  busy.join();
  BOOST_TEST(running.mStatus == 200);
  BOOST_TEST(queued.mStatus == 401);
  BOOST_TEST(ReasonOf(queued) == "key_withdrawn");
  BOOST_TEST(RanOf(queued) == "not_run");
  const auto* error = queued.mBody.Find("error");
  BOOST_REQUIRE(error);
  const auto id = json::StringAt(*error, "request_id", "");
  BOOST_TEST(id != "");
  const auto log = Send(engine, "GET", "/control/log");
  const auto& runs = log.mBody.Find("runs")->Elements();
  BOOST_TEST(runs.size() > 0u);
  BOOST_TEST(std::none_of(runs.begin(), runs.end(), [&](const auto& aRun) {
    return json::StringAt(aRun, "request", "") == id;
  }));
}

// Guards against one entry accepting a withdrawn key for as long as it alone is
// cut off from the platform. It has to catch up from its peers and to go on
// serving valid keys.
BOOST_FIXTURE_TEST_CASE(StopsAtAnEntryCutOffWithPeers, site)
{
  CutEntry2();
  Withdraw("brf-ekbacken");
  BOOST_TEST(
    WaitFor([&] { return SendRequest("entry-2", mKey).mStatus == 401; },
            kWithdrawalLimit));
  const auto end = std::chrono::steady_clock::now() + kWithdrawalLimit;
  while (std::chrono::steady_clock::now() < end) {
    BOOST_TEST(SendRequest("entry-2", mOtherKey).mStatus == 200);
    std::this_thread::sleep_for(100ms);
  }
}

// Same fault, but the entry reaches only the agents and no peer. The agents
// have newer configuration versions from the other entries, so the entry must
// refuse requests until the cut ends.
BOOST_FIXTURE_TEST_CASE(RefusesAtAnEntryCutOffWithoutPeers, site)
{
  PublishWithoutPeers();
  std::this_thread::sleep_for(2s);
  CutEntry2();
  Withdraw("brf-ekbacken");
  answer last;
  BOOST_TEST(WaitFor(
    [&] {
      last = SendRequest("entry-2", mKey);
      return last.mStatus != 200;
    },
    kWithdrawalLimit));
  BOOST_TEST(last.mStatus == 503);
  BOOST_TEST(ReasonOf(last) == "configuration_stale");
  BOOST_TEST(RanOf(last) == "not_run");
  BOOST_TEST(http::HeaderOr(last.mHeaders, "Retry-After", "") != "");
  BOOST_TEST(SendRequest("entry-1", mOtherKey).mStatus == 200);
  SetFaults(json::object{ { "cut", json::array{} } });
  BOOST_TEST(
    WaitFor([&] { return SendRequest("entry-2", mKey).mStatus == 401; }));
  BOOST_TEST(SendRequest("entry-2", mOtherKey).mStatus == 200);
}

// Guards against a restarted entry that reads an outdated copy of the store,
// from before the withdrawal, and accepts the withdrawn key in its first
// seconds.
BOOST_FIXTURE_TEST_CASE(NeverRevertsAtOneJustStarted, site)
{
  SetFaults(json::object{ { "old_copy_for", json::array{ "entry-3" } } });
  Withdraw("brf-ekbacken");
  BOOST_REQUIRE(
    WaitFor([&] { return SendRequest("entry-2", mKey).mStatus == 401; }));
  auto& fresh = mFleet.AddEntry("entry-3", "hall-hbg");
  mFleet.PublishInstances();
  int accepted = 0;
  BOOST_TEST(WaitFor([&] {
    accepted += SendRequest("entry-3", mKey).mStatus == 200 ? 1 : 0;
    return SendRequest("entry-3", mOtherKey).mStatus == 200;
  }));
  BOOST_TEST(Send(fresh.Health(), "GET", "/readyz").mStatus == 200);
  BOOST_TEST(SendRequest("entry-3", mKey).mStatus == 401);
  BOOST_TEST(accepted == 0);
  BOOST_TEST(Calls("old_copy") > 0);
}

// Guards against valid keys being refused during a long outage of the
// platform's store, although no key can be withdrawn meanwhile.
BOOST_FIXTURE_TEST_CASE(GoesOnWithThePlatformDownForAll, site)
{
  SetFaults(json::object{ { "down", true } });
  const auto end = std::chrono::steady_clock::now() + kWithdrawalLimit + 4s;
  int served = 0;
  while (std::chrono::steady_clock::now() < end) {
    for (const char* entry : { "entry-1", "entry-2" }) {
      const auto got = SendRequest(entry, mKey);
      BOOST_TEST(got.mStatus == 200, entry << " " << ReasonOf(got));
      ++served;
    }
    std::this_thread::sleep_for(100ms);
  }
  BOOST_TEST(served > 20);
  json::value spec;
  spec.Set("customer", "brf-ekbacken");
  BOOST_TEST(mFleet.Put("Key", "brf-ekbacken-key", spec).mStatus == 503);
  SetFaults(json::object{ { "down", false } });
  BOOST_TEST(WaitFor([&] {
    return mFleet.Put("Key", "brf-ekbacken-key", spec).mStatus == 200;
  }));
}

// An entry is replaced while the platform is down. With a data folder it starts
// from the configuration saved there; without one it has no configuration and
// says so.
BOOST_FIXTURE_TEST_CASE(StartsFromItsDiskWithThePlatformDown, site)
{
  const temporary_folder folder;
  auto& entry = Entry("entry-2");
  entry.mProcess->Signal(SIGKILL);
  entry.mProcess->WaitForExit(5s);
  mFleet.StartEntry(entry, { "--data-folder", folder.mPath.string() });
  mFleet.PublishInstances();
  Withdraw("brf-ekbacken");
  BOOST_REQUIRE(
    WaitFor([&] { return SendRequest("entry-2", mKey).mStatus == 401; }));
  BOOST_REQUIRE(
    WaitFor([&] { return SendRequest("entry-2", mOtherKey).mStatus == 200; }));
  BOOST_REQUIRE(WaitFor([&] {
    return std::filesystem::exists(folder.mPath / "configuration") &&
           std::filesystem::exists(folder.mPath / "instances");
  }));
  std::this_thread::sleep_for(2s);
  SetFaults(json::object{ { "down", true } });
  entry.mProcess->Signal(SIGKILL);
  entry.mProcess->WaitForExit(5s);
  mFleet.StartEntry(entry, { "--data-folder", folder.mPath.string() });
  BOOST_TEST(
    WaitFor([&] { return SendRequest("entry-2", mOtherKey).mStatus == 200; }));
  BOOST_TEST(SendRequest("entry-2", mKey).mStatus == 401);
  auto& bare = mFleet.AddEntry("entry-3", "hall-hbg");
  BOOST_TEST(Send(bare.Health(), "GET", "/readyz").mStatus == 503);
  BOOST_TEST(ReasonOf(SendRequest("entry-3", mOtherKey)) ==
             "configuration_stale");
}

BOOST_AUTO_TEST_SUITE_END()
