#include "Duties/Batches/Schedule.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace lavender;
using namespace lavender::batches;
using namespace std::chrono_literals;

namespace {

const time_point kNow{ 60s };

engine_view
Engine(const char* aId)
{
  engine_view engine;
  engine.mId = aId;
  engine.mPool = "pool";
  engine.mAvailabilityZone = "zone";
  engine.mSlots = 2;
  engine.mVersions["model"] = 5;
  return engine;
}

item_requirements
Need()
{
  item_requirements need;
  need.mPools = { "pool" };
  need.mModel = "model";
  need.mMinimumVersion = 5;
  return need;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestWaitReason)

// Guards against a wait without a word: each state in which no server is chosen
// has a reason of its own.
BOOST_AUTO_TEST_CASE(EachStateWithoutAServerHasItsReason)
{
  const auto check = [](wait_reason aReason, const auto& aChange) {
    std::vector<engine_view> engines{ Engine("s1") };
    auto need = Need();
    aChange(engines, need);
    BOOST_TEST(!ChooseEngine(engines, need, {}, kNow));
    BOOST_TEST(ToString(WhyNotPlaced(engines, need, kNow)) ==
               ToString(aReason));
  };
  const std::vector<bool> none{ false };
  check(wait_reason::NoServer, [](auto& aEngines, auto&) { aEngines.clear(); });
  check(wait_reason::NoServer,
        [](auto& aEngines, auto&) { aEngines[0].mPool = "other"; });
  check(wait_reason::NoZone, [](auto&, auto& aNeed) {
    aNeed.mIsZoneAllowed = [](const auto&) { return false; };
  });
  check(wait_reason::NoVersion,
        [](auto& aEngines, auto&) { aEngines[0].mVersions["model"] = 4; });
  check(wait_reason::NoOtherServer, [](auto&, auto& aNeed) {
    aNeed.mLostServers = { { "s1", 0 } };
  });
  check(wait_reason::NotListed,
        [&](auto&, auto& aNeed) { aNeed.mListedEngines = &none; });
  check(wait_reason::SuspectsApart, [](auto& aEngines, auto& aNeed) {
    aNeed.mSuspicion = suspicion::Suspect;
    aNeed.mSuspectLimits = { 1, 1 };
    aEngines[0].mSuspects = 1;
  });
  check(wait_reason::ServerPaused,
        [](auto& aEngines, auto&) { aEngines[0].mBlockedUntil = kNow + 1ms; });
  check(wait_reason::ServerPaused,
        [](auto& aEngines, auto&) { aEngines[0].mRunsLeft = 0; });
  check(wait_reason::ServerPaused,
        [](auto& aEngines, auto&) { aEngines[0].mIsSilent = true; });
  check(wait_reason::NoRoom,
        [](auto& aEngines, auto&) { aEngines[0].mOwnRuns = 2; });
}

// Guards against a reason that misleads: of several servers, the one that comes
// nearest to taking the item tells it.
BOOST_AUTO_TEST_CASE(TheServerThatComesNearestTellsTheReason)
{
  std::vector<engine_view> engines{ Engine("s1"), Engine("s2"), Engine("s3") };
  engines[0].mPool = "other";
  engines[1].mOwnRuns = 2;
  engines[2].mVersions["model"] = 4;
  BOOST_TEST(ToString(WhyNotPlaced(engines, Need(), kNow)) == "no_room");
}

// Guards against a reward call that waits without a word: each state in which
// it is at no server has a reason of its own, but for what keeps the item back.
BOOST_AUTO_TEST_CASE(EachWaitOfARewardCallHasItsReason)
{
  using rewards::call_wait;
  std::set<std::string> names;
  for (const auto wait : { call_wait::RetryDelay,
                           call_wait::NoRoute,
                           call_wait::NoServer,
                           call_wait::NoOtherServer,
                           call_wait::NotListed,
                           call_wait::ServerSilent,
                           call_wait::NoRoom }) {
    const auto reason = ReasonOf(wait);
    BOOST_REQUIRE(reason);
    names.insert(ToString(*reason));
  }
  BOOST_TEST(names.size() == 7u);
  BOOST_TEST(names.count("") == 0u);
  BOOST_TEST(!ReasonOf(call_wait::NotAllowed));
}

// Guards against a log that is flooded by items that wait.
BOOST_AUTO_TEST_CASE(AnItemIsLoggedOnceForItsReasonUntilTheIntervalIsOver)
{
  item_wait wait{ kNow, std::nullopt, {} };
  BOOST_TEST(!IsWorthLogging(wait, wait_reason::Barred, kNow + 1s));
  const auto logged = kNow + kLoggedWait;
  BOOST_TEST(IsWorthLogging(wait, wait_reason::Barred, logged));
  wait.mLoggedReason = wait_reason::Barred;
  wait.mLoggedAt = logged;
  BOOST_TEST(!IsWorthLogging(wait, wait_reason::Barred, logged + 1s));
  BOOST_TEST(IsWorthLogging(wait, wait_reason::NoRoom, logged + 1s));
  BOOST_TEST(IsWorthLogging(wait, wait_reason::Barred, logged + kLogInterval));
}

BOOST_AUTO_TEST_CASE(WaitsAreCountedByReason)
{
  wait_counts counts;
  CountWait(counts, { kNow, std::nullopt, {} }, wait_reason::NoRoom, kNow + 3s);
  CountWait(
    counts, { kNow + 1s, std::nullopt, {} }, wait_reason::NoRoom, kNow + 3s);
  BOOST_TEST(counts.size() == 1u);
  BOOST_TEST(counts[wait_reason::NoRoom].mItems == 2u);
  BOOST_TEST((counts[wait_reason::NoRoom].mLongest == 3s));
}

BOOST_AUTO_TEST_SUITE_END()
