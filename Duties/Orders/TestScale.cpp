#include "Duties/Orders/Scale.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace lavender;
using namespace lavender::orders;
using namespace std::chrono_literals;

namespace {

constexpr auto kStep = 1000ms;

std::vector<server_load>
Servers(int aCount, int aWorkEach, int aSlots = 16)
{
  std::vector<server_load> servers;
  for (int i = 0; i < aCount; ++i) {
    servers.push_back({ "server-" + std::to_string(i),
                        0,
                        aWorkEach,
                        aSlots,
                        0ms,
                        false,
                        true });
  }
  return servers;
}

scale_policy
Policy()
{
  scale_policy policy;
  policy.mMinimum = 1;
  policy.mMaximum = 6;
  return policy;
}

/** A zone that does as ordered: a start counts after the start time, a stopped
 * server is gone at once. */
struct zone
{
  scale_state mState;
  scale_policy mPolicy = Policy();
  int mServers = 3;
  std::vector<time_point> mStarting;
  time_point mNow{ 1000s };
  int mStarts = 0;
  int mStops = 0;

  scale_decision Step(double aWork)
  {
    mNow += kStep;
    while (!mStarting.empty() &&
           mNow - mStarting.front() >= mPolicy.mStartupDuration) {
      mStarting.erase(mStarting.begin());
      ++mServers;
    }
    const auto decision = DecideScale(
      mState,
      mPolicy,
      Servers(mServers, mServers > 0 ? static_cast<int>(aWork / mServers) : 0),
      mNow);
    if (decision.mAction == scale_action::Start) {
      mStarting.push_back(mNow);
      ++mStarts;
    } else if (decision.mAction == scale_action::Stop) {
      --mServers;
      ++mStops;
    }
    return decision;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(TestScale)

BOOST_AUTO_TEST_CASE(PoolWithoutBoundsIsLeftAlone)
{
  scale_state state;
  scale_policy policy;
  BOOST_TEST((DecideScale(state, policy, {}, time_point(9s)).mAction ==
              scale_action::None));
}

// Every agent is cut off. The load looks like none, but stopping servers now
// would take them from callers whom other entries still serve.
BOOST_AUTO_TEST_CASE(SilenceIsNotIdleness)
{
  scale_state state;
  auto servers = Servers(4, 0);
  for (auto& server : servers) {
    server.mIsHeard = false;
  }
  for (int second = 0; second < 600; ++second) {
    const auto decision = DecideScale(
      state, Policy(), servers, time_point(std::chrono::seconds(second)));
    BOOST_REQUIRE((decision.mAction == scale_action::None));
  }
}

BOOST_AUTO_TEST_CASE(LongQueueStartsAServerAfterAWhile)
{
  scale_state state;
  auto servers = Servers(2, 1);
  servers[0].mQueueDelay = 900ms;
  const auto start = time_point(1000s);
  BOOST_TEST((DecideScale(state, Policy(), servers, start).mAction ==
              scale_action::None));
  BOOST_TEST((DecideScale(state, Policy(), servers, start + 6s).mAction ==
              scale_action::Start));
}

// Any load, step by step: the bounds hold, a busy zone loses no server, and two
// changes are at least a start time apart.
BOOST_AUTO_TEST_CASE(BoundsAndPausesHoldUnderAnyLoad)
{
  BOOST_TEST(rc::check("bounds hold", [] {
    zone zone;
    std::optional<time_point> changedAt;
    const auto loads =
      *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 120));
    for (const auto load : loads) {
      for (int second = 0; second < 20; ++second) {
        const int before = zone.mServers;
        const auto decision = zone.Step(load);
        if (decision.mAction == scale_action::None) {
          continue;
        }
        RC_ASSERT(!changedAt ||
                  zone.mNow - *changedAt >= zone.mPolicy.mStartupDuration);
        changedAt = zone.mNow;
        RC_ASSERT(decision.mAction != scale_action::Stop ||
                  load <= zone.mPolicy.mHighUse * before * 16);
      }
      const auto all = zone.mServers + static_cast<int>(zone.mStarting.size());
      RC_ASSERT(all >= zone.mPolicy.mMinimum);
      RC_ASSERT(all <= zone.mPolicy.mMaximum);
    }
  }));
}

// A steady load settles: without the gap between the two limits a stop would
// cause the next start, and servers would come and go for ever.
BOOST_AUTO_TEST_CASE(SteadyLoadSettles)
{
  BOOST_TEST(rc::check("no flapping", [] {
    zone zone;
    const int load = *rc::gen::inRange(0, 90);
    for (int second = 0; second < 1800; ++second) {
      zone.Step(load);
    }
    const int settled = zone.mStarts + zone.mStops;
    for (int second = 0; second < 1800; ++second) {
      zone.Step(load);
    }
    RC_ASSERT(zone.mStarts + zone.mStops == settled);
    RC_ASSERT(zone.mStarts == 0 || zone.mStops == 0);
  }));
}

BOOST_AUTO_TEST_SUITE_END()
