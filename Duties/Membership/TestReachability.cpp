#include "Duties/Membership/Reachability.h"

#include <boost/test/unit_test.hpp>

using namespace lavender;
using namespace lavender::membership;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(TestReachability)

// Guards against a process that counts as reachable throughout a pause, because
// it answered before and after it.
BOOST_AUTO_TEST_CASE(AGapBetweenAnswersStartsAnew)
{
  const time_point first{ 1000s };
  BOOST_TEST((ReachableSince({}, {}, first) == first));
  const auto second = first + kReachableWithin;
  BOOST_TEST((ReachableSince(first, first, second) == first));
  const auto later = second + kReachableWithin + 1ms;
  BOOST_TEST((ReachableSince(first, second, later) == later));
  // A withdrawn answer, as of another instance at the address, is a gap too.
  BOOST_TEST((ReachableSince(first, {}, second) == second));
}

BOOST_AUTO_TEST_SUITE_END()
