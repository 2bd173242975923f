#include "Duties/Routing/Breaker.h"

#include <boost/test/unit_test.hpp>
#include <iterator>
#include <optional>
#include <rapidcheck.h>
#include <vector>

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
    std::vector<time_point> inFlight;
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
          inFlight.push_back(now);
        }
      } else if (!inFlight.empty()) {
        const auto ended =
          inFlight.begin() +
          *rc::gen::inRange<std::ptrdiff_t>(
            0, std::distance(inFlight.begin(), inFlight.end()));
        const auto sentAt = *ended;
        inFlight.erase(ended);
        const auto ending = *rc::gen::element(
          evidence::Success, evidence::Failure, evidence::Neutral);
        RecordEnd(tested, sentAt, ending, limits, now);
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
    for (const auto sentAt : inFlight) {
      RecordEnd(tested, sentAt, evidence::Neutral, limits, now);
    }
    now += limits.mMaximumPause;
    RC_ASSERT(AllowsRequest(tested, now));
    RecordSent(tested, now);
    RC_ASSERT(tested.mState == breaker_state::Closed ||
              !AllowsRequest(tested, now));
    RecordEnd(tested, now, evidence::Success, limits, now);
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
    RecordEnd(tested, now, evidence::Failure, limits, now);
    BOOST_TEST(AllowsRequest(tested, now));
  }
  RecordEnd(tested, now, evidence::Failure, limits, now);
  BOOST_TEST(!AllowsRequest(tested, now));
  BOOST_TEST(AllowsRequest(tested, now + limits.mInitialPause));
}

// Guards against a server that has recovered and stays excluded for half a
// minute, because requests sent before its failure reach their deadlines one
// after the other and each prolongs the pause.
BOOST_AUTO_TEST_CASE(LateFailuresOfEarlierRequestsDontProlongThePause)
{
  constexpr int kRequests = 40;
  constexpr auto kDeadline = 10s;
  const breaker_limits limits;
  breaker tested;
  const time_point start(1h);
  for (int i = 0; i < kRequests; ++i) {
    RecordSent(tested, start + i * 100ms);
  }
  std::optional<time_point> probeSentAt;
  for (int i = 0; i < kRequests; ++i) {
    const auto now = start + kDeadline + i * 100ms;
    RecordEnd(tested, start + i * 100ms, evidence::Failure, limits, now);
    if (!probeSentAt && AllowsRequest(tested, now) &&
        tested.mState == breaker_state::Open) {
      RecordSent(tested, now);
      probeSentAt = now;
    } else if (probeSentAt && now == *probeSentAt + 300ms) {
      RecordEnd(tested, *probeSentAt, evidence::Success, limits, now);
    }
  }
  BOOST_TEST(probeSentAt.has_value());
  BOOST_TEST((tested.mState == breaker_state::Closed));
}

BOOST_AUTO_TEST_SUITE_END()
