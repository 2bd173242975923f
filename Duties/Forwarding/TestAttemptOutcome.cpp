#include "Duties/Forwarding/AttemptOutcome.h"

#include <boost/test/unit_test.hpp>

using namespace lavender;
using namespace lavender::forwarding;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(TestAttemptOutcome)

// Guards against a caller's request that ends one server after the other: an
// attempt without any answer uses up one of the route's attempts.
BOOST_AUTO_TEST_CASE(ARequestThatEndsItsServersStopsWithItsAttempts)
{
  attempt_end ended;
  ended.mEnd = edge::call_end::Broken;
  attempt_budget budget;
  budget.mRetryPolicy = site::retry_policy::Idempotent;
  budget.mTimeLeft = 10s;
  budget.mMayHaveRun = true;
  budget.mAttemptsLeft = 1;
  BOOST_TEST((DecideNext(ended, budget) == next_step::RetryOnAnotherServer));
  budget.mAttemptsLeft = 0;
  BOOST_TEST((DecideNext(ended, budget) == next_step::FailUnknown));
  budget.mAttemptsLeft = 1;
  budget.mRetryPolicy = site::retry_policy::AtMostOnce;
  BOOST_TEST((DecideNext(ended, budget) == next_step::FailUnknown));
}

BOOST_AUTO_TEST_SUITE_END()
