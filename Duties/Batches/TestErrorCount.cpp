#include "Duties/Batches/ErrorCount.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace lavender;
using namespace lavender::batches;

namespace {

constexpr int kAttempts = 3;
constexpr int kMaximumErrors = kMaximumErrorsPerAttempt * kAttempts;

/** The store and the owner of one item that fails each time. */
struct failing_item
{
  /** Stores what the next run needs. */
  void Store()
  {
    if (const auto record = RecordToStore(mCount, 0)) {
      mRecords.push_back(*record);
      ApplyStored(mCount, *record, true);
    }
  }

  /** A new owner reads the store. */
  void ChangeOwner()
  {
    mCount = {};
    for (const auto& record : mRecords) {
      ApplyStored(mCount, record, false);
    }
    RecordEarlierOwners(mCount, ++mOwnersBefore);
  }

  bool MayRun() const
  {
    return MaySend(mCount) && !HasFailedTooOften(mCount, kAttempts);
  }

  error_count mCount;
  std::vector<error_record> mRecords;
  int mOwnersBefore = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(TestErrorCount)

// Guards against a write for an item that never failed.
BOOST_AUTO_TEST_CASE(AnItemWithoutErrorsNeedsNoWrite)
{
  error_count count;
  BOOST_TEST(MaySend(count));
  BOOST_TEST(!RecordToStore(count, 0).has_value());
  RecordEarlierOwners(count, 4);
  BOOST_TEST(MaySend(count));
  BOOST_TEST(!RecordToStore(count, 0).has_value());
}

// Guards against a run whose error dies with its owner: it is stored before it
// is sent, and not once more after one that didn't fail.
BOOST_AUTO_TEST_CASE(AnItemThatFailedIsStoredBeforeItIsSentAgain)
{
  failing_item item;
  RecordError(item.mCount);
  BOOST_TEST(!MaySend(item.mCount));
  const auto record = RecordToStore(item.mCount, 7);
  BOOST_REQUIRE(record.has_value());
  BOOST_TEST(record->mItem == 7u);
  BOOST_TEST(record->mKnown == 1);
  BOOST_TEST(record->mPossible == 2);
  item.Store();
  BOOST_TEST(MaySend(item.mCount));
  BOOST_TEST(!RecordToStore(item.mCount, 7).has_value());
  RecordError(item.mCount);
  BOOST_TEST(!MaySend(item.mCount));
}

// Guards against an item that is given up before it has failed as often as its
// route allows attempts.
BOOST_AUTO_TEST_CASE(RunsOfUnknownEndAloneGiveNoItemUp)
{
  error_count count;
  ApplyStored(count, { 0, kAttempts - 1, 2 * kMaximumErrors }, false);
  BOOST_TEST(!HasFailedTooOften(count, kAttempts));
  RecordError(count);
  BOOST_TEST(HasFailedTooOften(count, kAttempts));
}

// Guards against a bound that falls where nobody died.
BOOST_AUTO_TEST_CASE(OneOwnerSendsAsOftenAsEver)
{
  failing_item item;
  int runs = 0;
  while (item.MayRun()) {
    ++runs;
    RecordError(item.mCount);
    item.Store();
  }
  BOOST_TEST(runs == kMaximumErrors);
}

// Guards against a record of an owner that lives, which another one takes for
// its own: both would send the run that is stored once.
BOOST_AUTO_TEST_CASE(ARunThatAnotherOwnerStoredIsntTheOwn)
{
  failing_item item;
  RecordError(item.mCount);
  const auto record = RecordToStore(item.mCount, 0);
  BOOST_REQUIRE(record.has_value());
  ApplyStored(item.mCount, *record, false);
  BOOST_TEST(!MaySend(item.mCount));
  BOOST_TEST(RecordToStore(item.mCount, 0)->mPossible == 3);
}

// Guards against owners that add runs to the bound by their deaths, at whatever
// step they die.
BOOST_AUTO_TEST_CASE(OwnersThatDieDontAddRuns)
{
  BOOST_TEST(rc::check([](const std::vector<std::uint8_t>& aSteps) {
    failing_item item;
    int runs = 0;
    for (const auto step : aSteps) {
      // More deaths than the route allows attempts widen the bound.
      const bool mayDie = item.mOwnersBefore < kAttempts;
      if (mayDie && step % 4 == 0) {
        item.ChangeOwner();
      }
      if (item.MayRun()) {
        ++runs;
        if (mayDie && step % 4 == 1) {
          item.ChangeOwner();
        } else {
          RecordError(item.mCount);
        }
      }
      if (step % 4 != 2) {
        item.Store();
      }
    }
    for (int i = 0; i < 2 * kMaximumErrors && item.MayRun(); ++i) {
      ++runs;
      RecordError(item.mCount);
      item.Store();
    }
    RC_ASSERT(runs <= kMaximumErrors);
  }));
}

BOOST_AUTO_TEST_SUITE_END()
