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
  batches::batch_metadata head;
  head.mIsEnded = true;
  head.mSubmittedAt = now - 119s;
  BOOST_TEST(!upkeep::IsDisposable(head, 120s, now));
  head.mSubmittedAt = now - 121s;
  BOOST_TEST(upkeep::IsDisposable(head, 120s, now));
  head.mIsEnded = false;
  BOOST_TEST(!upkeep::IsDisposable(head, 120s, now));
  head.mSubmittedAt = now - 2h;
  BOOST_TEST(upkeep::IsDisposable(head, 120s, now));
}

// Usage reports come late after some instances were replaced: their names stay
// in the list, and the entries after them wait for their turn. One that is
// only cut off for a while must stay.
BOOST_AUTO_TEST_CASE(OnlyALongSilenceRemovesAnEntry)
{
  upkeep::silent_entries silent;
  const auto start = boot_clock::now();
  BOOST_TEST(!upkeep::TakePing(silent, "a", false, start));
  BOOST_TEST(!upkeep::TakePing(silent, "a", false, start + 19s));
  BOOST_TEST(!upkeep::TakePing(silent, "a", true, start + 19500ms));
  BOOST_TEST(!upkeep::TakePing(silent, "a", false, start + 21s));
  BOOST_TEST(!upkeep::TakePing(silent, "a", false, start + 40s));
  BOOST_TEST(upkeep::TakePing(silent, "a", false, start + 41s));
}

// A site that runs for weeks fills the store and the entries' memory with
// batches that nobody reads any more.
BOOST_AUTO_TEST_CASE(OldBatchesLeaveTheStoreWhole)
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
