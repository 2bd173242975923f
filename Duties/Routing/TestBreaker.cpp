#include "Duties/Routing/Breaker.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace lavender;
using namespace lavender::routing;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(TestBreaker)

// Histories of attempts on a server that fails, recovers and fails again.
BOOST_AUTO_TEST_CASE(ProbesAloneAndComesBack)
{
  BOOST_TEST(rc::check("breaker against a failing server", [] {
    const breaker_limits limits;
    breaker one;
    time_point now(1h);
    int inFlight = 0;
    const int steps = *rc::gen::inRange(1, 120);
    for (int step = 0; step < steps; ++step) {
      now += milliseconds(*rc::gen::inRange(0, 3000));
      const auto before = one.mState;
      if (*rc::gen::inRange(0, 2) == 0) {
        const bool isAllowed = AllowsRequest(one, now);
        RC_ASSERT(isAllowed || before != breaker_state::Closed);
        RC_ASSERT(!isAllowed || before != breaker_state::Open ||
                  now >= one.mOpenUntil);
        if (isAllowed) {
          RecordSent(one, now);
          ++inFlight;
        }
      } else if (inFlight > 0) {
        --inFlight;
        const auto ending = *rc::gen::element(
          evidence::Success, evidence::Failure, evidence::Neutral);
        RecordEnd(one, ending, limits, now);
        RC_ASSERT(ending == evidence::Failure ||
                  one.mState != breaker_state::Open ||
                  before == breaker_state::Open);
      }
      RC_ASSERT(FailureShare(one) >= 0 && FailureShare(one) <= 1);
      RC_ASSERT(one.mPause <= limits.mMaximumPause);
      // Whatever happened, the server is tried again within the pause.
      RC_ASSERT(one.mState != breaker_state::Open ||
                AllowsRequest(one, now + limits.mMaximumPause));
    }
    // All attempts end well from here on: it closes after one probe.
    while (inFlight-- > 0) {
      RecordEnd(one, evidence::Neutral, limits, now);
    }
    now += limits.mMaximumPause;
    RC_ASSERT(AllowsRequest(one, now));
    RecordSent(one, now);
    RC_ASSERT(one.mState == breaker_state::Closed || !AllowsRequest(one, now));
    RecordEnd(one, evidence::Success, limits, now);
    RC_ASSERT(one.mState == breaker_state::Closed);
  }));
}

// One customer's bad luck must not shut a healthy server out: two failures
// say nothing, a third in a row does.
BOOST_AUTO_TEST_CASE(OpensByEvidenceOnly)
{
  const breaker_limits limits;
  breaker one;
  const time_point now(1h);
  for (int i = 0; i < 2; ++i) {
    RecordEnd(one, evidence::Failure, limits, now);
    BOOST_TEST(AllowsRequest(one, now));
  }
  RecordEnd(one, evidence::Failure, limits, now);
  BOOST_TEST(!AllowsRequest(one, now));
  BOOST_TEST(AllowsRequest(one, now + limits.mInitialPause));
}

BOOST_AUTO_TEST_SUITE_END()
