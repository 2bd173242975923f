#include "Duties/Batches/Schedule.h"

#include "Libraries/Core/Rendezvous.h"

#include <boost/test/unit_test.hpp>

using namespace lavender;
using namespace lavender::batches;
using namespace std::chrono_literals;

namespace {

constexpr time_point kNow{ 1h };

engine_view
Engine(const std::string& aId, int aOwnRuns, int aOtherRuns = 0)
{
  engine_view engine;
  engine.mId = aId;
  engine.mPool = "pool";
  engine.mSlots = 8;
  engine.mOwnRuns = aOwnRuns;
  engine.mOtherRuns = aOtherRuns;
  return engine;
}

std::string
Choose(const std::vector<engine_view>& aEngines,
       const group_affinities& aAffinities = {})
{
  item_requirements need;
  need.mPools = { "pool" };
  need.mGroup = "group";
  const auto chosen = ChooseEngine(aEngines, need, aAffinities, kNow);
  return chosen ? aEngines[*chosen].mId : "none";
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestSchedule)

/** Several owners fill one server that each of them takes for empty. */
BOOST_AUTO_TEST_CASE(RunsOfOtherEntriesCountAsLoad)
{
  BOOST_TEST(Choose({ Engine("a", 0, 5), Engine("b", 4) }) == "b");
  BOOST_TEST(Choose({ Engine("a", 0, 8), Engine("b", 8) }) == "none");
  const group_affinities group{ { "group", { "a", kNow } } };
  BOOST_TEST(Choose({ Engine("a", 2, 3), Engine("b", 2) }, group) == "b");
  BOOST_TEST(Choose({ Engine("a", 2, 2), Engine("b", 2) }, group) == "a");
}

/** A server that has just started looks empty and draws all waiting items. */
BOOST_AUTO_TEST_CASE(AWarmingServerIsChosenOnlyIfNoWarmOneHasRoom)
{
  auto warming = Engine("warming", 0);
  warming.mIsWarming = true;
  BOOST_TEST(Choose({ warming, Engine("warm", 7) }) == "warm");
  const group_affinities group{ { "group", { "warming", kNow } } };
  BOOST_TEST(Choose({ warming, Engine("warm", 2) }, group) == "warm");
  BOOST_TEST(Choose({ warming, Engine("warm", 8) }) == "warming");
  warming.mRunsLeft = 0;
  BOOST_TEST(Choose({ warming, Engine("warm", 8) }) == "none");
}

// Guards against a connection set up for most runs, although the owner keeps
// enough open ones to other servers that are as good.
BOOST_AUTO_TEST_CASE(ABurstUsesTheOpenConnectionsFirst)
{
  constexpr int kServers = 67;
  constexpr int kConnected = 34;
  std::vector<engine_view> engines;
  for (int i = 0; i < kServers; ++i) {
    engines.push_back(Engine("server" + std::to_string(i), 0));
    engines.back().mIdleConnections = i < kServers - kConnected ? 0 : 1;
  }
  item_requirements need;
  need.mPools = { "pool" };
  int opened = 0;
  for (int item = 0; item < kConnected; ++item) {
    const auto chosen = ChooseEngine(engines, need, {}, kNow);
    BOOST_REQUIRE(chosen);
    opened += engines[*chosen].mIdleConnections-- > 0 ? 0 : 1;
    ++engines[*chosen].mOwnRuns;
  }
  BOOST_TEST(opened == 0);
}

// Guards against steps of several trainers that start together and meet on the
// first servers by name, with several times as many runs as these have places,
// while most servers are idle: owners know of each other's runs only by
// answers.
BOOST_AUTO_TEST_CASE(OwnersThatStartTogetherSpreadOverAllServers)
{
  constexpr int kOwners = 6;
  constexpr int kItems = 200;
  constexpr int kServers = 403;
  constexpr int kSlots = 6;
  item_requirements need;
  need.mPools = { "pool" };
  std::map<std::string, int> runs;
  for (int owner = 0; owner < kOwners; ++owner) {
    std::vector<engine_view> engines;
    for (int i = 0; i < kServers; ++i) {
      engines.push_back(Engine("server" + std::to_string(i), 0));
      engines.back().mSlots = kSlots;
      engines.back().mTieBreak =
        RendezvousHash(engines.back().mId, "owner" + std::to_string(owner));
    }
    for (int item = 0; item < kItems; ++item) {
      const auto chosen = ChooseEngine(engines, need, {}, kNow);
      BOOST_REQUIRE(chosen);
      ++engines[*chosen].mOwnRuns;
      ++runs[engines[*chosen].mId];
    }
  }
  int beyondPlaces = 0;
  for (const auto& [server, count] : runs) {
    beyondPlaces += std::max(0, count - kSlots);
  }
  BOOST_TEST(runs.size() > kServers * 9 / 10);
  BOOST_TEST(beyondPlaces == 0);
}

// Guards against runs that crowd on a few servers for their open connections.
BOOST_AUTO_TEST_CASE(AnEmptierServerGoesBeforeAnOpenConnection)
{
  auto connected = Engine("connected", 1);
  connected.mIdleConnections = 3;
  BOOST_TEST(Choose({ connected, Engine("empty", 0) }) == "empty");
  auto slow = Engine("slow", 0);
  slow.mIdleConnections = 3;
  slow.mRelativeTime = 1.5;
  BOOST_TEST(Choose({ slow, Engine("usual", 0) }) == "usual");
}

/** A long item that comes first is sent to a slow server as long as that one
 * has the fewest runs. */
BOOST_AUTO_TEST_CASE(ItemsFillTheFastServersFirst)
{
  auto fast = Engine("fast", 0);
  fast.mRelativeTime = 0.5;
  std::vector engines{ Engine("slow", 0), fast };
  for (int run = 0; run < engines[1].mSlots; ++run) {
    BOOST_TEST(Choose(engines) == "fast");
    ++engines[1].mOwnRuns;
  }
  BOOST_TEST(Choose(engines) == "slow");
}

/** Long items that meet on one server outgrow its memory although each of them
 * fits now. */
BOOST_AUTO_TEST_CASE(AServerWithoutMemoryIsChosenLast)
{
  auto tight = Engine("tight", 1);
  tight.mMemoryTokens = 1000;
  tight.mRunMemory = { { 100, 900, 10 } };
  item_requirements need;
  need.mPools = { "pool" };
  need.mMemory = { 100, 900, 10 };
  BOOST_TEST(*ChooseEngine({ tight, Engine("other", 7) }, need, {}, kNow) ==
             1u);
  BOOST_TEST(*ChooseEngine({ tight, Engine("other", 8) }, need, {}, kNow) ==
             0u);
}

BOOST_AUTO_TEST_CASE(AnItemRunsOnlyInAllowedZones)
{
  auto near = Engine("near", 7);
  near.mAvailabilityZone = "near";
  auto far = Engine("far", 0);
  far.mAvailabilityZone = "far";
  item_requirements need;
  need.mPools = { "pool" };
  need.mIsZoneAllowed = [](const auto& aZone) { return aZone == "near"; };
  BOOST_TEST(*ChooseEngine({ far, near }, need, {}, kNow) == 1u);
  BOOST_TEST(!ChooseEngine({ far }, need, {}, kNow));
}

// Guards against suspects that end together with the one that is to blame: they
// are kept from a server with its share of them, and go where fewest run.
BOOST_AUTO_TEST_CASE(SuspectsAreSpread)
{
  auto full = Engine("full", 0);
  full.mSuspects = 2;
  item_requirements need;
  need.mPools = { "pool" };
  need.mSuspicion = suspicion::Suspect;
  need.mSuspectLimits = { 2, 1 };
  const auto choose = [&](const std::vector<engine_view>& aEngines) {
    const auto chosen = ChooseEngine(aEngines, need, {}, kNow);
    return chosen ? aEngines[*chosen].mId : "none";
  };
  auto fast = Engine("fast", 2);
  fast.mRelativeTime = 0.5;
  BOOST_TEST(choose({ full }) == "none");
  BOOST_TEST(choose({ full, fast, Engine("idle", 1) }) == "idle");
  need.mSuspicion = suspicion::LastRun;
  BOOST_TEST(choose({ full, Engine("other", 5) }) == "other");
  BOOST_TEST(choose({ full }) == "full");
}

// Guards against a time apart that runs although no server has room, and
// against one that never begins.
BOOST_AUTO_TEST_CASE(OnlyServersWithRoomKeepAnItemApart)
{
  item_requirements need;
  need.mPools = { "pool" };
  need.mSuspicion = suspicion::LastRun;
  need.mSuspectLimits = { 1, 1 };
  auto taken = Engine("taken", 1);
  taken.mLastRuns = 1;
  BOOST_TEST(IsKeptApart({ taken }, need, kNow));
  taken.mOwnRuns = taken.mSlots;
  BOOST_TEST(!IsKeptApart({ taken, Engine("free", 0) }, need, kNow));
  taken.mOwnRuns = 1;
  need.mLostServers = { { "taken", 0 } };
  BOOST_TEST(!IsKeptApart({ taken }, need, kNow));
}

// Guards against sound items that end with one on its last run, and against a
// second run on a server that may have ended under the item.
BOOST_AUTO_TEST_CASE(ALastRunIsLeftAloneWhileOthersHaveRoom)
{
  auto suspected = Engine("suspected", 0);
  suspected.mLastRuns = 1;
  BOOST_TEST(Choose({ suspected, Engine("busy", 7) }) == "busy");
  BOOST_TEST(Choose({ suspected, Engine("full", 8) }) == "suspected");
  item_requirements need;
  need.mPools = { "pool" };
  need.mSuspicion = suspicion::LastRun;
  need.mSuspectLimits = { 1, 1 };
  BOOST_TEST(!ChooseEngine({ suspected }, need, {}, kNow));
  need.mLostServers = { { "lost", 0 } };
  BOOST_TEST(!ChooseEngine({ Engine("lost", 0) }, need, {}, kNow));
  BOOST_TEST(CountSuitable({ Engine("lost", 0), suspected }, need) == 1u);
}

// Guards against an item that waits for ever because each server's id has been
// counted: a server that started again may run it, if no other one has room.
BOOST_AUTO_TEST_CASE(AServerThatStartedAgainMayRunTheItem)
{
  item_requirements need;
  need.mPools = { "pool" };
  need.mSuspicion = suspicion::Suspect;
  need.mSuspectLimits = { 1, 1 };
  need.mLostServers = { { "lost", 1 } };
  auto again = Engine("lost", 0);
  again.mStartedAt = 2;
  BOOST_TEST(ChooseEngine({ again }, need, {}, kNow).has_value());
  const auto chosen =
    ChooseEngine({ again, Engine("other", 5) }, need, {}, kNow);
  BOOST_TEST((chosen == std::optional<std::size_t>(1)));
}

BOOST_AUTO_TEST_SUITE_END()
