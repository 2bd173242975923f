#include "Tests/Support/Fleet.h"

#include <algorithm>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <mutex>
#include <set>
#include <thread>

using namespace lavender;
using namespace lavender::test;

namespace {

constexpr const char* kModel = "reports";

struct site
{
  fleet mFleet;

  explicit site(int aSlots, int aQueue)
  {
    mFleet.AddBackend(
      "server-1",
      "bogota",
      "model-pool",
      "engine",
      { "--slots", std::to_string(aSlots), "--queue", std::to_string(aQueue) });
    mFleet.AddEntry("entry-1", "bogota");
    mFleet.AddEntry("entry-2", "cali");
    mFleet.PublishInstances();
    json::value pool;
    pool.Set("model", kModel);
    mFleet.Put("BackendPool", "model-pool", pool);
  }

  std::uint16_t Engine()
  {
    return mFleet.Backends().at("server-1").mServer->Port("http");
  }
  std::uint16_t Entry(const std::string& aName)
  {
    return mFleet.Entries().at(aName).Callers();
  }
  void SetPerToken(int aMicroseconds)
  {
    Send(Engine(),
         "POST",
         "/control/faults",
         json::object{ { "per_token_us", aMicroseconds } });
  }
};

struct flood_counts
{
  std::mutex mMutex;
  int mServed = 0;
  int mRefused = 0;
  /** Refusals that lack "not_run" or a time after which to retry. */
  int mIncomplete = 0;

  void Record(const answer& aAnswer)
  {
    std::lock_guard lock(mMutex);
    if (aAnswer.mStatus == 200) {
      ++mServed;
      return;
    }
    ++mRefused;
    const auto* error = aAnswer.mBody.Find("error");
    const bool isComplete =
      aAnswer.mStatus == 503 && error &&
      json::StringAt(*error, "ran", "") == "not_run" &&
      json::IntegerAt(*error, "retry_after_ms", 0) > 0 &&
      !http::HeaderOr(aAnswer.mHeaders, "Retry-After", "").empty();
    mIncomplete += isComplete ? 0 : 1;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(TestOverload)

// One customer floods the servers far beyond its share. Guards against another
// customer's request being refused or queued behind hundreds, and against
// "not_run" in the response to a request that did run, which the client would
// repeat.
BOOST_AUTO_TEST_CASE(AFloodRefusesOnlyItsOwnCustomer)
{
  site site(2, 8);
  const auto large = site.mFleet.AddCustomer("large");
  const auto small = site.mFleet.AddCustomer("small");
  BOOST_REQUIRE(site.mFleet.WaitUntilServing(large, kModel));
  BOOST_REQUIRE(site.mFleet.WaitUntilServing(small, kModel));
  const auto runsBefore = Send(site.Engine(), "GET", "/control/log")
                            .mBody.Find("runs")
                            ->Elements()
                            .size();
  site.SetPerToken(20000);
  flood_counts counts;
  std::atomic<bool> isStopping{ false };
  std::vector<std::thread> flood;
  for (int i = 0; i < 32; ++i) {
    flood.emplace_back([&, port = site.Entry(i % 2 ? "entry-1" : "entry-2")] {
      while (!isStopping) {
        counts.Record(Complete(port, large, kModel, "a b c d e", 5));
      }
    });
  }
  const bool isFlooded = WaitFor([&] {
    std::lock_guard lock(counts.mMutex);
    return counts.mRefused > 100;
  });
  int served = 0;
  for (int i = 0; i < 20; ++i) {
    const auto got =
      Complete(site.Entry("entry-1"), small, kModel, "one quote", 2);
    served += got.mStatus == 200 ? 1 : 0;
  }
  isStopping = true;
  for (auto& thread : flood) {
    thread.join();
  }
  BOOST_TEST(isFlooded);
  BOOST_TEST(served == 20);
  BOOST_TEST(counts.mServed > 0);
  BOOST_TEST(counts.mIncomplete == 0);
  // Checks that every "not_run" is true: the server ran exactly the requests
  // that were answered.
  const auto runs = Send(site.Engine(), "GET", "/control/log")
                      .mBody.Find("runs")
                      ->Elements()
                      .size();
  BOOST_TEST(runs - runsBefore ==
             static_cast<std::size_t>(counts.mServed + served));
}

// Guards against a limit split evenly among the entries: a customer with a
// limit of sixteen requests in flight sends all of them to one of two entries
// and would be refused at half of the limit.
BOOST_AUTO_TEST_CASE(ALimitFollowsTheDemand)
{
  constexpr int kLimit = 16;
  constexpr int kEvenShare = kLimit / 2;
  site site(64, 64);
  json::value spec;
  spec.Set("max_concurrent", kLimit);
  const auto key = site.mFleet.AddCustomer("brf-ekbacken", spec);
  BOOST_REQUIRE(site.mFleet.WaitUntilServing(key, kModel));
  site.SetPerToken(150000);
  std::atomic<bool> isStopping{ false };
  std::atomic<int> refused{ 0 };
  std::vector<std::thread> callers;
  for (int i = 0; i < 2 * kLimit; ++i) {
    callers.emplace_back([&] {
      while (!isStopping) {
        const auto got =
          Complete(site.Entry("entry-1"), key, kModel, "a b c d e f g h", 8);
        if (got.mStatus != 200) {
          ++refused;
          std::this_thread::sleep_for(20ms);
        }
      }
    });
  }
  int maximum = 0;
  const bool isBeyondEven = WaitFor([&] {
    const auto load = Send(site.Engine(), "GET", "/load").mBody;
    maximum =
      std::max(maximum, static_cast<int>(json::IntegerAt(load, "running", 0)));
    return maximum >= kEvenShare + kLimit / 4;
  });
  isStopping = true;
  for (auto& caller : callers) {
    caller.join();
  }
  BOOST_TEST_MESSAGE("most requests running at once " << maximum << ", refused "
                                                      << refused);
  BOOST_TEST(refused > 0);
  BOOST_TEST(isBeyondEven);
  BOOST_TEST(maximum <= kLimit);
}

BOOST_AUTO_TEST_SUITE_END()
