#include "Tests/Site/Support/BatchEntry.h"

#include <boost/test/unit_test.hpp>
#include <set>

using namespace lavender;
using namespace lavender::tests;
using namespace std::chrono_literals;

namespace {

std::string
OwnerOf(const batch_site& aSite, const std::string& aBatchId)
{
  const auto& heads = aSite.mState.mKinds.at("batches");
  const auto head = batches::DecodeHead(heads.at(aBatchId));
  return head ? head->mOwner : std::string();
}

bool
IsAccepted(const batch_site& aSite, const std::string& aBatchId)
{
  const auto heads = aSite.mState.mKinds.find("batches");
  return heads != aSite.mState.mKinds.end() &&
         heads->second.count(aBatchId) == 1;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestBatchOwners)

// Servers turn runs away that other places were free for, and connections are
// opened for each step anew: a model's batches ran at whichever entry took
// them, and none of these knew what the others had sent.
BOOST_AUTO_TEST_CASE(BatchesOfOneModelRunAtOneEntry)
{
  batch_site site;
  model_server server(site.mLoop.mLoop, "s1");
  site.Add(server);
  batch_entry first(site, "a");
  batch_entry second(site, "b");
  batch_entry third(site, "c");
  std::set<std::string> owners;
  int number = 0;
  for (auto* entry : { &first, &second, &third, &first }) {
    const auto id = "b" + std::to_string(++number);
    BOOST_TEST(entry->Submit(id, 3).mAnswer.mStatus == 202u);
    BOOST_TEST(
      site.mLoop.RunUntil([&] { return entry->ListedIds(id).size() == 3; }));
    owners.insert(OwnerOf(site, id));
  }
  BOOST_TEST(owners.size() == 1u);
}

// A trainer's submission fails for as long as the entry that shall own it is
// dead, or is done elsewhere only after seconds. The entry that was asked takes
// it, and doesn't ask the dead one again for a while.
BOOST_AUTO_TEST_CASE(TheAskedEntryOwnsABatchWhenTheDesignatedOneIsSilent)
{
  batch_site site;
  model_server server(site.mLoop.mLoop, "s1");
  site.Add(server);
  site.mWeights["b"] = 0;
  batch_entry silent(site, "a");
  batch_entry asked(site, "b");
  silent.mIsReachable = false;
  BOOST_TEST(asked.Submit("b1", 3).mAnswer.mStatus == 202u);
  BOOST_TEST(OwnerOf(site, "b1") == "b");
  const auto start = boot_clock::now();
  BOOST_TEST(asked.Submit("b2", 3).mAnswer.mStatus == 202u);
  BOOST_TEST((boot_clock::now() - start < 1s));
  BOOST_TEST(
    site.mLoop.RunUntil([&] { return asked.ListedIds("b2").size() == 3; }));
}

// The designated entry accepts a batch and its answer is lost. The batch must
// be accepted once and run by one of the two.
BOOST_AUTO_TEST_CASE(ALostAnswerOfTheDesignatedEntryAcceptsOnce)
{
  batch_site site;
  model_server server(site.mLoop.mLoop, "s1");
  site.Add(server);
  site.mWeights["b"] = 0;
  batch_entry designated(site, "a");
  batch_entry asked(site, "b");
  designated.mLosesAnswers = true;
  BOOST_TEST(asked.Submit("b1", 4).mAnswer.mStatus == 202u);
  BOOST_TEST(OwnerOf(site, "b1") == "a");
  designated.mLosesAnswers = false;
  BOOST_TEST(
    site.mLoop.RunUntil([&] { return asked.ListedIds("b1").size() == 4; }));
  for (const auto& [item, runs] : server.mRuns) {
    BOOST_TEST(runs == 1, item);
  }
}

// A trainer is told "not run" and the batch runs: the designated entry took the
// submission and fell silent, and then the store turned the asked entry away.
BOOST_AUTO_TEST_CASE(ASilentDesignatedEntryLeavesNoRoomForNotRun)
{
  for (const bool wasSent : { true, false }) {
    batch_site site;
    site.mWeights["b"] = 0;
    batch_entry designated(site, "a");
    batch_entry asked(site, "b");
    designated.mIsReachable = false;
    if (!wasSent) {
      designated.StopListening();
    }
    site.mState.mFault = standin::store_fault::Refuse;
    const auto status = asked.Submit("b1", 3).mAnswer.mStatus;
    BOOST_TEST(status == (wasSent ? 504u : 503u));
    BOOST_TEST(!IsAccepted(site, "b1"));
  }
}

// A batch changes its owner again and again while its results are read: they
// came so slowly over a narrow link that the reader's entry took the owner for
// dead in the middle of a page, and so did the readers of the next owner.
BOOST_AUTO_TEST_CASE(APageThatArrivesSlowlyDoesntCostItsOwnerTheBatch)
{
  batch_site site;
  model_server server(site.mLoop.mLoop, "s1");
  site.Add(server);
  site.mWeights["b"] = 0;
  batch_entry owner(site, "a");
  batch_entry asked(site, "b");
  BOOST_TEST(asked.Submit("b1", 4).mAnswer.mStatus == 202u);
  BOOST_TEST(
    site.mLoop.RunUntil([&] { return owner.ListedIds("b1").size() == 4; }));
  owner.mAnswersSlowly = true;
  BOOST_TEST(asked.ListedIds("b1").size() == 4u);
  BOOST_TEST(OwnerOf(site, "b1") == "a");
}

// An entry that leaves takes no batch that another one passes on; the trainer
// isn't sent away for that.
BOOST_AUTO_TEST_CASE(ALeavingEntryIsntGivenBatches)
{
  batch_site site;
  model_server server(site.mLoop.mLoop, "s1");
  site.Add(server);
  site.mWeights["b"] = 0;
  batch_entry leaving(site, "a");
  batch_entry asked(site, "b");
  leaving.mService.StopAccepting();
  BOOST_TEST(asked.Submit("b1", 3).mAnswer.mStatus == 202u);
  BOOST_TEST(OwnerOf(site, "b1") == "b");
  // Asked itself, it passes the batch to one that stays.
  site.mWeights["b"] = 1;
  BOOST_TEST(leaving.Submit("b2", 3).mAnswer.mStatus == 202u);
  BOOST_TEST(OwnerOf(site, "b2") == "b");
}

// A step misses its time though others could list its results: its owner is cut
// off from the store, keeps the results in memory, and answers readers as if
// there were none.
BOOST_AUTO_TEST_CASE(AnOwnerThatCantStoreHandsItsBatchesOverUnasked)
{
  batch_site site;
  model_server server(site.mLoop.mLoop, "s1");
  site.Add(server);
  site.mWeights["b"] = 0;
  batch_entry owner(site, "a");
  batch_entry other(site, "b");
  BOOST_TEST(owner.Submit("b1", 4).mAnswer.mStatus == 202u);
  BOOST_TEST(OwnerOf(site, "b1") == "a");
  owner.mCanReachStore = false;
  site.mWeights["b"] = 1;
  BOOST_TEST(
    site.mLoop.RunUntil([&] { return OwnerOf(site, "b1") == "b"; }, 3s));
  BOOST_TEST(
    site.mLoop.RunUntil([&] { return other.ListedIds("b1").size() == 4; }));
  // Back again, it asks the new owner as any other entry does.
  owner.mCanReachStore = true;
  BOOST_TEST(owner.ListedIds("b1").size() == 4u);
  BOOST_TEST(OwnerOf(site, "b1") == "b");
}

// A trainer's submission is refused for as long as the entry that it reached is
// cut off from the store, though others would take it. The first one that is
// asked instead may be cut off too.
BOOST_AUTO_TEST_CASE(NewBatchesGoToAnEntryThatCanStore)
{
  batch_site site;
  model_server server(site.mLoop.mLoop, "s1");
  site.Add(server);
  constexpr double kPreferred = 1e9;
  site.mWeights["b"] = kPreferred;
  batch_entry asked(site, "a");
  batch_entry cutOff(site, "b");
  batch_entry fit(site, "c");
  asked.mCanReachStore = cutOff.mCanReachStore = false;
  BOOST_TEST(asked.Submit("b1", 3).mAnswer.mStatus == 202u);
  BOOST_TEST(OwnerOf(site, "b1") == "c");
  BOOST_TEST(
    site.mLoop.RunUntil([&] { return asked.ListedIds("b1").size() == 3; }));
}

// The store serves nobody: batches are refused at once, not sent about.
BOOST_AUTO_TEST_CASE(ABatchThatNobodyCanStoreIsRefusedAtOnce)
{
  batch_site site;
  batch_entry asked(site, "a");
  batch_entry other(site, "b");
  asked.mCanReachStore = other.mCanReachStore = false;
  const auto start = boot_clock::now();
  const auto answer = asked.Submit("b1", 3).mAnswer;
  BOOST_TEST(answer.mStatus == 503u);
  BOOST_TEST(answer.mHeaders.Find("Retry-After") != nullptr);
  BOOST_TEST((boot_clock::now() - start < 1s));
  BOOST_TEST(!IsAccepted(site, "b1"));
}

// A step ends seconds late though its entry was back at once: the one that ran
// it was killed, and the long runs began anew. What they had made is stored now
// and then, and the next owner goes on after the last stored event.
BOOST_AUTO_TEST_CASE(ALongRunGoesOnWhereItsOwnerDied)
{
  batch_site site;
  model_server server(site.mLoop.mLoop, "s1");
  constexpr int kEvents = 60;
  server.mEvents = kEvents;
  server.mEventPause = 80ms;
  site.Add(server);
  site.mWeights["b"] = 0;
  batch_entry first(site, "a");
  batch_entry second(site, "b");
  first.Submit("b1", 2);
  const auto isStored = [&] {
    const auto blocks = site.mState.mKinds.find(batches::kBatchResultsKind);
    return blocks != site.mState.mKinds.end() && !blocks->second.empty();
  };
  BOOST_TEST(site.mLoop.RunUntil(isStored));
  first.mIsReachable = false;
  BOOST_TEST(second.ListedIds("b1").empty());
  BOOST_TEST(OwnerOf(site, "b1") == "b");
  BOOST_TEST(
    site.mLoop.RunUntil([&] { return second.ListedIds("b1").size() == 2; }));
  // A run from nothing is one that the first owner began.
  BOOST_TEST(server.mRuns.at("b1i0") == 2);
  BOOST_TEST(server.mAfterEvents.at("b1i0").back() >= 10);
  const auto page = second.Read("b1", 0);
  for (const auto& result : page.Find("results")->Elements()) {
    const auto id = json::StringAt(result, "id", "");
    std::string whole = id + "-1";
    for (int i = 2; i <= kEvents; ++i) {
      whole += "\n" + id + "-" + std::to_string(i);
    }
    BOOST_TEST(json::StringAt(result, "text", "") == whole);
  }
}

// An entry that is told to end gives its batches away in time, and the runs
// that are under way begin anew elsewhere: it stores them first.
BOOST_AUTO_TEST_CASE(AnEntryThatLeavesHandsItsTextsOver)
{
  batch_site site;
  model_server server(site.mLoop.mLoop, "s1");
  server.mEvents = 40;
  server.mEventPause = 40ms;
  site.Add(server);
  site.mWeights["b"] = 0;
  batch_entry first(site, "a");
  batch_entry second(site, "b");
  first.Submit("b1", 1);
  site.mWeights["b"] = 1;
  BOOST_TEST(site.mLoop.RunUntil([&] { return server.mRuns["b1i0"] == 1; }));
  site.mLoop.RunUntil([] { return false; }, 600ms);
  first.mService.HandOver();
  BOOST_TEST(site.mLoop.RunUntil([&] { return OwnerOf(site, "b1") == "b"; }));
  BOOST_TEST(
    site.mLoop.RunUntil([&] { return second.ListedIds("b1").size() == 1; }));
  BOOST_TEST(server.mAfterEvents.at("b1i0").back() >= 5);
}

BOOST_AUTO_TEST_SUITE_END()
