#include "Duties/Rewards/RewardCall.h"
#include "Duties/Rewards/RewardDecision.h"

#include <boost/test/unit_test.hpp>

using namespace lavender;
using namespace lavender::rewards;
using namespace std::chrono_literals;

namespace {

response_summary
Whole(unsigned aStatus)
{
  response_summary view;
  view.mStatus = aStatus;
  view.mHasSignature = true;
  return view;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestRewardDecision)

BOOST_AUTO_TEST_CASE(OnlyAWholeSignedSuccessScores)
{
  BOOST_TEST((ClassifyResponse(Whole(200)) == response_kind::Scored));
  auto unsignedResponse = Whole(200);
  unsignedResponse.mHasSignature = false;
  BOOST_TEST((ClassifyResponse(unsignedResponse) == response_kind::Unusable));
  auto foreign = Whole(200);
  foreign.mEnd = edge::call_end::Foreign;
  BOOST_TEST((ClassifyResponse(foreign) == response_kind::Unusable));
  for (const auto end : { edge::call_end::Broken,
                          edge::call_end::Malformed,
                          edge::call_end::NotSent,
                          edge::call_end::TimedOut }) {
    auto broken = Whole(200);
    broken.mEnd = end;
    BOOST_TEST((ClassifyResponse(broken) == response_kind::Unusable));
  }
}

// Guards against the loss of complete samples: connection resets, rejections,
// time-outs and a status 500 for another call were counted as failures of the
// call.
BOOST_AUTO_TEST_CASE(OnlyTheServicesOwnErrorsCountTowardsGivingUp)
{
  BOOST_TEST((ClassifyResponse(Whole(500)) == response_kind::ServerError));
  for (const unsigned status : { 502u, 503u, 504u, 404u, 421u, 301u }) {
    BOOST_TEST((ClassifyResponse(Whole(status)) == response_kind::Unusable));
  }
  auto refused = Whole(503);
  refused.mIsNotExecuted = true;
  BOOST_TEST((ClassifyResponse(refused) == response_kind::Rejected));
  auto broken = Whole(500);
  broken.mEnd = edge::call_end::Broken;
  BOOST_TEST((ClassifyResponse(broken) == response_kind::Unusable));
  auto foreign = Whole(500);
  foreign.mEnd = edge::call_end::Foreign;
  BOOST_TEST((ClassifyResponse(foreign) == response_kind::Unusable));
}

BOOST_AUTO_TEST_CASE(ACallIsGivenUpAfterAsManyErrorsAsItsRouteAllows)
{
  constexpr int kMaximumAttempts = 4;
  for (int errors = 1; errors < kMaximumAttempts; ++errors) {
    BOOST_TEST(
      (DecideNext(response_kind::ServerError, errors, kMaximumAttempts) ==
       next_step::SendAgain));
  }
  BOOST_TEST((DecideNext(response_kind::ServerError,
                         kMaximumAttempts,
                         kMaximumAttempts) == next_step::GiveUp));
  BOOST_TEST(
    (DecideNext(response_kind::Unusable, kMaximumAttempts, kMaximumAttempts) ==
     next_step::SendAgain));
  BOOST_TEST(
    (DecideNext(response_kind::Rejected, kMaximumAttempts, kMaximumAttempts) ==
     next_step::SendLater));
}

// Guards against retrying thousands of times a second when a service answers
// each call immediately with an unusable response.
BOOST_AUTO_TEST_CASE(CallsToAServiceInTroubleComeMoreAndMoreSeldom)
{
  BOOST_TEST((RetryDelay(next_step::SendAgain, 1) == 0ms));
  BOOST_TEST((RetryDelay(next_step::SendLater, 1) > 0ms));
  milliseconds waited{ 0 };
  constexpr int kAttempts = 60;
  for (int attempts = 1; attempts <= kAttempts; ++attempts) {
    waited += RetryDelay(next_step::SendAgain, attempts);
  }
  BOOST_TEST((waited > 50s));
  BOOST_TEST((RetryDelay(next_step::SendAgain, 1000) <= 1s));
}

// Guards against late groups although most of their items are scored: calls
// were sent in the order in which the texts were completed, so the last call of
// each group waited behind the first calls of many others.
BOOST_AUTO_TEST_CASE(TheCallThatEndsAGroupGoesFirst)
{
  const time_point soon{ 1s };
  const time_point later{ 2s };
  BOOST_TEST((reward_priority{ soon, 1 } < reward_priority{ soon, 3 }));
  BOOST_TEST((reward_priority{ soon, 3 } < reward_priority{ later, 1 }));
  BOOST_TEST(!(reward_priority{ soon, 2 } < reward_priority{ soon, 2 }));
}

BOOST_AUTO_TEST_SUITE_END()
