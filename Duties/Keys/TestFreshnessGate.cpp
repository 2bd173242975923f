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
  state.mHasJoined = true;
  return state;
}

remote_freshness
AllAudible(std::int64_t aChanged, std::optional<time_point> aProof)
{
  return { 4u, 4u, 4u, aChanged, aProof };
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestFreshnessGate)

// Story: the store goes down for all. Callers with good keys get 503 for some
// seconds, because the entry whose last proof is older takes the other one's
// last proof, not yet old, for a sign that the store still answers others.
BOOST_AUTO_TEST_CASE(EntriesThatLoseTheStoreTogetherGoOn)
{
  BOOST_TEST(rc::check("no refusal at any time of the outage", [] {
    const auto skew = milliseconds(*rc::gen::inRange(0, 2500));
    const auto own = kStart;
    const auto others = kStart + skew;
    auto state = Joined();
    for (auto now = others; now < others + 20s; now += 100ms) {
      const auto judged =
        Judge(state, { 7, own }, AllAudible(7, others), {}, now);
      RC_ASSERT(IsFreshEnough(judged));
    }
  }));
}

// Story: an outage ends, and for a moment half of the callers with good keys
// get 503. The store answered one entry first; the other one heard of it
// through an agent before its own watch was back.
BOOST_AUTO_TEST_CASE(TheEndOfAnOutageIsNoReasonToRefuse)
{
  auto state = Joined();
  const freshness_limits limits;
  const auto own = kStart;
  const auto back = kStart + 60s;
  const auto judge = [&](time_point aNow) {
    const auto others = aNow < back ? own : aNow;
    return Judge(state, { 7, own }, AllAudible(7, others), limits, aNow);
  };
  BOOST_TEST((judge(back - 1ms) == freshness::PlatformDown));
  BOOST_TEST(IsFreshEnough(judge(back)));
  BOOST_TEST(IsFreshEnough(judge(back + limits.mCatchUp - 1ms)));
  BOOST_TEST((judge(back + limits.mCatchUp) == freshness::CutOff));
}

// Story: the platform is so slow that it answers now and then. An entry that
// is cut off must not accept keys in the gaps between the others' proofs.
BOOST_AUTO_TEST_CASE(ProofsFarApartStillShowACut)
{
  auto state = Joined();
  for (auto now = kStart + 9s; now < kStart + 60s; now += 100ms) {
    const auto gap = (now - kStart) % 4500ms;
    const auto judged =
      Judge(state, { 7, kStart }, AllAudible(7, now - gap), {}, now);
    if (now >= kStart + 11s) {
      BOOST_TEST((judged == freshness::CutOff));
    }
  }
}

// Story: an entry hears from agents that a later change exists. Its own watch
// brings the change a moment later; refusing at once would turn each change
// of the configuration into a burst of refusals.
BOOST_AUTO_TEST_CASE(AChangeOnItsWayIsNoReasonToRefuse)
{
  auto state = Joined();
  const freshness_limits limits;
  const auto judge = [&](std::int64_t aKnown, milliseconds aLater) {
    const auto now = kStart + aLater;
    return Judge(state, { aKnown, now }, AllAudible(8, now), limits, now);
  };
  BOOST_TEST(IsFreshEnough(judge(7, 0ms)));
  BOOST_TEST(IsFreshEnough(judge(7, limits.mCatchUp - 1ms)));
  BOOST_TEST((judge(7, limits.mCatchUp) == freshness::Behind));
  BOOST_TEST(IsFreshEnough(judge(8, limits.mCatchUp + 1ms)));
  // The time counts anew when it falls behind again.
  BOOST_TEST(IsFreshEnough(judge(7, limits.mCatchUp + 2ms)));
}

// Story: an entry starts from its disk while the platform is down. Before it
// has asked everybody it can't know whether a key was withdrawn meanwhile.
BOOST_AUTO_TEST_CASE(JoinsOnlyAfterEverybodyWasAsked)
{
  freshness_state state;
  remote_freshness summary;
  const local_freshness fromDisk{ 7, std::nullopt };
  BOOST_TEST(
    (Judge(state, fromDisk, summary, {}, kStart) == freshness::Joining));
  summary = { 4u, 3u, 3u, 7, std::nullopt };
  BOOST_TEST(
    (Judge(state, fromDisk, summary, {}, kStart) == freshness::Joining));
  summary = { 4u, 4u, 1u, 7, std::nullopt };
  BOOST_TEST(
    (Judge(state, fromDisk, summary, {}, kStart) == freshness::Joining));
  summary = { 4u, 4u, 2u, 8, std::nullopt };
  BOOST_TEST(
    (Judge(state, fromDisk, summary, {}, kStart) == freshness::Joining));
  summary = { 4u, 4u, 2u, 7, std::nullopt };
  BOOST_TEST(
    (Judge(state, fromDisk, summary, {}, kStart) == freshness::PlatformDown));
}

BOOST_AUTO_TEST_SUITE_END()
