#include "Duties/Scheduling/ServerSpeed.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <limits>
#include <rapidcheck.h>

using namespace lavender;
using namespace lavender::scheduling;
using namespace std::chrono_literals;

namespace {

constexpr double kNoNumber = std::numeric_limits<double>::quiet_NaN();
constexpr double kInfinite = std::numeric_limits<double>::infinity();
const time_point kStart(1h);
constexpr event_time kUsual{ 20 };

/** A server whose runs all generate events at the same pace. */
struct stand_in
{
  server_speed mSpeed;
  time_point mNow = kStart;
  int mRuns = 8;
  /** Whether the server tells its machine's slowdown every 100 ms. */
  bool mTells = false;
  time_point mToldAt = kStart - 1h;
};

/** Lets the server run for a time at a factor of its usual event time. */
void
Run(stand_in& aServer, milliseconds aTime, double aFactor)
{
  const auto end = aServer.mNow + aTime;
  const auto step =
    std::chrono::duration_cast<boot_clock::duration>(kUsual * aFactor);
  for (; aServer.mNow < end; aServer.mNow += step) {
    if (aServer.mTells && aServer.mNow - aServer.mToldAt >= 100ms) {
      RecordSlowdown(aServer.mSpeed, aFactor, aServer.mNow);
      aServer.mToldAt = aServer.mNow;
    }
    for (int run = 0; run < aServer.mRuns; ++run) {
      RecordEventTime(aServer.mSpeed, step, aServer.mRuns, aServer.mNow);
    }
  }
}

/** Expected event time relative to the usual one. */
double
Factor(const server_speed& aSpeed)
{
  return ExpectedEventTime(aSpeed).value_or(event_time(0)) / kUsual;
}

server_speed
Measured(event_time aTime)
{
  server_speed speed;
  for (int i = 0; i < 100; ++i) {
    RecordEventTime(speed, aTime, 1, kStart);
  }
  return speed;
}

rc::Gen<double>
AnyFigure()
{
  return rc::gen::oneOf(
    rc::gen::arbitrary<double>(),
    rc::gen::element(kNoNumber, kInfinite, -kInfinite, 0.0, -1.0, 1e300, 20.0));
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestServerSpeed)

// Guards against moving runs off a server whose machine others use at times.
BOOST_AUTO_TEST_CASE(AMachineSlowForAMomentIsNoSlowServer)
{
  for (const bool tells : { false, true }) {
    for (const int runs : { 1, 8 }) {
      stand_in server;
      server.mTells = tells;
      server.mRuns = runs;
      Run(server, 3s, 1);
      for (int i = 0; i < 5; ++i) {
        Run(server, 600ms, 3);
        BOOST_TEST(Factor(server.mSpeed) < 1.15);
        Run(server, 2400ms, 1);
        BOOST_TEST(Factor(server.mSpeed) < 1.15);
        BOOST_TEST(Factor(server.mSpeed) > 0.85);
      }
    }
  }
}

// Guards against long runs on a server that has become slow for good, whether
// or not it tells so.
BOOST_AUTO_TEST_CASE(AServerThatTurnsSlowShowsWithinTwoSeconds)
{
  for (const int runs : { 1, 8 }) {
    stand_in server;
    server.mRuns = runs;
    Run(server, 5s, 1);
    Run(server, 2s, 3.5);
    BOOST_TEST(Factor(server.mSpeed) > 3);
  }
  stand_in telling;
  telling.mTells = true;
  Run(telling, 5s, 1);
  Run(telling, 4s, 3.5);
  BOOST_TEST(Factor(telling.mSpeed) > 3);
}

// Guards against a full server being judged faster than one with a single run.
BOOST_AUTO_TEST_CASE(EightRunsAndOneRunAreAveragedOverTheSameTime)
{
  stand_in one;
  one.mRuns = 1;
  stand_in eight;
  for (auto* server : { &one, &eight }) {
    Run(*server, 5s, 1);
  }
  for (int step = 0; step < 30; ++step) {
    for (auto* server : { &one, &eight }) {
      Run(*server, 100ms, 2);
    }
    BOOST_TEST(std::abs(Factor(one.mSpeed) - Factor(eight.mSpeed)) <= 1);
  }
  BOOST_TEST(Factor(one.mSpeed) == Factor(eight.mSpeed),
             boost::test_tools::tolerance(0.01));
}

// Guards against events that arrive in one packet being taken for speed.
BOOST_AUTO_TEST_CASE(EventsThatArriveInBurstsKeepTheirMeanTime)
{
  server_speed speed;
  for (int i = 0; i < 100; ++i) {
    RecordEventTime(speed, 4 * kUsual, 1, kStart);
    for (int together = 1; together < 4; ++together) {
      RecordEventTime(speed, event_time(1e-6), 1, kStart);
    }
  }
  BOOST_TEST(Factor(speed) == 1.0, boost::test_tools::tolerance(0.05));
}

BOOST_AUTO_TEST_CASE(FiguresThatNoServerCanMeanAreIgnored)
{
  auto speed = Measured(kUsual);
  for (const double wrong :
       { 0.0, -5.0, 1e9, kInfinite, -kInfinite, kNoNumber }) {
    for (int i = 0; i < 1000; ++i) {
      RecordEventTime(speed, event_time(wrong), 1, kStart);
    }
    BOOST_TEST(!RecordSlowdown(speed, wrong, kStart));
  }
  BOOST_TEST(speed.mSlowdown == 1);
  BOOST_TEST(Factor(speed) == 1.0);
}

// Guards against a wrong count of runs stopping the measurement.
BOOST_AUTO_TEST_CASE(AnUnknownNumberOfRunsCountsAsOne)
{
  for (const int runs : { 0, -3 }) {
    server_speed speed;
    for (int i = 0; i < 100; ++i) {
      RecordEventTime(speed, kUsual, runs, kStart);
    }
    BOOST_TEST(Factor(speed) == 1.0);
  }
}

BOOST_AUTO_TEST_CASE(NoFigureSpoilsTheEstimate)
{
  BOOST_TEST(rc::check("any event time, slowdown and telling", [] {
    server_speeds speeds;
    auto now = kStart;
    const int steps = *rc::gen::inRange(1, 60);
    for (int i = 0; i < steps; ++i) {
      now += milliseconds(*rc::gen::inRange(0, 1000));
      auto& speed = speeds[*rc::gen::element<std::string>("a", "b")];
      RecordEventTime(
        speed, event_time(*AnyFigure()), *rc::gen::arbitrary<int>(), now);
      RecordSlowdown(speed, *AnyFigure(), now);
      ApplyToldSpeeds(speeds, { { "c", event_time(*AnyFigure()) } });
      for (const auto& [id, row] : speeds) {
        const auto time = ExpectedEventTime(row);
        RC_ASSERT(!time || (std::isfinite(time->count()) && time->count() > 0));
        RC_ASSERT(row.mSlowdown > 0 && row.mSlowdown <= 100);
      }
    }
  }));
}

// Guards against an entry that trusts another's figure over its own runs.
BOOST_AUTO_TEST_CASE(ToldSpeedsNeverReplaceOwnMeasurements)
{
  server_speeds speeds{ { "own", Measured(kUsual) } };
  const std::vector<told_speed> told{ { "own", 5 * kUsual },
                                      { "other", 5 * kUsual } };
  ApplyToldSpeeds(speeds, told);
  BOOST_TEST(Factor(speeds["own"]) == 1.0);
  BOOST_TEST(Factor(speeds["other"]) == 5.0);
  // What was told holds until the own measurement stands.
  for (int i = 0; i < 100; ++i) {
    RecordEventTime(speeds["other"], kUsual, 1, kStart);
    BOOST_TEST(Factor(speeds["other"]) >= 1.0);
  }
  BOOST_TEST(Factor(speeds["other"]) == 1.0);
}

// Guards against an entry that tells nonsense, or servers nobody has.
BOOST_AUTO_TEST_CASE(ToldFiguresThatNoServerCanMeanAreIgnored)
{
  server_speeds speeds;
  for (const double wrong : { 0.0, -5.0, 1e9, kInfinite, kNoNumber }) {
    ApplyToldSpeeds(speeds, { { "s", event_time(wrong) } });
  }
  ApplyToldSpeeds(speeds, { { "", kUsual } });
  BOOST_TEST(speeds.empty());
}

BOOST_AUTO_TEST_CASE(OnlyOwnMeasurementsThatDifferAreTold)
{
  server_speeds speeds;
  for (const auto* id : { "a", "b", "c" }) {
    speeds[id] = Measured(kUsual);
  }
  BOOST_TEST(SpeedsToTell(speeds).empty());
  speeds["slow"] = Measured(3 * kUsual);
  ApplyToldSpeeds(speeds, { { "told", 9 * kUsual } });
  const auto told = SpeedsToTell(speeds);
  BOOST_REQUIRE(told.size() == 1u);
  BOOST_TEST(told.front().mServer == "slow");
}

BOOST_AUTO_TEST_SUITE_END()
