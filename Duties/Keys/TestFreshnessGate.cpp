#include "Duties/Keys/FreshnessGate.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace lavender;
using namespace lavender::keys;
using namespace std::chrono_literals;

namespace {

const time_point kStart{ 1000s };

freshness_state
Joined()
{
  freshness_state state;
  state.mJoinedAt = kStart - 60s;
  return state;
}

/** Returns the times of aCount processes that at kStart have been reachable for
 * aTime. */
std::vector<time_point>
ReachableFor(std::size_t aCount, milliseconds aTime)
{
  return std::vector<time_point>(aCount, kStart - aTime);
}

remote_freshness
AllReachable(std::int64_t aChanged, std::optional<time_point> aProof)
{
  return { 4u, 4u, ReachableFor(4, 60s), aChanged, aProof };
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestFreshnessGate)

// Guards against 503 responses to valid keys at the start of a store outage.
// The entry whose last verification is older must not conclude from the other
// entry's slightly later one that the store still answers other entries.
BOOST_AUTO_TEST_CASE(EntriesAcceptKeysWhileTheStoreIsDown)
{
  BOOST_TEST(rc::check("keys are accepted throughout the outage", [] {
    const auto skew = milliseconds(*rc::gen::inRange(0, 2500));
    const auto own = kStart;
    const auto others = kStart + skew;
    auto state = Joined();
    for (auto now = others; now < others + 20s; now += 100ms) {
      const auto evaluated =
        EvaluateFreshness(state, { 7, own }, AllReachable(7, others), {}, now);
      RC_ASSERT(IsFreshEnough(evaluated));
    }
  }));
}

// Guards against 503 responses to valid keys at the end of a store outage. The
// store answers one entry first; another entry learns of this through an agent
// before its own watch has resumed.
BOOST_AUTO_TEST_CASE(EntriesAcceptKeysWhenAnOutageEnds)
{
  auto state = Joined();
  const freshness_limits limits;
  const auto own = kStart;
  const auto back = kStart + 60s;
  const auto evaluate = [&](time_point aNow) {
    const auto others = aNow < back ? own : aNow;
    return EvaluateFreshness(
      state, { 7, own }, AllReachable(7, others), limits, aNow);
  };
  BOOST_TEST((evaluate(back - 1ms) == freshness::PlatformDown));
  BOOST_TEST(IsFreshEnough(evaluate(back)));
  BOOST_TEST(IsFreshEnough(evaluate(back + limits.mCatchUpTime - 1ms)));
  BOOST_TEST((evaluate(back + limits.mCatchUpTime) == freshness::CutOff));
}

// The platform is so slow that it answers only occasionally. An entry that is
// cut off must not accept keys between two verifications of other entries.
BOOST_AUTO_TEST_CASE(CutOffEntryRefusesKeysOnASlowPlatform)
{
  auto state = Joined();
  for (auto now = kStart + 9s; now < kStart + 60s; now += 100ms) {
    const auto gap = (now - kStart) % 4500ms;
    const auto evaluated = EvaluateFreshness(
      state, { 7, kStart }, AllReachable(7, now - gap), {}, now);
    if (now >= kStart + 11s) {
      BOOST_TEST((evaluated == freshness::CutOff));
    }
  }
}

// An entry learns from agents that a later change exists, and its own watch
// delivers the change shortly after. Refusing keys immediately would cause a
// burst of refusals at each configuration change.
BOOST_AUTO_TEST_CASE(EntryAcceptsKeysWhileAChangeIsFetched)
{
  auto state = Joined();
  const freshness_limits limits;
  const auto evaluate = [&](std::int64_t aKnown, milliseconds aLater) {
    const auto now = kStart + aLater;
    return EvaluateFreshness(
      state, { aKnown, now }, AllReachable(8, now), limits, now);
  };
  BOOST_TEST(IsFreshEnough(evaluate(7, 0ms)));
  BOOST_TEST(IsFreshEnough(evaluate(7, limits.mCatchUpTime - 1ms)));
  BOOST_TEST((evaluate(7, limits.mCatchUpTime) == freshness::Behind));
  BOOST_TEST(IsFreshEnough(evaluate(8, limits.mCatchUpTime + 1ms)));
  // The catch-up time starts again when the entry falls behind again.
  BOOST_TEST(IsFreshEnough(evaluate(7, limits.mCatchUpTime + 2ms)));
}

// An entry starts from its disk while the platform is down. It can't know
// whether a key was withdrawn in the meantime until it has polled every known
// process.
BOOST_AUTO_TEST_CASE(JoinsOnlyAfterAllProcessesWerePolled)
{
  freshness_state state;
  remote_freshness summary;
  const local_freshness fromDisk{ 7, std::nullopt };
  BOOST_TEST((EvaluateFreshness(state, fromDisk, summary, {}, kStart) ==
              freshness::Joining));
  summary = { 4u, 3u, ReachableFor(3, 60s), 7, std::nullopt };
  BOOST_TEST((EvaluateFreshness(state, fromDisk, summary, {}, kStart) ==
              freshness::Joining));
  summary = { 4u, 4u, ReachableFor(1, 60s), 7, std::nullopt };
  BOOST_TEST((EvaluateFreshness(state, fromDisk, summary, {}, kStart) ==
              freshness::Joining));
  summary = { 4u, 4u, ReachableFor(2, 60s), 8, std::nullopt };
  BOOST_TEST((EvaluateFreshness(state, fromDisk, summary, {}, kStart) ==
              freshness::Joining));
  summary = { 4u, 4u, ReachableFor(2, 60s), 7, std::nullopt };
  BOOST_TEST((EvaluateFreshness(state, fromDisk, summary, {}, kStart) ==
              freshness::PlatformDown));
}

// Guards against stale keys after a pause of the process. The first process to
// answer afterwards is half of the others, and tells of a change that this
// entry's watch hasn't delivered yet.
BOOST_AUTO_TEST_CASE(AcceptsNoKeyAtTheFirstAnswerAfterAPause)
{
  auto state = Joined();
  const freshness_limits limits;
  const local_freshness own{ 7, kStart };
  const auto evaluate = [&](remote_freshness aRemote, time_point aNow) {
    return EvaluateFreshness(state, own, aRemote, limits, aNow);
  };
  BOOST_TEST(IsFreshEnough(
    evaluate({ 2u, 2u, ReachableFor(2, 60s), 7, kStart }, kStart)));
  const auto resumed = kStart + 8s;
  const auto caughtUp = resumed + limits.mCatchUpTime;
  for (auto now = resumed; now < caughtUp; now += 100ms) {
    BOOST_TEST(!IsFreshEnough(evaluate({ 2u, 2u, { resumed }, 8, now }, now)));
  }
  BOOST_TEST(
    !IsFreshEnough(evaluate({ 2u, 2u, { resumed }, 8, caughtUp }, caughtUp)));
}

// Guards against 503 responses for longer than the catch-up time when an entry
// resumes from a pause during an outage of the store.
BOOST_AUTO_TEST_CASE(EntryAcceptsKeysAgainAfterAPauseInAnOutage)
{
  auto state = Joined();
  const freshness_limits limits;
  const auto resumed = kStart + 60s;
  const auto evaluate = [&](time_point aNow) {
    const remote_freshness remote{ 2u, 2u, { resumed }, 7, kStart };
    return EvaluateFreshness(state, { 7, kStart }, remote, limits, aNow);
  };
  BOOST_TEST((evaluate(resumed) == freshness::Isolated));
  BOOST_TEST(
    (evaluate(resumed + limits.mCatchUpTime) == freshness::PlatformDown));
}

BOOST_AUTO_TEST_SUITE_END()
