#include "Duties/Membership/DirectoryState.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <set>

using namespace lavender;
using namespace lavender::membership;
using namespace std::chrono_literals;

namespace {

constexpr int kNames = 3;

/** What one process of an instance is, and whether it has begun to drain. */
struct model_agent
{
  int mIncarnation = 1;
  int mPort = 1000;
  bool mIsRunning = true;
  bool mIsDraining = false;
};

/** A report on its way: it may be overtaken by later ones. */
struct report_under_way
{
  std::string mName;
  wire::agent_report mReport;
  std::shared_ptr<agent_pool> mConnections;
  time_point mAskedAt;
};

struct world
{
  time_point mNow{ 1000s };
  directory_state mState;
  std::array<model_agent, kNames> mAgents;
  std::vector<report_under_way> mUnderWay;
  /** Answers to requests, by server; they may come much later. */
  std::vector<std::pair<std::string, wire::dispatch_reply>> mReplies;
  /** Ports that were given to another instance. */
  std::set<int> mReusedPorts;
  /** Incarnations that told this entry of their draining. */
  std::set<std::string> mSaidDraining;
  std::array<bool, kNames> mIsListed{};
  std::array<std::optional<time_point>, kNames> mGoneSince;
};

std::string
NameOf(int aIndex)
{
  return "engine-" + std::to_string(aIndex);
}

std::string
IncarnationOf(int aIndex, const model_agent& aAgent)
{
  return NameOf(aIndex) + "/" + std::to_string(aAgent.mIncarnation);
}

void
PublishList(world& aWorld)
{
  std::vector<platform::instance> list;
  for (int i = 0; i < kNames; ++i) {
    const auto index = static_cast<std::size_t>(i);
    if (aWorld.mIsListed[index]) {
      const auto port = static_cast<std::uint16_t>(aWorld.mAgents[index].mPort);
      list.push_back({ NameOf(i),
                       "hall-lund",
                       "pool",
                       "backend",
                       { "127.0.0.1", port },
                       false });
      aWorld.mGoneSince[index].reset();
    } else if (!aWorld.mGoneSince[index]) {
      aWorld.mGoneSince[index] = aWorld.mNow;
    }
  }
  ApplyList(
    aWorld.mState,
    list,
    {},
    [](const http::endpoint& aEndpoint) {
      return std::make_shared<agent_pool>(aEndpoint, 1000ms);
    },
    aWorld.mNow);
}

void
Ask(world& aWorld, int aIndex)
{
  const auto found = aWorld.mState.mServers.find(NameOf(aIndex));
  if (found == aWorld.mState.mServers.end()) {
    return;
  }
  const auto& agent = aWorld.mAgents[static_cast<std::size_t>(aIndex)];
  const int port = found->second.mConnections->Endpoint().mPort;
  report_under_way report;
  report.mName = NameOf(aIndex);
  report.mConnections = found->second.mConnections;
  report.mAskedAt = aWorld.mNow;
  if (aWorld.mReusedPorts.count(port) > 0) {
    report.mReport.server_name = "somebody-else";
    report.mReport.agent_incarnation = "elsewhere";
  } else if (agent.mIsRunning && agent.mPort == port) {
    report.mReport.server_name = NameOf(aIndex);
    report.mReport.agent_incarnation = IncarnationOf(aIndex, agent);
    report.mReport.draining = agent.mIsDraining;
  } else {
    TakeSilence(aWorld.mState, NameOf(aIndex), aWorld.mNow);
    return;
  }
  report.mReport.server_reachable = true;
  aWorld.mUnderWay.push_back(std::move(report));
}

void
Deliver(world& aWorld, std::size_t aWhich)
{
  if (aWorld.mUnderWay.empty()) {
    return;
  }
  const auto which = aWhich % aWorld.mUnderWay.size();
  const auto report = aWorld.mUnderWay[which];
  aWorld.mUnderWay.erase(aWorld.mUnderWay.begin() +
                         static_cast<std::ptrdiff_t>(which));
  const auto taken = ApplyReport(aWorld.mState,
                                 report.mName,
                                 report.mReport,
                                 report.mConnections,
                                 report.mAskedAt,
                                 aWorld.mNow);
  if (taken == report_outcome::Taken && report.mReport.draining) {
    aWorld.mSaidDraining.insert(report.mReport.agent_incarnation);
  }
}

void
AnswerRequest(world& aWorld, int aIndex)
{
  const auto& agent = aWorld.mAgents[static_cast<std::size_t>(aIndex)];
  wire::dispatch_reply reply;
  reply.agent_incarnation = IncarnationOf(aIndex, agent);
  reply.draining = agent.mIsDraining;
  if (agent.mIsRunning) {
    aWorld.mReplies.emplace_back(NameOf(aIndex), reply);
  }
}

void
DeliverReply(world& aWorld, std::size_t aWhich)
{
  if (aWorld.mReplies.empty()) {
    return;
  }
  const auto which = aWhich % aWorld.mReplies.size();
  const auto [name, reply] = aWorld.mReplies[which];
  aWorld.mReplies.erase(aWorld.mReplies.begin() +
                        static_cast<std::ptrdiff_t>(which));
  const auto found = aWorld.mState.mServers.find(name);
  const bool isCurrent = found != aWorld.mState.mServers.end() &&
                         found->second.mIncarnation == reply.agent_incarnation;
  ApplyReply(aWorld.mState, name, reply);
  if (isCurrent && reply.draining) {
    aWorld.mSaidDraining.insert(reply.agent_incarnation);
  }
}

void
Restart(world& aWorld, int aIndex, bool aIsElsewhere)
{
  auto& agent = aWorld.mAgents[static_cast<std::size_t>(aIndex)];
  ++agent.mIncarnation;
  agent.mIsRunning = true;
  agent.mIsDraining = false;
  if (aIsElsewhere) {
    aWorld.mReusedPorts.insert(agent.mPort);
    agent.mPort = 1000 + aIndex * 1000 + agent.mIncarnation;
  }
}

void
Check(const world& aWorld)
{
  for (int i = 0; i < kNames; ++i) {
    const auto index = static_cast<std::size_t>(i);
    const auto found = aWorld.mState.mServers.find(NameOf(i));
    const bool isKnown = found != aWorld.mState.mServers.end();
    if (aWorld.mGoneSince[index]) {
      // Told by the next list, which comes each second.
      RC_ASSERT(!isKnown || aWorld.mNow - *aWorld.mGoneSince[index] <= 62s);
    }
    if (!isKnown) {
      continue;
    }
    const auto& view = found->second;
    if (StateOf(view, {}, aWorld.mNow) == server_state::Live) {
      RC_ASSERT(aWorld.mSaidDraining.count(view.mIncarnation) == 0u);
      RC_ASSERT(view.mIncarnation != "elsewhere");
      RC_ASSERT(view.mLastResponseAt &&
                aWorld.mNow - *view.mLastResponseAt <= 10s);
    }
  }
}

void
Act(world& aWorld, unsigned aNumber)
{
  const int index = static_cast<int>(aNumber / 16) % kNames;
  const auto slot = static_cast<std::size_t>(index);
  switch (aNumber % 16) {
    case 0:
      aWorld.mAgents[slot].mIsDraining = true;
      break;
    case 1:
      aWorld.mAgents[slot].mIsRunning = false;
      break;
    case 2:
      Restart(aWorld, index, aNumber / 64 % 2 == 0);
      break;
    case 3:
      aWorld.mIsListed[slot] = !aWorld.mIsListed[slot];
      break;
    case 4:
      for (int i = 0; i < 70; ++i) {
        aWorld.mNow += 1s;
        PublishList(aWorld);
        Ask(aWorld, i % kNames);
        Deliver(aWorld, 0);
      }
      break;
    case 5:
      aWorld.mNow += 3s;
      break;
    case 6:
    case 7:
    case 8:
      PublishList(aWorld);
      break;
    case 9:
    case 10:
    case 11:
      Deliver(aWorld, aNumber / 64);
      break;
    case 12:
      AnswerRequest(aWorld, index);
      break;
    case 13:
      DeliverReply(aWorld, aNumber / 64);
      break;
    default:
      Ask(aWorld, index);
  }
  aWorld.mNow += 100ms;
}

/** Once the list is right and reports come through, whoever serves is used. */
void
CheckRecovery(world& aWorld)
{
  aWorld.mUnderWay.clear();
  PublishList(aWorld);
  for (int i = 0; i < kNames; ++i) {
    aWorld.mNow += 100ms;
    Ask(aWorld, i);
    Deliver(aWorld, 0);
    const auto index = static_cast<std::size_t>(i);
    const auto& agent = aWorld.mAgents[index];
    if (aWorld.mIsListed[index] && agent.mIsRunning && !agent.mIsDraining) {
      const auto& view = aWorld.mState.mServers.at(NameOf(i));
      RC_ASSERT(StateOf(view, {}, aWorld.mNow) == server_state::Live);
    }
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestDirectoryState)

// Story: servers leave, die, come back elsewhere, and their old addresses go
// to others, while the list lags and answers overtake each other. A request
// goes to a server that had said it leaves, or to a stranger at its address.
BOOST_AUTO_TEST_CASE(NoWorkForLeavingOrStrangeServers)
{
  int live = 0;
  int drained = 0;
  BOOST_TEST(rc::check(
    "draining sticks, strangers never count, the gone are forgotten",
    [&](const std::vector<unsigned short>& aNumbers) {
      world world;
      world.mIsListed = { true, true, false };
      for (int i = 0; i < kNames; ++i) {
        world.mAgents[static_cast<std::size_t>(i)].mPort = 1000 + i * 1000;
      }
      PublishList(world);
      for (const auto number : aNumbers) {
        Act(world, number);
        Check(world);
      }
      CheckRecovery(world);
      for (const auto& [name, view] : world.mState.mServers) {
        live += StateOf(view, {}, world.mNow) == server_state::Live ? 1 : 0;
      }
      drained += static_cast<int>(world.mSaidDraining.size());
    }));
  BOOST_TEST(live > 1000);
  BOOST_TEST(drained > 1000);
}

// Story: a whole zone goes silent. Polling it takes up this entry's threads,
// and live servers that it had no time to poll are given up for dead as well.
BOOST_AUTO_TEST_CASE(SilenceNeedsEvidence)
{
  const time_point heard{ 1000s };
  const heartbeat_limits limits;
  const auto judge = [&](std::optional<time_point> aFailed,
                         milliseconds aLater) {
    return JudgeHeartbeat({ heard, aFailed }, limits, heard + aLater);
  };
  BOOST_TEST((judge(std::nullopt, 9s) == liveness::Live));
  BOOST_TEST((judge(std::nullopt, 11s) == liveness::Silent));
  BOOST_TEST((judge(heard + 500ms, 2s) == liveness::Live));
  BOOST_TEST((judge(heard + 500ms, 3s) == liveness::Silent));
  BOOST_TEST((judge(heard - 500ms, 3s) == liveness::Live));
  BOOST_TEST((JudgeHeartbeat({}, limits, heard) == liveness::Unknown));
}

BOOST_AUTO_TEST_SUITE_END()
