#include "Tests/Site/Support/BatchEntry.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <set>

using namespace lavender;
using namespace lavender::tests;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(TestBatchPositions)

namespace {

/** Changes the owner of a batch in the store, as another entry's claim does. */
void
ChangeOwner(batch_site& aSite, const std::string& aBatchId, const char* aOwner)
{
  auto& object = aSite.mState.mKinds["batches"].at(aBatchId);
  object.mRevision = ++aSite.mState.mRevision;
  object.mStatus = json::object{ { "owner", aOwner }, { "ended", false } };
  aSite.mState.mHistory["batches"].push_back({ object, false });
}

bool
IsPrefix(const std::vector<std::string>& aShort,
         const std::vector<std::string>& aLong)
{
  return aShort.size() <= aLong.size() &&
         std::equal(aShort.begin(), aShort.end(), aLong.begin());
}

} // namespace

BOOST_AUTO_TEST_CASE(EveryItemIsListedOnceAtOnePosition)
{
  batch_site site;
  model_server server(site.mLoop.mLoop, "s1");
  site.Add(server);
  batch_entry entry(site, "a");
  BOOST_TEST(entry.Submit("b1", 20).mAnswer.mStatus == 202u);
  BOOST_TEST(
    site.mLoop.RunUntil([&] { return entry.ListedIds("b1").size() == 20; }));
  const auto ids = entry.ListedIds("b1");
  BOOST_TEST(std::set<std::string>(ids.begin(), ids.end()).size() == 20u);
  const auto page = entry.Read("b1", 0);
  const auto& first = page.Find("results")->Elements().front();
  const auto id = json::StringAt(first, "id", "");
  BOOST_TEST(json::StringAt(first, "text", "") ==
             id + "-1\n" + id + "-2\n" + id + "-3\n" + id + "-4");
}

// Guards against results that change their position after a trainer has read
// them. An entry lost a batch while loading it and got it back at once; the
// store's responses to the first load were applied to the log of the second and
// shifted its block numbers.
BOOST_AUTO_TEST_CASE(ABatchLostAndRegainedWhileLoadingKeepsItsPositions)
{
  batch_site site;
  model_server server(site.mLoop.mLoop, "s1");
  server.mEventPause = 60ms;
  site.Add(server);
  site.mState.mLatency = 15ms;
  batch_entry owner(site, "a");
  const auto runFor = [&](milliseconds aTime) {
    site.mLoop.RunUntil([] { return false; }, aTime);
  };
  BOOST_TEST(owner.Submit("b1", 60).mAnswer.mStatus == 202u);
  std::vector<std::string> seen;
  for (int turn = 0; turn < 12; ++turn) {
    ChangeOwner(site, "b1", "b");
    runFor(40ms);
    // Two loads overlap: the read starts a load, and the loss of the batch and
    // the next read come before the store's response.
    ChangeOwner(site, "b1", "a");
    runFor(20ms);
    owner.StartReading("b1");
    runFor(milliseconds(2 + turn));
    ChangeOwner(site, "b1", "b");
    ChangeOwner(site, "b1", "a");
    runFor(20ms);
    owner.StartReading("b1");
    BOOST_TEST(site.mLoop.RunUntil([&] {
      const auto now = owner.ListedIds("b1");
      const bool isComplete = now.size() >= seen.size();
      seen = isComplete ? now : seen;
      return isComplete;
    }));
    runFor(250ms);
  }
  BOOST_TEST(
    site.mLoop.RunUntil([&] { return owner.ListedIds("b1").size() == 60; }));
  BOOST_TEST(IsPrefix(seen, owner.ListedIds("b1")));
  // A log that is loaded from the store has the same positions.
  ChangeOwner(site, "b1", "c");
  batch_entry reader(site, "c");
  BOOST_TEST(
    site.mLoop.RunUntil([&] { return reader.ListedIds("b1").size() == 60; }));
  BOOST_TEST(reader.ListedIds("b1") == owner.ListedIds("b1"));
}

// Guards against a result that disappears after it was read. The batch had
// changed its owner; the previous owner didn't know yet and listed one more
// block. The new owner had just loaded the batch and never saw that block,
// since it writes nothing once the batch has ended.
BOOST_AUTO_TEST_CASE(WhatAnEarlierOwnerListedLateIsShown)
{
  for (const bool isEnded : { true, false }) {
    batch_site site;
    batch_entry first(site, "a");
    BOOST_TEST(first.Submit("b1", 3).mAnswer.mStatus == 202u);
    ChangeOwner(site, "b1", "b");
    batch_entry owner(site, "b");
    BOOST_TEST(owner.ListedIds("b1").empty());
    BOOST_TEST((!isEnded || owner.End("b1") == 200u));
    const auto list = [&](int aBlock, const std::string& aItem) {
      const batches::result_block block{ { aItem },
                                         { R"({"id":")" + aItem +
                                           R"(","state":"completed"})" },
                                         {},
                                         {},
                                         {} };
      standin::PutDirectly(site.mState,
                           batches::kBatchResultsKind,
                           batches::ResultsObjectName("b1", aBlock),
                           batches::EncodeBlock(block));
    };
    const auto next =
      static_cast<int>(site.mState.mKinds[batches::kBatchResultsKind].size());
    list(next, "b1i0");
    list(next + 1, "b1i2");
    const std::vector<std::string> listed = { "b1i0", "b1i2" };
    BOOST_TEST(
      site.mLoop.RunUntil([&] { return owner.ListedIds("b1") == listed; }, 3s));
  }
}

// While the store is unavailable, an owner that can't know whether another
// entry listed more results responds with 503 instead of an incomplete page.
BOOST_AUTO_TEST_CASE(AnOwnerThatCantBeSureOfTheEndSaysSo)
{
  batch_site site;
  batch_entry first(site, "a");
  BOOST_TEST(first.Submit("b1", 3).mAnswer.mStatus == 202u);
  ChangeOwner(site, "b1", "b");
  batch_entry owner(site, "b");
  BOOST_TEST(owner.ListedIds("b1").empty());
  site.mLoop.RunUntil([] { return false; }, 600ms);
  site.mState.mFault = standin::store_fault::Refuse;
  edge::request request;
  request.mMethod = "GET";
  request.mTarget = "/lots/b1?after=0";
  const auto read = [&] {
    return Call(site.mLoop, *site.mClients, owner.Port(), request)
      .mAnswer.mStatus;
  };
  BOOST_TEST(read() == 503u);
  site.mState.mFault = standin::store_fault::None;
  BOOST_TEST(read() == 200u);
}

// Guards against a step that never ends because its owner died. The entry that
// is asked next takes the batch over and continues after the listed results.
BOOST_AUTO_TEST_CASE(AnotherEntryTakesOverWhenTheOwnerIsSilent)
{
  batch_site site;
  model_server server(site.mLoop.mLoop, "s1");
  server.mEventPause = 40ms;
  site.Add(server);
  site.mWeights["b"] = 0;
  batch_entry owner(site, "a");
  batch_entry other(site, "b");
  BOOST_TEST(owner.Submit("b1", 12).mAnswer.mStatus == 202u);
  BOOST_TEST(
    site.mLoop.RunUntil([&] { return !owner.ListedIds("b1").empty(); }));
  const auto before = owner.ListedIds("b1");
  owner.mIsReachable = false;
  BOOST_TEST(
    site.mLoop.RunUntil([&] { return other.ListedIds("b1").size() == 12; }));
  BOOST_TEST(IsPrefix(before, other.ListedIds("b1")));
}

// The store's response to the write of the metadata is lost, or the write takes
// effect late. The batch must be accepted only once, and a batch that runs must
// not be refused with 503.
BOOST_AUTO_TEST_CASE(ALostAnswerToTheHeadNeverMakesARefusedBatchRun)
{
  for (const auto fault : { standin::store_fault::LoseAnswers,
                            standin::store_fault::Late,
                            standin::store_fault::Silent,
                            standin::store_fault::Refuse }) {
    batch_site site;
    model_server server(site.mLoop.mLoop, "s1");
    site.Add(server);
    batch_entry entry(site, "a");
    site.mState.mFault = fault;
    const auto status = entry.Submit("b1", 4).mAnswer.mStatus;
    site.mState.mFault = standin::store_fault::None;
    site.mLoop.RunUntil([] { return false; }, 300ms);
    const bool hasRun = !server.mRuns.empty();
    const bool promisedNot = status == 503;
    BOOST_TEST(!(hasRun && promisedNot));
    if (fault == standin::store_fault::LoseAnswers) {
      BOOST_TEST(status == 202u);
    }
    if (fault == standin::store_fault::Refuse) {
      BOOST_TEST(status == 503u);
    }
  }
}

// A server dies in the middle of an event. The text must continue after the
// last complete event, with neither a gap nor a duplicated event.
BOOST_AUTO_TEST_CASE(ABrokenStreamGoesOnAfterItsLastWholeEvent)
{
  batch_site site;
  model_server server(site.mLoop.mLoop, "s1");
  server.mBreakAfter = 2;
  site.Add(server);
  batch_entry entry(site, "a");
  BOOST_TEST(entry.Submit("b1", 3).mAnswer.mStatus == 202u);
  BOOST_TEST(
    site.mLoop.RunUntil([&] { return entry.ListedIds("b1").size() == 3; }));
  const auto page = entry.Read("b1", 0);
  for (const auto& result : page.Find("results")->Elements()) {
    const auto id = json::StringAt(result, "id", "");
    BOOST_TEST(json::StringAt(result, "text", "") ==
               id + "-1\n" + id + "-2\n" + id + "-3\n" + id + "-4");
    BOOST_TEST(server.mRuns[id] == 2);
  }
}

// Guards against items that keep using servers after their batch was ended.
// Runs must be cancelled when the end is requested, not when the store has
// recorded it.
BOOST_AUTO_TEST_CASE(AnEndCutsTheRunsEvenWhileTheStoreIsSilent)
{
  batch_site site;
  model_server server(site.mLoop.mLoop, "s1");
  server.mEvents = 100000;
  site.Add(server);
  batch_entry entry(site, "a");
  BOOST_TEST(entry.Submit("b1", 5).mAnswer.mStatus == 202u);
  BOOST_TEST(site.mLoop.RunUntil([&] { return server.mOpenRuns == 5; }));
  site.mState.mFault = standin::store_fault::Silent;
  const auto status = entry.End("b1");
  BOOST_TEST(status != 200u);
  BOOST_TEST(server.mOpenRuns == 0);
  site.mState.mFault = standin::store_fault::None;
  BOOST_TEST(entry.End("b1") == 200u);
  BOOST_TEST(entry.End("b1") == 200u);
}

// An item that fails on every server must be given up eventually, but only
// after twice the failures that its route allows, since most failures come from
// a few bad servers. Three times as many would exceed the operators' limit.
BOOST_AUTO_TEST_CASE(AnItemThatAlwaysFailsIsGivenUpInTheEnd)
{
  batch_site site;
  model_server server(site.mLoop.mLoop, "s1");
  server.mStatus = 500;
  site.Add(server);
  batch_entry entry(site, "a");
  BOOST_TEST(entry.Submit("b1", 2).mAnswer.mStatus == 202u);
  BOOST_TEST(
    site.mLoop.RunUntil([&] { return entry.ListedIds("b1").size() == 2; }));
  const auto page = entry.Read("b1", 0);
  for (const auto& result : page.Find("results")->Elements()) {
    BOOST_TEST(json::StringAt(result, "state", "") == "dead_letter");
    BOOST_TEST(server.mRuns[json::StringAt(result, "id", "")] == 6);
  }
}

// Guards against a text of two weights versions where the route asks for one:
// the server changed its weights during the run.
BOOST_AUTO_TEST_CASE(AMixedTextIsMadeAnewWhereOneVersionIsAskedFor)
{
  for (const bool isSingle : { true, false }) {
    batch_site site;
    site.Change(
      [&](site::route& aRoute) { aRoute.mIsSingleVersion = isSingle; });
    model_server server(site.mLoop.mLoop, "s1");
    server.mEvents = 20;
    server.mEventPause = 15ms;
    site.Add(server);
    batch_entry entry(site, "a");
    BOOST_TEST(entry.Submit("b1", 4).mAnswer.mStatus == 202u);
    BOOST_TEST(site.mLoop.RunUntil([&] { return server.mOpenRuns == 4; }));
    site.mLoop.RunUntil([] { return false; }, 60ms);
    server.mVersion = 2;
    BOOST_TEST(
      site.mLoop.RunUntil([&] { return entry.ListedIds("b1").size() == 4; }));
    const auto page = entry.Read("b1", 0);
    for (const auto& result : page.Find("results")->Elements()) {
      const auto id = json::StringAt(result, "id", "");
      const auto text = json::StringAt(result, "text", "");
      BOOST_TEST(std::count(text.begin(), text.end(), '\n') == 19);
      BOOST_TEST(text.rfind(id + "-20") == text.size() - id.size() - 3);
      BOOST_TEST(json::Write(*result.Find("versions")) ==
                 (isSingle ? "[2]" : "[1,2]"));
    }
  }
}

// Guards against bursts of rejected runs at a server that is full or loading
// weights: each time its delay ended, all its slots were tried at once.
BOOST_AUTO_TEST_CASE(AServerThatTurnedRunsAwayIsTriedWithOne)
{
  constexpr int kItems = 24;
  batch_site site;
  model_server server(site.mLoop.mLoop, "s1");
  site.Add(server);
  batch_entry entry(site, "a");
  server.mIsFull = true;
  BOOST_TEST(entry.Submit("b1", kItems).mAnswer.mStatus == 202u);
  BOOST_TEST(site.mLoop.RunUntil([&] { return server.mTurnedAway >= kItems; }));
  // The initial burst was sent before the server was known to be full. After
  // it, each dispatch sends one probe run, at most ten times a second.
  const auto start = boot_clock::now();
  site.mLoop.RunUntil([] { return false; }, 1s);
  const auto dispatches = (boot_clock::now() - start) / 100ms;
  BOOST_TEST(server.mTurnedAway <= kItems + 1 + dispatches);
  BOOST_TEST(server.mTurnedAway > kItems);
  server.mIsFull = false;
  BOOST_TEST(site.mLoop.RunUntil(
    [&] { return entry.ListedIds("b1").size() == kItems; }));
}

// Guards against memory that grows with every server that ever ran an item:
// servers restart under new names all day.
BOOST_AUTO_TEST_CASE(ServersThatAreNoMoreAreForgotten)
{
  batch_site site;
  batch_entry entry(site, "a");
  constexpr int kLives = 6;
  for (int life = 0; life < kLives; ++life) {
    const auto name = "s" + std::to_string(life);
    model_server server(site.mLoop.mLoop, name);
    site.Add(server);
    const auto batch = "b" + std::to_string(life);
    BOOST_TEST(entry.Submit(batch, 2).mAnswer.mStatus == 202u);
    BOOST_TEST(
      site.mLoop.RunUntil([&] { return entry.ListedIds(batch).size() == 2; }));
    BOOST_TEST(entry.mRunner.KnownServers() == 1u);
    site.mDirectory.mRows.erase(name);
    BOOST_TEST(entry.End(batch) == 200u);
  }
  BOOST_TEST(entry.mRunner.KnownServers() == 0u);
}

// Guards against giving an item up seconds early: the clock of the accepting
// entry was behind and that of the running entry ahead, and the batch's age is
// their difference.
BOOST_AUTO_TEST_CASE(AnItemIsntGivenUpEarlyBecauseClocksDiffer)
{
  for (const auto& [age, isGivenUp] :
       { std::pair{ 11s, false }, std::pair{ 16s, true } }) {
    batch_site site;
    site.SetMaximumQueueing(10s);
    batch_entry owner(site, "a");
    BOOST_TEST(owner.Submit("b1", 3).mAnswer.mStatus == 202u);
    const auto submitted = std::chrono::duration_cast<milliseconds>(
      std::chrono::system_clock::now().time_since_epoch() - age);
    auto& batchObject = site.mState.mKinds["batches"].at("b1");
    batchObject.mSpec.Set("submittedMs", std::int64_t{ submitted.count() });
    ChangeOwner(site, "b1", "b");
    batch_entry other(site, "b");
    const bool isListed = site.mLoop.RunUntil(
      [&] { return other.ListedIds("b1").size() == 3; }, isGivenUp ? 20s : 2s);
    BOOST_TEST(isListed == isGivenUp);
  }
}

// Guards against a store that was silent for seconds and is back: results of
// steps that were due stayed in memory until the calls of the outage timed out.
BOOST_AUTO_TEST_CASE(WaitingResultsAreListedAsSoonAsASilentStoreReturns)
{
  for (const auto outage : { 300ms, 1200ms, 2400ms }) {
    batch_site site;
    model_server server(site.mLoop.mLoop, "s1");
    site.Add(server);
    site.mState.mTimeoutDelay = 1500ms;
    batch_entry entry(site, "a");
    BOOST_TEST(entry.Submit("b1", 4).mAnswer.mStatus == 202u);
    site.mState.mFault = standin::store_fault::Silent;
    site.mLoop.RunUntil([] { return false; }, outage);
    site.mState.mFault = standin::store_fault::None;
    BOOST_TEST(site.mLoop.RunUntil(
                 [&] { return entry.ListedIds("b1").size() == 4; }, 600ms),
               outage.count());
  }
}

// Guards against a reader whose check for an earlier owner's results meets a
// silent store and holds up the writes of the batch after the store's return.
BOOST_AUTO_TEST_CASE(ACheckThatASilentStoreLeftOpenHoldsUpNoResults)
{
  batch_site site;
  model_server server(site.mLoop.mLoop, "s1");
  server.mEventPause = 250ms;
  site.Add(server);
  site.mState.mTimeoutDelay = 1500ms;
  batch_entry first(site, "a");
  BOOST_TEST(first.Submit("b1", 4).mAnswer.mStatus == 202u);
  ChangeOwner(site, "b1", "b");
  batch_entry owner(site, "b");
  BOOST_TEST(owner.ListedIds("b1").empty());
  site.mLoop.RunUntil([] { return false; }, 600ms);
  site.mState.mFault = standin::store_fault::Silent;
  owner.StartReading("b1");
  site.mLoop.RunUntil([] { return false; }, 300ms);
  site.mState.mFault = standin::store_fault::None;
  BOOST_TEST(site.mLoop.RunUntil(
    [&] { return !site.mState.mKinds[batches::kBatchResultsKind].empty(); },
    1000ms));
  BOOST_TEST(
    site.mLoop.RunUntil([&] { return owner.ListedIds("b1").size() == 4; }));
}

// Guards against a write that takes effect after it was read back as missing
// and written again: its results must not be listed at two positions.
BOOST_AUTO_TEST_CASE(AWriteThatTakesEffectAfterItsReadBackIsListedOnce)
{
  batch_site site;
  model_server server(site.mLoop.mLoop, "s1");
  site.Add(server);
  site.mState.mTimeoutDelay = 1500ms;
  site.mState.mLateWriteDelay = 900ms;
  batch_entry entry(site, "a");
  BOOST_TEST(entry.Submit("b1", 4).mAnswer.mStatus == 202u);
  site.mState.mFault = standin::store_fault::Late;
  site.mLoop.RunUntil([] { return false; }, 2000ms);
  site.mState.mFault = standin::store_fault::None;
  BOOST_TEST(
    site.mLoop.RunUntil([&] { return entry.ListedIds("b1").size() == 4; }));
  site.mLoop.RunUntil([] { return false; }, 1000ms);
  const auto ids = entry.ListedIds("b1");
  BOOST_TEST(std::set<std::string>(ids.begin(), ids.end()).size() == 4u);
  // A log that is loaded from the store has the same positions.
  ChangeOwner(site, "b1", "c");
  batch_entry reader(site, "c");
  BOOST_TEST(
    site.mLoop.RunUntil([&] { return reader.ListedIds("b1") == ids; }, 5s));
}

BOOST_AUTO_TEST_SUITE_END()
