#include "Duties/Upkeep/UpkeepDuty.h"
#include "Tests/Site/Support/BatchEntry.h"

#include <boost/test/unit_test.hpp>

using namespace lavender;
using namespace lavender::tests;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(TestUpkeep)

BOOST_AUTO_TEST_CASE(ResultsAreKeptAsLongAsTrainersMayRead)
{
  const auto now = std::chrono::system_clock::now();
  batches::batch_metadata batchMetadata;
  batchMetadata.mIsEnded = true;
  batchMetadata.mSubmittedAt = now - 119s;
  BOOST_TEST(!upkeep::IsDeletable(batchMetadata, 120s, now));
  batchMetadata.mSubmittedAt = now - 121s;
  BOOST_TEST(upkeep::IsDeletable(batchMetadata, 120s, now));
  batchMetadata.mIsEnded = false;
  BOOST_TEST(!upkeep::IsDeletable(batchMetadata, 120s, now));
  batchMetadata.mSubmittedAt = now - 2h;
  BOOST_TEST(upkeep::IsDeletable(batchMetadata, 120s, now));
}

// Guards against late usage reports after instances were replaced: while their
// names stay in the list of entries, the entries after them wait until those
// have had time to report. An entry that is only cut off temporarily must stay
// listed.
BOOST_AUTO_TEST_CASE(OnlyALongOutageRemovesAnEntry)
{
  upkeep::unresponsive_entries unresponsive;
  const auto start = boot_clock::now();
  BOOST_TEST(!upkeep::RecordPing(unresponsive, "a", false, start));
  BOOST_TEST(!upkeep::RecordPing(unresponsive, "a", false, start + 19s));
  BOOST_TEST(!upkeep::RecordPing(unresponsive, "a", true, start + 19500ms));
  BOOST_TEST(!upkeep::RecordPing(unresponsive, "a", false, start + 21s));
  BOOST_TEST(!upkeep::RecordPing(unresponsive, "a", false, start + 40s));
  BOOST_TEST(upkeep::RecordPing(unresponsive, "a", false, start + 41s));
}

// Guards against filling the store and the entries' memory with old batches
// that are no longer read, at a site that runs for weeks.
BOOST_AUTO_TEST_CASE(OldBatchesAreDeletedCompletely)
{
  batch_site site;
  model_server server(site.mLoop.mLoop, "s1");
  site.Add(server);
  batch_entry entry(site, "a");
  for (const auto* id : { "b1", "b2" }) {
    BOOST_TEST(entry.Submit(id, 5).mAnswer.mStatus == 202u);
    BOOST_TEST(
      site.mLoop.RunUntil([&] { return entry.ListedIds(id).size() == 5; }));
  }
  BOOST_TEST(entry.End("b1") == 200u);
  upkeep::upkeep_duty duty(
    { site.mLoop.mLoop,
      entry.mStore,
      *site.mClients,
      "a",
      1ms,
      [] { return true; },
      [] { return std::map<std::string, edge::endpoint>{}; },
      [](const auto&) {},
      [&] { return entry.mService.ListBatches(); },
      [] { return edge::request{}; } });
  duty.Start();
  BOOST_TEST(site.mLoop.RunUntil(
    [&] { return site.mState.mKinds["batches"].size() == 1; }));
  BOOST_TEST(site.mState.mKinds["batches"].count("b2") == 1u);
  for (const auto* kind : { "batchitems", "batchresults" }) {
    for (const auto& [name, object] : site.mState.mKinds[kind]) {
      BOOST_TEST(name.substr(0, 2) == "b2");
    }
  }
  BOOST_TEST(site.mLoop.RunUntil(
    [&] { return entry.mService.ListBatches().size() == 1; }));
  BOOST_TEST(entry.ListedIds("b2").size() == 5u);
}

BOOST_AUTO_TEST_SUITE_END()
