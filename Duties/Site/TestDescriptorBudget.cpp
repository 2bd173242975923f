#include "Duties/Site/DescriptorBudget.h"

#include <boost/test/unit_test.hpp>

using namespace lavender::site;

BOOST_AUTO_TEST_SUITE(TestDescriptorBudget)

// Guards against an entry that can't reach its servers because callers hold the
// descriptors: a large fleet needs more of them for itself than a fixed
// reserve.
BOOST_AUTO_TEST_CASE(TheReserveFollowsTheFleet)
{
  BOOST_TEST(MaximumCallerConnections(16384, { 4, 12 }) == 16384u - 600);
  const auto now = MaximumCallerConnections(16384, { 384, 423 });
  const auto doubled = MaximumCallerConnections(16384, { 768, 846 });
  BOOST_TEST(16384 - now >= 2 * (384 + 423));
  BOOST_TEST(16384 - doubled >= 2 * (768 + 846));
}

// Guards against a small instance that turns its callers away to keep
// descriptors for a fleet that it hardly talks to.
BOOST_AUTO_TEST_CASE(CallersKeepHalfOfASmallInstance)
{
  BOOST_TEST(MaximumCallerConnections(4100, { 3000, 3000 }) == 2050u);
  BOOST_TEST(MaximumCallerConnections(700, { 3000, 3000 }) == 100u);
}

BOOST_AUTO_TEST_SUITE_END()
