#include "Tests/Support/Fleet.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <thread>

using namespace lavender;
using namespace lavender::test;

namespace {

struct site
{
  fleet mFleet;
  std::string mKey;

  site()
  {
    mFleet.AddBackend("engine-1", "hall-malmo", "modellflotta", "engine");
    mFleet.AddBackend("engine-2", "hall-lund", "modellflotta", "engine");
    mFleet.AddEntry("entry-1", "hall-malmo");
    mFleet.AddEntry("entry-2", "hall-lund");
    mFleet.PublishInstances();
    json::value pool;
    pool.Set("model", "protokoll");
    mFleet.Put("BackendPool", "modellflotta", pool);
    mKey = mFleet.AddCustomer("brf-ekbacken");
    BOOST_REQUIRE(mFleet.WaitUntilServing(mKey, "protokoll"));
  }

  void SetFaults(const json::value& aFaults)
  {
    Send(mFleet.PlatformPort(), "POST", "/control/faults", aFaults);
  }
  /** Number of GET calls that the platform has received so far. */
  std::int64_t GetCalls()
  {
    return json::IntegerAt(
      Send(mFleet.PlatformPort(), "GET", "/control/calls").mBody, "GET", 0);
  }
  /** Sends that many requests one after another, alternately to both entries,
   * and returns how many succeeded. */
  int CountServed(int aCount)
  {
    int served = 0;
    for (int i = 0; i < aCount; ++i) {
      auto& entry = mFleet.Entries().at(i % 2 == 0 ? "entry-1" : "entry-2");
      const auto got =
        Complete(entry.Callers(), mKey, "protokoll", "minutes", 1);
      served += got.mStatus == 200 ? 1 : 0;
    }
    return served;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(TestPlatformDownAndSlow)

// The platform responds to each call after 5 s. If requests waited for it, 100
// of them one after another would take minutes; all must be served in less time
// than the platform takes for a single call.
BOOST_FIXTURE_TEST_CASE(NoRequestWaitsForASlowPlatform, site)
{
  SetFaults(json::object{ { "slow_ms", 5000 } });
  const auto before = GetCalls();
  BOOST_REQUIRE(WaitFor([&] { return GetCalls() > before; }));
  std::atomic<bool> isAnswered{ false };
  // Control calls aren't affected by the fault; an object read takes the 5 s.
  std::thread platformCall([&] {
    Send(mFleet.PlatformPort(), "GET", "/v1/objects/Customer/brf-ekbacken");
    isAnswered = true;
  });
  const int served = CountServed(100);
  const bool wasAnsweredBefore = isAnswered;
  platformCall.join();
  BOOST_TEST(served == 100);
  // All 100 were served within the platform's time for a single call.
  BOOST_TEST(!wasAnsweredBefore);
}

// Guards against valid keys being refused when the platform stays slow for
// longer than a proof that the configuration is current remains valid.
BOOST_FIXTURE_TEST_CASE(GoesOnServingWhileItStaysSlow, site)
{
  SetFaults(json::object{ { "slow_ms", 5000 } });
  const auto end = std::chrono::steady_clock::now() + 14s;
  int sent = 0;
  int served = 0;
  while (std::chrono::steady_clock::now() < end) {
    sent += 2;
    served += CountServed(2);
    std::this_thread::sleep_for(50ms);
  }
  BOOST_TEST(sent > 40);
  BOOST_TEST(served == sent);
  SetFaults(json::object{ { "slow_ms", 0 } });
  // Operators' changes come into force within the bound again.
  json::value spec;
  spec.Set("customer", "brf-ekbacken");
  spec.Set("withdrawn", true);
  BOOST_TEST(WaitFor([&] {
    return mFleet.Put("Key", "brf-ekbacken-key", spec).mStatus == 200;
  }));
  BOOST_TEST(WaitFor([&] { return CountServed(2) == 0; }, 8s));
}

// A client floods calls that need the platform. Without a bound, this one entry
// would use up the platform's rate limit, which the leases of all other entries
// depend on.
BOOST_FIXTURE_TEST_CASE(RefusesOverTheRateAtOnce, site)
{
  auto& entry =
    mFleet.AddEntry("entry-3", "hall-hbg", { "--platform-reads", "10" });
  const auto send = [&] {
    return Send(entry.Operators(), "GET", "/v1/resources/Customer/nobody");
  };
  int refused = 0;
  int answered = 0;
  for (int i = 0; i < 200; ++i) {
    const auto status = send().mStatus;
    refused += status == 503 ? 1 : 0;
    answered += status == 404 ? 1 : 0;
  }
  BOOST_TEST(refused > 0);
  BOOST_TEST(answered > 0);
  BOOST_TEST(refused + answered == 200);
  // A moment later the entry has calls left again, and its own watch goes on.
  BOOST_TEST(WaitFor([&] { return send().mStatus == 404; }));
}

BOOST_AUTO_TEST_SUITE_END()
