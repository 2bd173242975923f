#include "Tests/Site/Support/BatchEntry.h"

#include <boost/test/unit_test.hpp>

using namespace lavender;
using namespace lavender::tests;
using namespace std::chrono_literals;

namespace {

/** A site with one model server, on which the items of a batch take seconds. */
struct slow_site : batch_site
{
  slow_site()
    : mServer(mLoop.mLoop, "s1")
  {
    mServer.mEvents = 2000;
    mServer.mEventPause = 5ms;
    batch_site::Add(mServer);
  }

  bool IsEnded(const std::string& aBatchId) const
  {
    const auto metadata =
      batches::DecodeMetadata(mState.mKinds.at("batches").at(aBatchId));
    return metadata && metadata->mIsEnded;
  }

  bool WaitForRuns(int aRuns)
  {
    return mLoop.RunUntil([&] { return mServer.mOpenRuns == aRuns; });
  }

  int Runs() const
  {
    int runs = 0;
    for (const auto& [item, count] : mServer.mRuns) {
      runs += count;
    }
    return runs;
  }

  void Watch(milliseconds aTime)
  {
    mLoop.RunUntil([] { return false; }, aTime);
  }

  model_server mServer;
};

} // namespace

BOOST_AUTO_TEST_SUITE(TestBatchEnds)

// Guards against an end that the store doesn't take and that is forgotten: it
// is stored once the store takes writes, though the trainer doesn't repeat it.
BOOST_AUTO_TEST_CASE(AnEndIsStoredOnceTheStoreTakesIt)
{
  slow_site site;
  batch_entry entry(site, "a");
  entry.Submit("b1", 4);
  BOOST_TEST(site.WaitForRuns(4));
  entry.mCanReachStore = false;
  BOOST_TEST(entry.End("b1") == 504u);
  BOOST_TEST(site.WaitForRuns(0));
  BOOST_TEST(!site.IsEnded("b1"));
  entry.mCanReachStore = true;
  BOOST_TEST(site.mLoop.RunUntil([&] { return site.IsEnded("b1"); }));
  BOOST_TEST(site.Runs() == 4);
  BOOST_TEST(entry.End("b1") == 200u);
}

// Guards against items of an ended batch that run after a planned stop of the
// owner, which hands the batch over.
BOOST_AUTO_TEST_CASE(AnEndIsHandedOverWithItsBatch)
{
  slow_site site;
  site.mWeights["b"] = 0;
  batch_entry first(site, "a");
  batch_entry second(site, "b");
  first.Submit("b1", 4);
  BOOST_TEST(site.WaitForRuns(4));
  first.mCanReachStore = false;
  BOOST_TEST(first.End("b1") == 504u);
  BOOST_TEST(site.WaitForRuns(0));
  site.mWeights = { { "a", 0 }, { "b", 1 } };
  first.mCanReachStore = true;
  first.mService.HandOver();
  site.Watch(1500ms);
  BOOST_TEST(site.IsEnded("b1"));
  BOOST_TEST(site.Runs() == 4);
}

// Guards against an end that reaches another entry than the owner while that
// one is gone and the store takes no writes.
BOOST_AUTO_TEST_CASE(AnEntryThatIsntTheOwnerKeepsAnEndToo)
{
  slow_site site;
  site.mWeights["b"] = 0;
  batch_entry first(site, "a");
  batch_entry second(site, "b");
  first.Submit("b1", 4);
  BOOST_TEST(site.WaitForRuns(4));
  BOOST_TEST(site.mLoop.RunUntil(
    [&] { return second.mService.ListBatches().size() == 1; }));
  first.mIsReachable = false;
  first.mCanReachStore = false;
  first.StopListening();
  first.mRunner.Remove("b1");
  second.mCanReachStore = false;
  BOOST_TEST(second.End("b1") != 200u);
  BOOST_TEST(!site.IsEnded("b1"));
  second.mCanReachStore = true;
  BOOST_TEST(site.mLoop.RunUntil([&] { return site.IsEnded("b1"); }));
  site.Watch(500ms);
  BOOST_TEST(site.Runs() == 4);
}

// Guards against an owner that loses its batch while it keeps an end: the entry
// that was asked waits for its answer and doesn't claim the batch.
BOOST_AUTO_TEST_CASE(AnEndThatTheOwnerKeepsIsntClaimedInVain)
{
  slow_site site;
  site.mWeights["b"] = 0;
  batch_entry first(site, "a");
  batch_entry second(site, "b");
  first.Submit("b1", 4);
  BOOST_TEST(site.WaitForRuns(4));
  BOOST_TEST(site.mLoop.RunUntil(
    [&] { return second.mService.ListBatches().size() == 1; }));
  first.mCanReachStore = false;
  BOOST_TEST(second.End("b1") == 504u);
  BOOST_TEST(site.WaitForRuns(0));
  const auto metadata =
    batches::DecodeMetadata(site.mState.mKinds.at("batches").at("b1"));
  BOOST_REQUIRE(metadata);
  BOOST_TEST(metadata->mOwner == "a");
  first.mCanReachStore = true;
  BOOST_TEST(site.mLoop.RunUntil([&] { return site.IsEnded("b1"); }));
  BOOST_TEST(site.Runs() == 4);
}

// Guards against writes that pile up for one end while the store is silent:
// each call, and each attempt of the entry's own, began a series of them.
BOOST_AUTO_TEST_CASE(CallsThatEndABatchShareOneSeriesOfWrites)
{
  slow_site site;
  batch_entry entry(site, "a");
  entry.Submit("b1", 4);
  BOOST_TEST(site.WaitForRuns(4));
  int writes = 0;
  entry.mStore.mReplaceStatus = [&](const auto&,
                                    const auto&,
                                    objects::revision_number,
                                    const auto&,
                                    const objects::object_done&) { ++writes; };
  edge::request request;
  request.mMethod = "DELETE";
  request.mTarget = "/lots/b1";
  for (int i = 0; i < 3; ++i) {
    site.mClients->Start({ "127.0.0.1", entry.Port() }, request, {}, {});
  }
  BOOST_TEST(site.WaitForRuns(0));
  site.Watch(300ms);
  BOOST_TEST(writes == 1);
}

BOOST_AUTO_TEST_SUITE_END()
