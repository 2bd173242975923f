#include "Duties/Routing/Breaker.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace lavender;
using namespace lavender::routing;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(TestBreaker)

// Histories of attempts on a server that fails, recovers and fails again.
BOOST_AUTO_TEST_CASE(SendsOneProbeAndClosesAfterSuccess)
{
  BOOST_TEST(rc::check("breaker against a failing server", [] {
    const breaker_limits limits;
    breaker tested;
    time_point now(1h);
    int inFlight = 0;
    const int steps = *rc::gen::inRange(1, 120);
    for (int step = 0; step < steps; ++step) {
      now += milliseconds(*rc::gen::inRange(0, 3000));
      const auto before = tested.mState;
      if (*rc::gen::inRange(0, 2) == 0) {
        const bool isAllowed = AllowsRequest(tested, now);
        RC_ASSERT(isAllowed || before != breaker_state::Closed);
        RC_ASSERT(!isAllowed || before != breaker_state::Open ||
                  now >= tested.mOpenUntil);
        if (isAllowed) {
          RecordSent(tested, now);
          ++inFlight;
        }
      } else if (inFlight > 0) {
        --inFlight;
        const auto ending = *rc::gen::element(
          evidence::Success, evidence::Failure, evidence::Neutral);
        RecordEnd(tested, ending, limits, now);
        RC_ASSERT(ending == evidence::Failure ||
                  tested.mState != breaker_state::Open ||
                  before == breaker_state::Open);
      }
      RC_ASSERT(FailureRatio(tested) >= 0 && FailureRatio(tested) <= 1);
      RC_ASSERT(tested.mPause <= limits.mMaximumPause);
      // The server is always tried again after the longest pause.
      RC_ASSERT(tested.mState != breaker_state::Open ||
                AllowsRequest(tested, now + limits.mMaximumPause));
    }
    // From here on all attempts succeed, so the breaker closes after one probe.
    while (inFlight-- > 0) {
      RecordEnd(tested, evidence::Neutral, limits, now);
    }
    now += limits.mMaximumPause;
    RC_ASSERT(AllowsRequest(tested, now));
    RecordSent(tested, now);
    RC_ASSERT(tested.mState == breaker_state::Closed ||
              !AllowsRequest(tested, now));
    RecordEnd(tested, evidence::Success, limits, now);
    RC_ASSERT(tested.mState == breaker_state::Closed);
  }));
}

// A few failed requests must not exclude a healthy server: the breaker stays
// closed after two failures in a row and opens after the third.
BOOST_AUTO_TEST_CASE(OpensAfterThreeFailures)
{
  const breaker_limits limits;
  breaker tested;
  const time_point now(1h);
  for (int i = 0; i < 2; ++i) {
    RecordEnd(tested, evidence::Failure, limits, now);
    BOOST_TEST(AllowsRequest(tested, now));
  }
  RecordEnd(tested, evidence::Failure, limits, now);
  BOOST_TEST(!AllowsRequest(tested, now));
  BOOST_TEST(AllowsRequest(tested, now + limits.mInitialPause));
}

BOOST_AUTO_TEST_SUITE_END()
