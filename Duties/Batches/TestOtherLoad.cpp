#include "Duties/Batches/OtherLoad.h"

#include <boost/test/unit_test.hpp>

using namespace lavender;
using namespace lavender::batches;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(TestOtherLoad)

BOOST_AUTO_TEST_CASE(OwnRunsAreTakenOffTheReportedLoad)
{
  other_loads loads;
  const time_point now{ 1h };
  RecordLoad(loads, "s", { 7, 2, 8 }, 4, now);
  BOOST_REQUIRE(FindLoad(loads, "s", now));
  BOOST_TEST(FindLoad(loads, "s", now)->mRequests == 5);
  RecordLoad(loads, "s", { 1, 0, 8 }, 4, now);
  BOOST_TEST(FindLoad(loads, "s", now)->mRequests == 0);
}

/** Guards against a server that stays unused because of a load that has long
 * ended. */
BOOST_AUTO_TEST_CASE(AnOldLoadIsForgotten)
{
  other_loads loads;
  const time_point now{ 1h };
  RecordLoad(loads, "s", { 8, 0, 8 }, 0, now);
  BOOST_TEST(FindLoad(loads, "s", now + kOtherLoadLifetime));
  BOOST_TEST(!FindLoad(loads, "s", now + kOtherLoadLifetime + 1ms));
  BOOST_TEST(!FindLoad(loads, "other", now));
}

BOOST_AUTO_TEST_SUITE_END()
