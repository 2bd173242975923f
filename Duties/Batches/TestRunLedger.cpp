#include "Duties/Batches/RunLedger.h"

#include <boost/test/unit_test.hpp>

using namespace lavender;
using namespace lavender::batches;
using namespace std::chrono_literals;

namespace {

const site::server_start kFirst{ "s1", 1 };
const site::server_start kSecond{ "s2", 1 };
const site::server_start kThird{ "s3", 1 };

/** A ledger that has read all records of another one from the store. */
run_ledger
StoredCopyOf(const run_ledger& aLedger)
{
  std::vector<run_record> records;
  AddUnstored(aLedger, 0, records);
  run_ledger copy;
  for (const auto& record : records) {
    ApplyStored(copy, record);
  }
  return copy;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestRunLedger)

// Guards against a fourth server under a request that ends its servers.
BOOST_AUTO_TEST_CASE(ThreeEndedServersBarAnItem)
{
  run_ledger ledger;
  BOOST_TEST((SuspicionOf(ledger) == suspicion::None));
  RecordFate(ledger, kFirst, run_fate::Ended);
  BOOST_TEST((SuspicionOf(ledger) == suspicion::Suspect));
  RecordFate(ledger, kSecond, run_fate::Ended);
  BOOST_TEST((SuspicionOf(ledger) == suspicion::LastRun));
  RecordFate(ledger, kThird, run_fate::Ended);
  BOOST_TEST((SuspicionOf(ledger) == suspicion::Barred));
}

// Guards against a server whose silence counts as nothing until its end shows.
BOOST_AUTO_TEST_CASE(ARunOfUnknownFateCounts)
{
  run_ledger ledger;
  RecordFate(ledger, kFirst, run_fate::Open);
  RecordFate(ledger, kSecond, run_fate::Open);
  RecordFate(ledger, kThird, run_fate::Open);
  BOOST_TEST((SuspicionOf(ledger) == suspicion::Barred));
  RecordFate(ledger, kSecond, run_fate::Survived);
  BOOST_TEST((SuspicionOf(ledger) == suspicion::LastRun));
}

// Guards against sound items that lose their runs on days of resets, and
// against a write for each reset connection.
BOOST_AUTO_TEST_CASE(AServerThatLivesLeavesNothingToStore)
{
  run_ledger ledger;
  RecordFate(ledger, kFirst, run_fate::Open);
  RecordFate(ledger, kFirst, run_fate::Survived);
  BOOST_TEST(ledger.empty());
}

// Guards against two ends that are counted for two runs on one server.
BOOST_AUTO_TEST_CASE(OneStartEndsOnce)
{
  run_ledger ledger;
  RecordFate(ledger, kFirst, run_fate::Ended);
  RecordFate(ledger, kFirst, run_fate::Open);
  RecordFate(ledger, kFirst, run_fate::Survived);
  BOOST_TEST(ServersLost(ledger) == 1);
  RecordFate(ledger, { "s1", 2 }, run_fate::Ended);
  BOOST_TEST(ServersLost(ledger) == 2);
}

// Guards against a count that begins anew with the next owner.
BOOST_AUTO_TEST_CASE(AnotherOwnerReadsTheSameCount)
{
  run_ledger ledger;
  RecordFate(ledger, kFirst, run_fate::Ended);
  RecordFate(ledger, kSecond, run_fate::Open);
  BOOST_TEST(!IsCountStored(ledger));
  const auto copy = StoredCopyOf(ledger);
  BOOST_TEST(ServersLost(copy) == 2);
  BOOST_TEST(IsCountStored(copy));
  BOOST_TEST(OpenRuns(copy).size() == 1u);
}

// Guards against two owners that each spend the whole count.
BOOST_AUTO_TEST_CASE(RecordsOfAnotherOwnerAreAddedToTheOwnOnes)
{
  run_ledger ledger;
  RecordFate(ledger, kFirst, run_fate::Ended);
  ApplyStored(ledger, { 0, kSecond, run_fate::Open });
  ApplyStored(ledger, { 0, kThird, run_fate::Ended });
  BOOST_TEST((SuspicionOf(ledger) == suspicion::Barred));
}

// Guards against an own, newer fate that an older record from the store undoes.
BOOST_AUTO_TEST_CASE(AnOlderRecordDoesntUndoANewerFate)
{
  run_ledger ledger;
  ApplyStored(ledger, { 0, kFirst, run_fate::Open });
  RecordFate(ledger, kFirst, run_fate::Survived);
  ApplyStored(ledger, { 0, kFirst, run_fate::Open });
  BOOST_TEST(ServersLost(ledger) == 0);
  std::vector<run_record> records;
  AddUnstored(ledger, 0, records);
  BOOST_TEST(records.size() == 1u);
  RecordFate(ledger, kSecond, run_fate::Ended);
  ApplyStored(ledger, { 0, kSecond, run_fate::Survived });
  BOOST_TEST(ServersLost(ledger) == 1);
}

// Guards against suspects that end together with the one that is to blame, and
// against a pool that stands idle because most items are suspects.
BOOST_AUTO_TEST_CASE(SuspectsAreSpreadWithoutLeavingServersIdle)
{
  BOOST_TEST(LimitsOf({ 0, 0 }, 9).mSuspects == 1);
  BOOST_TEST(LimitsOf({ 12, 0 }, 8).mSuspects == 2);
  BOOST_TEST(LimitsOf({ 100, 0 }, 5).mSuspects == 20);
  BOOST_TEST(LimitsOf({ 0, 12 }, 8).mLastRuns == 1);
  BOOST_TEST(LimitsOf({ 0, 100 }, 5).mLastRuns == 7);
  BOOST_TEST(LimitsOf({ 3, 3 }, 0).mLastRuns > 0);
}

// Guards against a suspect that waits beside servers with room for as long as
// the runs of other suspects take.
BOOST_AUTO_TEST_CASE(ASuspectIsKeptApartForALimitedTime)
{
  const suspect_counts counts{ 1, 1 };
  BOOST_TEST(LimitsOf(counts, 9, kApartTime - 1ms).mSuspects == 1);
  BOOST_TEST(LimitsOf(counts, 9, kApartTime - 1ms).mLastRuns == 1);
  BOOST_TEST(LimitsOf(counts, 9, kApartTime).mSuspects > 100);
  BOOST_TEST(LimitsOf(counts, 9, kApartTime).mLastRuns > 100);
}

BOOST_AUTO_TEST_SUITE_END()
