#include "Duties/Batches/RunMoves.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace lavender;
using namespace lavender::batches;
using namespace std::chrono_literals;

namespace {

constexpr time_point kNow{ 1h };
constexpr scheduling::event_time kMedian{ 60 };

engine_view
Engine(const std::string& aId, double aRelativeTime, int aOwnRuns)
{
  engine_view engine;
  engine.mId = aId;
  engine.mPool = "pool";
  engine.mSlots = 8;
  engine.mRelativeTime = aRelativeTime;
  engine.mOwnRuns = aOwnRuns;
  return engine;
}

movable_run
Run(std::size_t aServer, double aEventsLeft, int aMoves = 0)
{
  movable_run run;
  run.mServer = aServer;
  run.mLeft = { aEventsLeft, aEventsLeft };
  run.mMoves = aMoves;
  run.mNeed.mPools = { "pool" };
  return run;
}

std::vector<run_move>
Choose(std::vector<engine_view>& aEngines,
       const std::vector<movable_run>& aRuns,
       double aMinimumEvents = 0)
{
  return ChooseMoves(aEngines, aRuns, kMedian, aMinimumEvents, kNow);
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestRunMoves)

/** A long run that was sent to a slow server while the fast ones were full ends
 * its step late. */
BOOST_AUTO_TEST_CASE(TheLongestRunsMoveToTheFastServerWithRoom)
{
  std::vector engines{ Engine("slow", 1, 3), Engine("fast", 0.5, 6) };
  const auto moves = Choose(engines, { Run(0, 20), Run(0, 90), Run(0, 60) });
  BOOST_REQUIRE(moves.size() == 2u);
  BOOST_TEST(moves[0].mRun == 1u);
  BOOST_TEST(moves[1].mRun == 2u);
  BOOST_TEST(moves[0].mServer == 1u);
  BOOST_TEST(engines[0].mOwnRuns == 1);
  BOOST_TEST(engines[1].mOwnRuns == 8);
}

/** Moves that save less than they cost make a server read all tokens again. */
BOOST_AUTO_TEST_CASE(RunsThatGainLittleStay)
{
  std::vector engines{ Engine("a", 1, 1), Engine("b", 0.9, 0) };
  BOOST_TEST(Choose(engines, { Run(0, 100) }).empty());
  engines[1].mRelativeTime = 0.5;
  BOOST_TEST(Choose(engines, { Run(0, 5) }).empty());
  BOOST_TEST(Choose(engines, { Run(0, 100, 3) }).empty());
  BOOST_TEST(Choose(engines, { Run(0, 100) }).size() == 1u);
}

/** Runs move to and fro between servers that are alike, because the one with
 * fewer runs is a little faster. */
BOOST_AUTO_TEST_CASE(LoadAloneMovesNoRun)
{
  std::vector engines{ Engine("a", 1, 8), Engine("b", 1, 0) };
  BOOST_TEST(Choose(engines, { Run(0, 100) }).empty());
}

/** A run leaves a slow server for one that failed it or that has just started.
 */
BOOST_AUTO_TEST_CASE(ARunMovesToNoBadServer)
{
  std::vector engines{ Engine("slow", 1, 8), Engine("fast", 0.5, 0) };
  auto run = Run(0, 100);
  run.mNeed.mAvoidedServer = "fast";
  BOOST_TEST(Choose(engines, { run }).empty());
  engines[1].mIsWarming = true;
  BOOST_TEST(Choose(engines, { Run(0, 100) }).empty());
}

/** Runs take the fast places that longer items wait for. */
BOOST_AUTO_TEST_CASE(LongerItemsThatWaitGoFirst)
{
  std::vector engines{ Engine("slow", 1, 1), Engine("fast", 0.5, 7) };
  BOOST_TEST(Choose(engines, { Run(0, 60) }, 80).empty());
  BOOST_TEST(Choose(engines, { Run(0, 60) }, 40).size() == 1u);
}

/** Long runs that meet on one fast server outgrow its memory and preempt one
 * another. */
BOOST_AUTO_TEST_CASE(ARunStaysIfTheFastServersMemoryIsTaken)
{
  auto fast = Engine("fast", 0.5, 1);
  fast.mMemoryTokens = 10000;
  fast.mRunMemory = { { 4000, 7000, 40 } };
  std::vector engines{ Engine("slow", 1, 1), fast };
  auto run = Run(0, 60);
  run.mNeed.mMemory = { 3000, 7500, 60 };
  BOOST_TEST(Choose(engines, { run }).empty());
  engines[0].mOwnRuns = engines[0].mSlots;
  BOOST_TEST(Choose(engines, { run }).empty());
  engines[0].mOwnRuns = 1;
  run.mNeed.mMemory = { 1000, 2500, 60 };
  BOOST_TEST(Choose(engines, { run }).size() == 1u);
}

/** A step whose runs are all on slow servers moves them at once and reads all
 * its tokens again. */
BOOST_AUTO_TEST_CASE(MovesAtOnceAreBounded)
{
  std::vector engines{ Engine("slow", 1, 8),
                       Engine("slower", 2, 8),
                       Engine("fast", 0.5, 0),
                       Engine("faster", 0.4, 0) };
  std::vector<movable_run> runs(8, Run(0, 100));
  runs.insert(runs.end(), 8, Run(1, 100));
  BOOST_TEST(Choose(engines, runs).size() == 8u);
}

/** A run that is moved to and fro never ends: whatever the views are, the moves
 * of one decision leave none for the next. */
BOOST_AUTO_TEST_CASE(MovesSettle)
{
  BOOST_TEST(rc::check("moves settle", [] {
    std::vector<engine_view> engines;
    const int servers = *rc::gen::inRange(2, 6);
    for (int i = 0; i < servers; ++i) {
      engines.push_back(
        Engine("s" + std::to_string(i), *rc::gen::inRange(3, 30) / 10.0, 0));
    }
    std::vector<movable_run> runs;
    const int count = *rc::gen::inRange(0, 24);
    for (int i = 0; i < count; ++i) {
      const auto server = *rc::gen::inRange<std::size_t>(0, engines.size());
      if (engines[server].mOwnRuns == engines[server].mSlots) {
        continue;
      }
      runs.push_back(Run(server, *rc::gen::inRange(1, 150)));
      ++engines[server].mOwnRuns;
    }
    // Each run moves three times at most, and some runs wait for their turn.
    const std::size_t rounds = 3 * runs.size() + 1;
    for (std::size_t round = 0; round < rounds; ++round) {
      for (const auto& move : Choose(engines, runs)) {
        RC_ASSERT(engines[move.mServer].mRelativeTime <
                  engines[runs[move.mRun].mServer].mRelativeTime);
        runs[move.mRun].mServer = move.mServer;
        ++runs[move.mRun].mMoves;
      }
    }
    RC_ASSERT(Choose(engines, runs).empty());
  }));
}

BOOST_AUTO_TEST_SUITE_END()
