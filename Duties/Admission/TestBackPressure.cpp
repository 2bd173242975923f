#include "Duties/Admission/BackPressure.h"

#include <boost/test/unit_test.hpp>
#include <random>
#include <rapidcheck.h>

using namespace lavender;
using namespace lavender::admission;
using namespace std::chrono_literals;

namespace {

constexpr const char* kPool = "model-pool";

struct traffic_counts
{
  int mSent = 0;
  int mAccepted = 0;
  int mRefusedLocally = 0;
};

/** Sends one customer's requests to agents that accept a fixed number of them
 * per second. */
struct traffic
{
  back_pressure_map mPressures;
  std::mt19937_64 mRandom{ 5 };
  time_point mNow{ 1h };

  traffic_counts Run(const std::string& aCustomer,
                     int aPerSecond,
                     int aAcceptedPerSecond,
                     std::chrono::seconds aFor)
  {
    traffic_counts result;
    std::uniform_real_distribution<double> draw(0, 1);
    double room = 1;
    for (int i = 0; i < aPerSecond * aFor.count(); ++i) {
      mNow += std::chrono::nanoseconds(1s) / aPerSecond;
      room = std::min(
        room + static_cast<double>(aAcceptedPerSecond) / aPerSecond, 5.0);
      if (CheckBackPressure(
            mPressures, kPool, aCustomer, {}, draw(mRandom), mNow)) {
        ++result.mRefusedLocally;
        continue;
      }
      ++result.mSent;
      const bool isAccepted = room >= 1;
      room -= isAccepted ? 1 : 0;
      result.mAccepted += isAccepted ? 1 : 0;
      RecordOutcome(mPressures,
                    kPool,
                    aCustomer,
                    isAccepted ? std::nullopt
                               : std::optional<milliseconds>(700ms),
                    {},
                    mNow);
    }
    return result;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(TestBackPressure)

// Customers send five times what the servers can run. If only the agents
// refused requests, each refusal would cost messages to several agents, and the
// entries would spend their time on refusals.
BOOST_AUTO_TEST_CASE(OverloadIsRefusedBeforeDispatch)
{
  traffic run;
  run.Run("large", 500, 100, 3s);
  const auto over = run.Run("large", 500, 100, 10s);
  BOOST_TEST(over.mAccepted >= 950);
  BOOST_TEST(over.mSent <= 1800);
  BOOST_TEST(over.mRefusedLocally > 3000);
  // After the overload ends, refusals end within seconds.
  run.Run("large", 80, 100, 4s);
  const auto after = run.Run("large", 80, 100, 5s);
  BOOST_TEST(after.mRefusedLocally == 0);
}

// Refusals of one customer must not affect another: a customer whose requests
// are all accepted by the agents is never refused by the entry.
BOOST_AUTO_TEST_CASE(ACustomerWhoseRequestsAreAcceptedIsNeverRefused)
{
  BOOST_TEST(rc::check("refusals of one customer beside another", [] {
    back_pressure_map pressures;
    time_point now(1h);
    int inFlight = 0;
    const int steps = *rc::gen::inRange(1, 200);
    for (int step = 0; step < steps; ++step) {
      now += milliseconds(*rc::gen::inRange(0, 300));
      const auto draw = *rc::gen::inRange(0, 1000) / 1000.0;
      const int kind = *rc::gen::inRange(0, 3);
      if (kind == 0) {
        const auto refused =
          CheckBackPressure(pressures, kPool, "large", {}, draw, now);
        RC_ASSERT(!refused || *refused > 0ms);
        RecordOutcome(pressures, kPool, "large", 900ms, {}, now);
      } else if (kind == 1) {
        RC_ASSERT(!CheckBackPressure(pressures, kPool, "small", {}, draw, now));
        ++inFlight;
      } else if (inFlight > 0) {
        RecordOutcome(pressures, kPool, "small", std::nullopt, {}, now);
        --inFlight;
      }
    }
    RemoveIdle(pressures, now + 61s);
    RC_ASSERT(pressures.empty());
  }));
}

BOOST_AUTO_TEST_SUITE_END()
