#include "Tests/Site/Support/BatchEntry.h"
#include "Tests/Site/Support/ByteServer.h"

#include <boost/test/unit_test.hpp>

using namespace lavender;
using namespace lavender::tests;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kCuts = 3;
constexpr int kItems = 8;

std::string
WholeText(const std::string& aItem)
{
  return aItem + "-1\n" + aItem + "-2\n" + aItem + "-3\n" + aItem + "-4";
}

/** Checks that each item is completed with its whole text. */
void
CheckResults(batch_site& aSite, batch_entry& aEntry)
{
  BOOST_TEST(aSite.mLoop.RunUntil(
    [&] { return aEntry.ListedIds("b1").size() == kItems; }));
  const auto page = aEntry.Read("b1", 0);
  BOOST_REQUIRE(page.Find("results"));
  for (const auto& result : page.Find("results")->Elements()) {
    const auto id = json::StringAt(result, "id", "");
    BOOST_TEST(json::StringAt(result, "state", "") == "completed");
    BOOST_TEST(json::StringAt(result, "text", "") == WholeText(id));
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestCutHeads)

// Guards against an item that is listed with an empty or short text after a
// server stopped in the middle of its answer's head; its first run or a resumed
// one.
BOOST_AUTO_TEST_CASE(ItemsOfAServerThatCutsItsHeadAreWhole)
{
  for (std::size_t cut = 0; cut < kCuts; ++cut) {
    batch_site site;
    byte_server faulty(site.mLoop,
                       [&](const auto& aChannel, const auto& aRequest) {
                         aChannel->WriteAndClose(CutHeads(IdOf(aRequest))[cut]);
                       });
    site::ApplyServer(site.mDirectory, faulty.Entry("s1"), boot_clock::now());
    model_server sound(site.mLoop.mLoop, "s2");
    sound.mBreakAfter = 2;
    site.Add(sound);
    batch_entry entry(site, "a");
    entry.Submit("b1", kItems);
    CheckResults(site, entry);
    BOOST_TEST(faulty.mRequests > 0);
  }
}

// Guards against a score that is taken from an answer whose head was cut.
BOOST_AUTO_TEST_CASE(ACutHeadIsNoScore)
{
  for (std::size_t cut = 0; cut < kCuts; ++cut) {
    batch_site site;
    site.mItemsHaveRewards = true;
    site.RouteRewardsTo("rewards");
    model_server engine(site.mLoop.mLoop, "s1");
    site.Add(engine);
    int calls = 0;
    byte_server service(
      site.mLoop, [&](const auto& aChannel, const auto& aCall) {
        const auto id = IdOf(aCall);
        if (++calls % 2 == 1) {
          aChannel->WriteAndClose(CutHeads("other")[cut]);
          return;
        }
        aChannel->Write(
          ResponseBytes(200, id, "X-Server-Seal: whole-" + id + "\r\n", "x"));
      });
    site::ApplyServer(
      site.mDirectory, service.Entry("p1", "rewards"), boot_clock::now());
    site.mRouter.SyncServers(boot_clock::now());
    batch_entry entry(site, "a");
    entry.Submit("b1", kItems);
    CheckResults(site, entry);
    const auto page = entry.Read("b1", 0);
    for (const auto& result : page.Find("results")->Elements()) {
      BOOST_TEST(json::StringAt(result, "score", "") ==
                 "whole-r" + json::StringAt(result, "id", ""));
    }
  }
}

// Guards against a trainer that gets an empty page as a whole one because the
// owner of its batch stopped in the middle of its answer's head.
BOOST_AUTO_TEST_CASE(APageOfAPeerThatCutsItsHeadIsNotForwarded)
{
  for (std::size_t cut = 0; cut < kCuts; ++cut) {
    batch_site site;
    model_server engine(site.mLoop.mLoop, "s1");
    site.Add(engine);
    site.mWeights["b"] = 0;
    batch_entry owner(site, "a");
    batch_entry other(site, "b");
    owner.Submit("b1", kItems);
    CheckResults(site, owner);
    byte_server peer(site.mLoop, [&](const auto& aChannel, const auto&) {
      aChannel->WriteAndClose(CutHeads("b1")[cut]);
    });
    site.mPeers["a"] = peer.Entry("a").mAddress;
    edge::request request;
    request.mMethod = "GET";
    request.mTarget = "/lots/b1?after=0";
    const auto answer =
      Call(site.mLoop, *site.mClients, other.Port(), request).mAnswer;
    const auto page = json::Parse(answer.mBody);
    const bool isWhole = answer.mStatus == 200 && page &&
                         page->Find("results") &&
                         page->Find("results")->Elements().size() == kItems;
    BOOST_TEST((isWhole || answer.mStatus == 503u));
    BOOST_TEST(peer.mRequests == 1);
  }
}

BOOST_AUTO_TEST_SUITE_END()
