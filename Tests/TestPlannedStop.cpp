#include "Tests/Support/Fleet.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <thread>

using namespace lavender;
using namespace lavender::test;

namespace {

/** Two engines in one zone, which the pool's bounds then reduce to one. */
struct site
{
  fleet mFleet;
  std::string mKey;
  std::atomic<int> mAnswered{ 0 };
  std::atomic<int> mFailed{ 0 };
  std::vector<std::thread> mClients;

  site()
  {
    mFleet.AddBackend("engine-1", "bogota", "model-pool", "engine");
    mFleet.AddBackend("engine-2", "bogota", "model-pool", "engine");
    mFleet.AddEntry("entry-1", "bogota", Arguments());
    mFleet.AddEntry("entry-2", "bogota", Arguments());
    mFleet.PublishInstances();
    PutPool(0);
    mKey = mFleet.AddCustomer("medellin-crew");
    BOOST_REQUIRE(mFleet.WaitUntilServing(mKey, "reports"));
  }

  ~site()
  {
    for (auto& client : mClients) {
      client.join();
    }
  }

  static std::vector<std::string> Arguments()
  {
    return { "--lease-duration",    "1500", "--lease-late-bytes", "500",
             "--server-start-time", "200" };
  }

  void PutPool(std::int64_t aMaximum)
  {
    json::value pool;
    pool.Set("model", "reports");
    pool.Set("maximum_per_zone", aMaximum);
    BOOST_REQUIRE(WaitFor([&] {
      return mFleet.Put("BackendPool", "model-pool", pool).mStatus == 200;
    }));
  }

  void SetPerToken(std::int64_t aMicroseconds)
  {
    for (auto& [name, backend] : mFleet.Backends()) {
      json::value faults;
      faults.Set("per_token_us", aMicroseconds);
      Send(backend.mServer->Port("http"), "POST", "/control/faults", faults);
    }
  }

  /** Each client sends one request after another. */
  void StartClients(int aClients, int aRequests, std::int64_t aTokens)
  {
    for (int i = 0; i < aClients; ++i) {
      const auto& entry =
        mFleet.Entries().at(i % 2 == 0 ? "entry-1" : "entry-2");
      mClients.emplace_back(
        [this, port = entry.Callers(), aRequests, aTokens, i] {
          for (int sent = 0; sent < aRequests; ++sent) {
            // The stand-in answers with the prompt, a token a word.
            std::string prompt = "crew " + std::to_string(i);
            for (int word = 0; word < 60; ++word) {
              prompt += " w" + std::to_string(sent) + std::to_string(word);
            }
            const auto status =
              Complete(port, mKey, "reports", prompt, aTokens).mStatus;
            ++(status == 200 ? mAnswered : mFailed);
          }
        });
    }
  }

  json::value ZoneOrder()
  {
    const auto read =
      Send(mFleet.PlatformPort(), "GET", "/v1/objects/ZoneOrder/bogota");
    const auto* content = read.mBody.Find("value");
    return content ? *content : json::value();
  }

  /** Server that the platform was told to stop; empty before. */
  std::string StoppedServer()
  {
    const auto log = Send(mFleet.PlatformPort(), "GET", "/control/log");
    const auto* lines = log.mBody.Find("lines");
    for (const auto& line : lines ? lines->Elements() : json::array()) {
      const auto* detail = line.Find("detail");
      if (json::StringAt(line, "interface", "") == "orders" &&
          json::StringAt(*detail, "action", "") == "stop") {
        return json::StringAt(*detail, "server", "");
      }
    }
    return "";
  }

  bool WaitForDrain()
  {
    return WaitFor(
      [&] { return json::StringAt(ZoneOrder(), "stage", "") == "draining"; });
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(TestPlannedStop)

// A crew's report would be lost because the server that read it was stopped to
// save cost. The platform here stops a server the moment it is told to, without
// any grace; all requests must have ended before, and later ones go elsewhere.
BOOST_FIXTURE_TEST_CASE(PlannedStopCutsNoRequest, site)
{
  SetPerToken(20000);
  StartClients(8, 6, 60);
  std::this_thread::sleep_for(500ms);
  PutPool(1);
  BOOST_TEST(WaitForDrain());
  BOOST_REQUIRE(WaitFor([&] { return !StoppedServer().empty(); }, 30s));
  auto& stopped = mFleet.Backends().at(StoppedServer());
  stopped.mAgent->Signal(SIGKILL);
  stopped.mServer->Signal(SIGKILL);
  BOOST_TEST(WaitFor([&] { return mAnswered + mFailed == 48; }, 60s));
  BOOST_TEST(mFailed == 0);
  BOOST_TEST(mAnswered == 48);
}

// The server that is to stop has a request that takes very long. The stop waits
// for it; no deadline turns it into a cut.
BOOST_FIXTURE_TEST_CASE(StuckRequestDefersTheStop, site)
{
  SetPerToken(200000);
  StartClients(8, 1, 60);
  std::this_thread::sleep_for(500ms);
  PutPool(1);
  BOOST_TEST(WaitForDrain());
  for (int i = 0; i < 20; ++i) {
    BOOST_REQUIRE(StoppedServer().empty());
    BOOST_REQUIRE(mAnswered + mFailed == 0);
    std::this_thread::sleep_for(200ms);
  }
  BOOST_TEST(WaitFor([&] { return !StoppedServer().empty(); }, 40s));
  BOOST_TEST(WaitFor([&] { return mAnswered == 8; }));
}

BOOST_AUTO_TEST_SUITE_END()
