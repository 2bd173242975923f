#include "Duties/Rewards/RewardCall.h"
#include "Duties/Rewards/RewardDecision.h"

#include <boost/test/unit_test.hpp>

using namespace lavender;
using namespace lavender::rewards;
using namespace std::chrono_literals;

namespace {

answer_view
Whole(unsigned aStatus)
{
  answer_view view;
  view.mStatus = aStatus;
  view.mIsSigned = true;
  return view;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestRewardDecision)

BOOST_AUTO_TEST_CASE(OnlyAWholeSignedSuccessScores)
{
  BOOST_TEST((Judge(Whole(200)) == answer_kind::Scored));
  auto unsignedAnswer = Whole(200);
  unsignedAnswer.mIsSigned = false;
  BOOST_TEST((Judge(unsignedAnswer) == answer_kind::Unusable));
  auto foreign = Whole(200);
  foreign.mIsMismatched = true;
  BOOST_TEST((Judge(foreign) == answer_kind::Unusable));
  for (const auto end : { edge::call_end::Broken,
                          edge::call_end::Malformed,
                          edge::call_end::NotSent,
                          edge::call_end::TimedOut }) {
    auto broken = Whole(200);
    broken.mEnd = end;
    BOOST_TEST((Judge(broken) == answer_kind::Unusable));
  }
}

// A trainer loses samples that were whole: resets, refusals, time-outs and
// another call's 500 were counted as if the service had failed the call.
BOOST_AUTO_TEST_CASE(OnlyTheServicesOwnErrorsCountTowardsGivingUp)
{
  BOOST_TEST((Judge(Whole(500)) == answer_kind::ServerError));
  for (const unsigned status : { 502u, 503u, 504u, 404u, 421u, 301u }) {
    BOOST_TEST((Judge(Whole(status)) == answer_kind::Unusable));
  }
  auto refused = Whole(503);
  refused.mIsNotExecuted = true;
  BOOST_TEST((Judge(refused) == answer_kind::TurnedAway));
  auto broken = Whole(500);
  broken.mEnd = edge::call_end::Broken;
  BOOST_TEST((Judge(broken) == answer_kind::Unusable));
  auto foreign = Whole(500);
  foreign.mIsMismatched = true;
  BOOST_TEST((Judge(foreign) == answer_kind::Unusable));
}

BOOST_AUTO_TEST_CASE(ACallIsGivenUpAfterAsManyErrorsAsItsRouteAllows)
{
  constexpr int kMost = 4;
  for (int errors = 1; errors < kMost; ++errors) {
    BOOST_TEST((DecideNext(answer_kind::ServerError, errors, kMost) ==
                next_step::SendAgain));
  }
  BOOST_TEST(
    (DecideNext(answer_kind::ServerError, kMost, kMost) == next_step::GiveUp));
  BOOST_TEST(
    (DecideNext(answer_kind::Unusable, kMost, kMost) == next_step::SendAgain));
  BOOST_TEST((DecideNext(answer_kind::TurnedAway, kMost, kMost) ==
              next_step::SendLater));
}

// A service answers each call at once with something that can't be used, and is
// called thousands of times a second by the items that wait for it.
BOOST_AUTO_TEST_CASE(CallsToAServiceInTroubleComeMoreAndMoreSeldom)
{
  BOOST_TEST((PauseBefore(next_step::SendAgain, 1) == 0ms));
  BOOST_TEST((PauseBefore(next_step::SendLater, 1) > 0ms));
  milliseconds waited{ 0 };
  constexpr int kSendings = 60;
  for (int sendings = 1; sendings <= kSendings; ++sendings) {
    waited += PauseBefore(next_step::SendAgain, sendings);
  }
  BOOST_TEST((waited > 50s));
  BOOST_TEST((PauseBefore(next_step::SendAgain, 1000) <= 1s));
}

// Groups end late though most of their items are scored: the calls went in the
// order in which the texts came, and each group's last one stood behind the
// first ones of many others.
BOOST_AUTO_TEST_CASE(TheCallThatEndsAGroupGoesFirst)
{
  const time_point soon{ 1s };
  const time_point later{ 2s };
  BOOST_TEST((reward_rank{ soon, 1 } < reward_rank{ soon, 3 }));
  BOOST_TEST((reward_rank{ soon, 3 } < reward_rank{ later, 1 }));
  BOOST_TEST(!(reward_rank{ soon, 2 } < reward_rank{ soon, 2 }));
}

BOOST_AUTO_TEST_SUITE_END()
