#include "Duties/Admission/BackPressure.h"

#include <boost/test/unit_test.hpp>
#include <random>
#include <rapidcheck.h>

using namespace lavender;
using namespace lavender::admission;
using namespace std::chrono_literals;

namespace {

constexpr const char* kPool = "model-pool";

struct tally
{
  int mSent = 0;
  int mTaken = 0;
  int mRefusedHere = 0;
};

/** Requests of one customer, of which the agents take that many a second. */
struct traffic
{
  back_pressure_map mPressures;
  std::mt19937_64 mRandom{ 5 };
  time_point mNow{ 1h };

  tally Run(const std::string& aCustomer,
            int aPerSecond,
            int aTakenPerSecond,
            std::chrono::seconds aFor)
  {
    tally result;
    std::uniform_real_distribution<double> draw(0, 1);
    double room = 1;
    for (int i = 0; i < aPerSecond * aFor.count(); ++i) {
      mNow += std::chrono::nanoseconds(1s) / aPerSecond;
      room =
        std::min(room + static_cast<double>(aTakenPerSecond) / aPerSecond, 5.0);
      if (CheckBackPressure(
            mPressures, kPool, aCustomer, {}, draw(mRandom), mNow)) {
        ++result.mRefusedHere;
        continue;
      }
      ++result.mSent;
      const bool isTaken = room >= 1;
      room -= isTaken ? 1 : 0;
      result.mTaken += isTaken ? 1 : 0;
      RecordOutcome(mPressures,
                    kPool,
                    aCustomer,
                    isTaken ? std::nullopt : std::optional<milliseconds>(700ms),
                    {},
                    mNow);
    }
    return result;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(TestBackPressure)

// Customers ask for five times what the servers do. Each refusal costs a
// message to several agents, and the entries spend their time on refusals.
BOOST_AUTO_TEST_CASE(AnOverloadIsRefusedBeforeItCostsADispatch)
{
  traffic run;
  run.Run("large", 500, 100, 3s);
  const auto over = run.Run("large", 500, 100, 10s);
  BOOST_TEST(over.mTaken >= 950);
  BOOST_TEST(over.mSent <= 1800);
  BOOST_TEST(over.mRefusedHere > 3000);
  // The overload ends: refusals end within seconds.
  run.Run("large", 80, 100, 4s);
  const auto after = run.Run("large", 80, 100, 5s);
  BOOST_TEST(after.mRefusedHere == 0);
}

// One customer's overload, and whatever its agents say to it, refuses nobody
// else; a customer whose requests are all taken is never refused here.
BOOST_AUTO_TEST_CASE(ACustomerWhoseRequestsAreTakenIsNeverRefused)
{
  BOOST_TEST(rc::check("pressure of one customer on another", [] {
    back_pressure_map pressures;
    time_point now(1h);
    int underWay = 0;
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
        ++underWay;
      } else if (underWay > 0) {
        RecordOutcome(pressures, kPool, "small", std::nullopt, {}, now);
        --underWay;
      }
    }
    RemoveIdle(pressures, now + 61s);
    RC_ASSERT(pressures.empty());
  }));
}

BOOST_AUTO_TEST_SUITE_END()
