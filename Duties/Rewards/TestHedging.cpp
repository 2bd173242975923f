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
    NoteDuration(recent, 20ms);
  }
  BOOST_TEST((HedgeAfter(recent, 800ms) == 800ms));
}

BOOST_AUTO_TEST_CASE(TheSecondCopyComesWhenNearlyAllOthersHadAnAnswer)
{
  recent_durations recent;
  for (int i = 1; i <= 100; ++i) {
    NoteDuration(recent, milliseconds(i));
  }
  const auto after = HedgeAfter(recent, 800ms);
  BOOST_TEST((after >= 90ms && after <= 99ms));
  // What was long ago is forgotten.
  for (std::size_t i = 0; i < recent_durations::kKept; ++i) {
    NoteDuration(recent, 5ms);
  }
  BOOST_TEST((HedgeAfter(recent, 800ms) == 5ms));
}

// A service that turns slow as a whole gets every call twice, which makes it
// slower still: copies are a small share of the calls, whatever happens.
BOOST_AUTO_TEST_CASE(CopiesAreASmallShareOfTheCalls)
{
  hedge_budget budget;
  int copies = 0;
  constexpr int kCalls = 1000;
  for (int i = 0; i < kCalls; ++i) {
    NoteFirstSending(budget);
    copies += TakeHedge(budget) ? 1 : 0;
  }
  BOOST_TEST(copies > 0);
  BOOST_TEST(copies <= kCalls / 8);
}

// Callers are turned away by a service that is full, while copies of calls
// which it already runs take its places.
BOOST_AUTO_TEST_CASE(AFullServiceGetsNoCopies)
{
  hedge_budget budget;
  for (int i = 0; i < 100; ++i) {
    NoteFirstSending(budget);
  }
  NoteTurnedAway(budget);
  BOOST_TEST(!TakeHedge(budget));
}

BOOST_AUTO_TEST_SUITE_END()
