#include "Libraries/Edge/AnswerBudget.h"

#include <boost/test/unit_test.hpp>

using namespace lavender::edge;

BOOST_AUTO_TEST_SUITE(TestAnswerBudget)

// Guards against a process whose memory many responses use up that each keep
// their own bound.
BOOST_AUTO_TEST_CASE(TheLargestResponseMakesRoom)
{
  answer_budget budget;
  budget.mMaximumBytes = 100;
  RecordHeld(budget, 1, 40);
  RecordHeld(budget, 2, 60);
  BOOST_TEST(!TakeLargestBeyond(budget).has_value());
  RecordHeld(budget, 3, 10);
  const auto taken = TakeLargestBeyond(budget);
  BOOST_REQUIRE(taken.has_value());
  BOOST_TEST(taken->mNumber == 2u);
  BOOST_TEST(taken->mBytes == 60u);
  BOOST_TEST(budget.mHeldBytes == 50u);
  BOOST_TEST(!TakeLargestBeyond(budget).has_value());
}

// Guards against a budget that shrinks with each response that has ended.
BOOST_AUTO_TEST_CASE(WhatAResponseHeldIsGivenBack)
{
  answer_budget budget;
  for (answer_number answer = 1; answer <= 1000; ++answer) {
    RecordHeld(budget, answer, 10);
    RecordHeld(budget, answer, 70);
    RecordHeld(budget, answer, 30);
    RecordHeld(budget, answer, 0);
    RecordHeld(budget, answer, 0);
  }
  BOOST_TEST(budget.mHeldBytes == 0u);
  BOOST_TEST(budget.mAnswers.empty());
}

BOOST_AUTO_TEST_SUITE_END()
