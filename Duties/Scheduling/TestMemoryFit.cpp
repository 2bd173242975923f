#include "Duties/Scheduling/MemoryFit.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <limits>
#include <rapidcheck.h>

using namespace lavender::scheduling;

namespace {

/** The run's tokens after a number of events; zero once it has ended. */
double
TokensAfter(const run_memory& aRun, double aEvents)
{
  return aEvents > aRun.mEventsLeft
           ? 0
           : static_cast<double>(aRun.mNow) +
               static_cast<double>(aRun.mAtEnd - aRun.mNow) * aEvents /
                 aRun.mEventsLeft;
}

run_memory
AnyRun()
{
  const auto now = *rc::gen::inRange<std::int64_t>(1, 1000);
  const auto left = *rc::gen::inRange(1, 1000);
  return { now, now + *rc::gen::inRange<std::int64_t>(0, 2000), left * 1.0 };
}

std::vector<run_memory>
AnyRuns()
{
  std::vector<run_memory> runs;
  const int count = *rc::gen::inRange(1, 9);
  for (int i = 0; i < count; ++i) {
    runs.push_back(AnyRun());
  }
  return runs;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestMemoryFit)

// Guards against preemption by items that fit now and outgrow the memory later.
BOOST_AUTO_TEST_CASE(FiveLongItemsDoNotFitThoughEachFitsNow)
{
  const run_memory item{ 100, 1000, 900 };
  BOOST_TEST(FitsInMemory({ item, item, item }, item, 4000));
  BOOST_TEST(!FitsInMemory({ item, item, item, item }, item, 4000));
}

// Guards against slots left empty because of runs that are about to end.
BOOST_AUTO_TEST_CASE(RunsThatEndEarlyFreeMemoryForOthers)
{
  const run_memory ending{ 900, 1000, 100 };
  const run_memory next{ 100, 1900, 1800 };
  BOOST_TEST(FitsInMemory({ ending, ending }, next, 2300));
  // At the end of the two, the next one has 200 tokens.
  BOOST_TEST(!FitsInMemory({ ending, ending }, next, 2150));
}

BOOST_AUTO_TEST_CASE(WithoutAKnownMemoryEverythingFits)
{
  const run_memory item{ 1000, 100000, 900 };
  for (const std::int64_t unknown : { 0, -1 }) {
    BOOST_TEST(FitsInMemory({ item, item }, item, unknown));
  }
}

// Guards against an item that never starts because no server's memory holds it.
BOOST_AUTO_TEST_CASE(AnItemLargerThanTheMemoryRunsAlone)
{
  const run_memory item{ 100, 5000, 4900 };
  BOOST_TEST(FitsInMemory({}, item, 4000));
  BOOST_TEST(!FitsInMemory({ { 1, 2, 1 } }, item, 4000));
}

// Guards against figures of a run that has outgrown its estimate.
BOOST_AUTO_TEST_CASE(ARunBeyondItsExpectedEndKeepsItsMemory)
{
  const run_memory next{ 100, 200, 100 };
  BOOST_TEST(!FitsInMemory({ { 3950, 3000, 0 } }, next, 4000));
  BOOST_TEST(!FitsInMemory({ { 3950, 3000, 10 } }, next, 4000));
  const double noNumber = std::numeric_limits<double>::quiet_NaN();
  const double infinite = std::numeric_limits<double>::infinity();
  BOOST_TEST(!FitsInMemory({ { 3950, 3950, noNumber } }, next, 4000));
  BOOST_TEST(!FitsInMemory({ { 3000, 3950, infinite } }, next, 4000));
  // A run that claims a negative size frees nothing.
  BOOST_TEST(
    !FitsInMemory({ { 3950, 3950, 50 }, { -900, -900, 50 } }, next, 4000));
}

BOOST_AUTO_TEST_CASE(TheRunsStayWithinTheMemoryAtEveryMoment)
{
  BOOST_TEST(rc::check("sum over time", [] {
    const auto runs = AnyRuns();
    const auto next = AnyRun();
    const auto capacity = *rc::gen::inRange<std::int64_t>(1, 20000);
    auto all = runs;
    all.push_back(next);
    double most = 0;
    for (int at = 0; at <= 1000; ++at) {
      double used = 0;
      for (const auto& run : all) {
        used += TokensAfter(run, at);
      }
      most = std::max(most, used);
    }
    const bool fits = FitsInMemory(runs, next, capacity);
    // The sums are rounded differently.
    RC_ASSERT(!fits || most <= static_cast<double>(capacity) + 1e-6);
    RC_ASSERT(fits || most > static_cast<double>(capacity) - 1e-6);
  }));
}

BOOST_AUTO_TEST_CASE(OneRunFewerFitsAsWell)
{
  BOOST_TEST(rc::check("fewer runs", [] {
    auto runs = AnyRuns();
    const auto next = AnyRun();
    const auto capacity = *rc::gen::inRange<std::int64_t>(1, 20000);
    if (FitsInMemory(runs, next, capacity)) {
      runs.pop_back();
      RC_ASSERT(FitsInMemory(runs, next, capacity));
    }
  }));
}

BOOST_AUTO_TEST_SUITE_END()
