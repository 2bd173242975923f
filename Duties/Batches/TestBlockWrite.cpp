#include "Duties/Batches/BlockWrite.h"

#include <boost/test/unit_test.hpp>

using namespace lavender::batches;
using lavender::objects::store_outcome;

BOOST_AUTO_TEST_SUITE(TestBlockWrite)

// Guards against a late response to an earlier write that moves the positions
// of later results.
BOOST_AUTO_TEST_CASE(ResponsesToAnEarlierWriteDontCount)
{
  block_write write;
  const auto first = BeginWrite(write);
  BOOST_TEST(IsOpen(write, first));
  EndWrite(write);
  BOOST_TEST(!IsOpen(write, first));
  const auto second = BeginWrite(write);
  BOOST_TEST(!IsOpen(write, first));
  BOOST_TEST(IsOpen(write, second));
}

// Guards against results that are written a second time, or counted as listed,
// while it isn't known whether a write without a response was carried out.
BOOST_AUTO_TEST_CASE(AnUnknownOutcomeIsReadBackUntilTheStoreAnswers)
{
  BOOST_TEST((StepAfterWrite(store_outcome::Unknown) == write_step::ReadBack));
  BOOST_TEST((StepAfterWrite(store_outcome::Conflict) == write_step::ReadBack));
  for (const auto outcome :
       { store_outcome::Unknown, store_outcome::Refused }) {
    BOOST_TEST((StepAfterReadBack(outcome) == write_step::ReadBack));
  }
  BOOST_TEST(
    (StepAfterReadBack(store_outcome::NotFound) == write_step::WriteAgain));
}

// Guards against results that stay unlisted, or are read back for nothing,
// although the store has told whether it carried the write out.
BOOST_AUTO_TEST_CASE(AKnownOutcomeNeedsNoReadBack)
{
  BOOST_TEST((StepAfterWrite(store_outcome::Done) == write_step::Apply));
  BOOST_TEST(
    (StepAfterWrite(store_outcome::Refused) == write_step::WriteAgain));
  BOOST_TEST((StepAfterReadBack(store_outcome::Done) == write_step::Apply));
}

BOOST_AUTO_TEST_SUITE_END()
