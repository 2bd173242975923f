#include "Duties/Weights/RollOut.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace lavender;
using namespace lavender::weights;
using namespace std::chrono_literals;

namespace {

const weight_version kOld{ "protokoll", 1 };
const weight_version kNew{ "protokoll", 2 };

int
Draw(int aFrom, int aTo)
{
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(aFrom, aTo));
}

std::vector<server_weights>
MakeServers(int aCount)
{
  std::vector<server_weights> servers;
  for (int i = 0; i < aCount; ++i) {
    servers.push_back(
      { "engine-" + std::to_string(i), "a1", kOld, true, false });
  }
  return servers;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestRollOut)

// Some servers' swaps fail for good while orders and reports get lost. The
// rest must come to the new version, with never more at once than allowed.
BOOST_AUTO_TEST_CASE(BringsEveryServerThatCanSwapToTheTarget)
{
  std::int64_t failing = 0;
  std::int64_t restarts = 0;
  BOOST_TEST(rc::check("all that can swap hold the target", [&] {
    const int count = Draw(1, 30);
    const int broken = Draw(0, 4);
    roll_out_state state;
    state.mLimits.mMaximumConcurrency = static_cast<std::size_t>(Draw(0, 6));
    auto servers = MakeServers(count);
    time_point now{ 1000s };
    const auto isBroken = [&](std::size_t aIndex) {
      return static_cast<int>(aIndex) < std::min(broken, count - 1);
    };
    failing += std::min(broken, count - 1);
    for (int round = 0; round < 60; ++round) {
      const auto orders = ChooseOrders(state, kNew, servers, now);
      if (state.mLimits.mMaximumConcurrency > 0) {
        RC_ASSERT(orders.size() <= state.mLimits.mMaximumConcurrency);
      }
      for (const auto& order : orders) {
        const bool isLost = Draw(0, 5) == 0;
        const auto index = static_cast<std::size_t>(
          std::stoi(order.mName.substr(std::string("engine-").size())));
        if (!isLost && !isBroken(index)) {
          servers[index].mHeld = kNew;
        }
      }
      if (Draw(0, 50) == 0) {
        auto& restarted = servers[static_cast<std::size_t>(Draw(0, count))];
        restarted.mAgentIncarnation += "x";
        restarted.mHeld = kOld;
        ++restarts;
      }
      now += 500ms;
    }
    for (int round = 0; round < 300; ++round) {
      for (const auto& order : ChooseOrders(state, kNew, servers, now)) {
        const auto index = static_cast<std::size_t>(
          std::stoi(order.mName.substr(std::string("engine-").size())));
        if (!isBroken(index)) {
          servers[index].mHeld = kNew;
        }
      }
      now += 500ms;
    }
    for (std::size_t i = 0; i < servers.size(); ++i) {
      RC_ASSERT(isBroken(i) || servers[i].mHeld == kNew);
    }
  }));
  BOOST_TEST(failing > 0);
  BOOST_TEST(restarts > 0);
}

// A leaving server, one that can't be reached and one whose agent hasn't
// spoken get no order.
BOOST_AUTO_TEST_CASE(LeavesOutServersThatCannotSwap)
{
  roll_out_state state;
  auto servers = MakeServers(4);
  servers[0].mIsLeaving = true;
  servers[1].mIsReachable = false;
  servers[2].mAgentIncarnation.clear();
  const time_point now{ 1000s };
  const auto orders = ChooseOrders(state, kNew, servers, now);
  BOOST_REQUIRE(orders.size() == 1u);
  BOOST_TEST(orders[0].mName == "engine-3");
  BOOST_TEST(ChooseOrders(state, kNew, servers, now + 1s).empty());
  BOOST_TEST(ChooseOrders(state, kNew, servers, now + 4s).size() == 1u);
  servers[3].mHeld = kNew;
  BOOST_TEST(CountHolding(kNew, servers) == 1u);
}

BOOST_AUTO_TEST_SUITE_END()
