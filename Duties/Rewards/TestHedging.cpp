#include "Duties/Rewards/Hedging.h"

#include <boost/test/unit_test.hpp>

using namespace lavender;
using namespace lavender::rewards;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(TestHedging)

BOOST_AUTO_TEST_CASE(AFewDurationsSayNothing)
{
  recent_durations recent;
  for (int i = 0; i < 10; ++i) {
    RecordDuration(recent, 20ms);
  }
  BOOST_TEST((HedgeDelay(recent, 800ms) == 800ms));
}

BOOST_AUTO_TEST_CASE(TheSecondCopyComesWhenNearlyAllOthersHadAnAnswer)
{
  recent_durations recent;
  for (int i = 1; i <= 100; ++i) {
    RecordDuration(recent, milliseconds(i));
  }
  const auto after = HedgeDelay(recent, 800ms);
  BOOST_TEST((after >= 90ms && after <= 99ms));
  // Old durations are displaced.
  for (std::size_t i = 0; i < recent_durations::kKept; ++i) {
    RecordDuration(recent, 5ms);
  }
  BOOST_TEST((HedgeDelay(recent, 800ms) == 5ms));
}

// Guards against doubling the load of a service that is slow as a whole, which
// would slow it down further: copies must stay a small share of the calls in
// all cases.
BOOST_AUTO_TEST_CASE(CopiesAreASmallShareOfTheCalls)
{
  hedge_budget budget;
  int copies = 0;
  constexpr int kCalls = 1000;
  for (int i = 0; i < kCalls; ++i) {
    RecordFirstAttempt(budget);
    copies += ConsumeHedge(budget) ? 1 : 0;
  }
  BOOST_TEST(copies > 0);
  BOOST_TEST(copies <= kCalls / 8);
}

// Guards against copies that occupy the slots of a full service while it
// rejects other callers.
BOOST_AUTO_TEST_CASE(AFullServiceGetsNoCopies)
{
  hedge_budget budget;
  for (int i = 0; i < 100; ++i) {
    RecordFirstAttempt(budget);
  }
  RecordRejection(budget);
  BOOST_TEST(!ConsumeHedge(budget));
}

BOOST_AUTO_TEST_SUITE_END()
