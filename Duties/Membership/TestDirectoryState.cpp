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

/** The agent process that currently runs on an instance. */
struct model_agent
{
  int mIncarnation = 1;
  int mPort = 1000;
  bool mIsRunning = true;
  bool mIsDraining = false;
};

/** A report in transit; reports may be delivered out of order. */
struct report_in_transit
{
  std::string mName;
  wire::agent_report mReport;
  std::shared_ptr<agent_pool> mConnections;
  time_point mRequestedAt;
};

struct simulation
{
  time_point mNow{ 1000s };
  directory_state mState;
  std::array<model_agent, kNames> mAgents;
  std::vector<report_in_transit> mReportsInTransit;
  /** Responses to requests in transit, by server; they may be delivered much
   * later. */
  std::vector<std::pair<std::string, wire::dispatch_reply>> mRepliesInTransit;
  /** Ports that were reassigned to an unrelated instance. */
  std::set<int> mReusedPorts;
  /** Incarnations that have reported to this entry that they drain. */
  std::set<std::string> mReportedDraining;
  std::array<bool, kNames> mIsListed{};
  std::array<std::optional<time_point>, kNames> mUnlistedSince;
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
PublishList(simulation& aSimulation)
{
  std::vector<platform::instance> list;
  for (int i = 0; i < kNames; ++i) {
    const auto index = static_cast<std::size_t>(i);
    if (aSimulation.mIsListed[index]) {
      const auto port =
        static_cast<std::uint16_t>(aSimulation.mAgents[index].mPort);
      list.push_back({ NameOf(i),
                       "hall-lund",
                       "pool",
                       "backend",
                       { "127.0.0.1", port },
                       false });
      aSimulation.mUnlistedSince[index].reset();
    } else if (!aSimulation.mUnlistedSince[index]) {
      aSimulation.mUnlistedSince[index] = aSimulation.mNow;
    }
  }
  ApplyList(
    aSimulation.mState,
    list,
    {},
    [](const http::endpoint& aEndpoint) {
      return std::make_shared<agent_pool>(aEndpoint, 1000ms);
    },
    aSimulation.mNow);
}

void
PollAgent(simulation& aSimulation, int aIndex)
{
  const auto found = aSimulation.mState.mServers.find(NameOf(aIndex));
  if (found == aSimulation.mState.mServers.end()) {
    return;
  }
  const auto& agent = aSimulation.mAgents[static_cast<std::size_t>(aIndex)];
  const int port = found->second.mConnections->Endpoint().mPort;
  report_in_transit report;
  report.mName = NameOf(aIndex);
  report.mConnections = found->second.mConnections;
  report.mRequestedAt = aSimulation.mNow;
  if (aSimulation.mReusedPorts.count(port) > 0) {
    report.mReport.server_name = "somebody-else";
    report.mReport.agent_incarnation = "elsewhere";
  } else if (agent.mIsRunning && agent.mPort == port) {
    report.mReport.server_name = NameOf(aIndex);
    report.mReport.agent_incarnation = IncarnationOf(aIndex, agent);
    report.mReport.draining = agent.mIsDraining;
  } else {
    ApplyPollFailure(aSimulation.mState, NameOf(aIndex), aSimulation.mNow);
    return;
  }
  report.mReport.server_reachable = true;
  aSimulation.mReportsInTransit.push_back(std::move(report));
}

void
Deliver(simulation& aSimulation, std::size_t aWhich)
{
  if (aSimulation.mReportsInTransit.empty()) {
    return;
  }
  const auto which = aWhich % aSimulation.mReportsInTransit.size();
  const auto report = aSimulation.mReportsInTransit[which];
  aSimulation.mReportsInTransit.erase(aSimulation.mReportsInTransit.begin() +
                                      static_cast<std::ptrdiff_t>(which));
  const auto taken = ApplyReport(aSimulation.mState,
                                 report.mName,
                                 report.mReport,
                                 report.mConnections,
                                 report.mRequestedAt,
                                 aSimulation.mNow);
  if (taken == apply_report_outcome::Applied && report.mReport.draining) {
    aSimulation.mReportedDraining.insert(report.mReport.agent_incarnation);
  }
}

void
SendReply(simulation& aSimulation, int aIndex)
{
  const auto& agent = aSimulation.mAgents[static_cast<std::size_t>(aIndex)];
  wire::dispatch_reply reply;
  reply.agent_incarnation = IncarnationOf(aIndex, agent);
  reply.draining = agent.mIsDraining;
  if (agent.mIsRunning) {
    aSimulation.mRepliesInTransit.emplace_back(NameOf(aIndex), reply);
  }
}

void
DeliverReply(simulation& aSimulation, std::size_t aWhich)
{
  if (aSimulation.mRepliesInTransit.empty()) {
    return;
  }
  const auto which = aWhich % aSimulation.mRepliesInTransit.size();
  const auto [name, reply] = aSimulation.mRepliesInTransit[which];
  aSimulation.mRepliesInTransit.erase(aSimulation.mRepliesInTransit.begin() +
                                      static_cast<std::ptrdiff_t>(which));
  const auto found = aSimulation.mState.mServers.find(name);
  const bool isCurrent = found != aSimulation.mState.mServers.end() &&
                         found->second.mIncarnation == reply.agent_incarnation;
  ApplyReply(aSimulation.mState, name, reply);
  if (isCurrent && reply.draining) {
    aSimulation.mReportedDraining.insert(reply.agent_incarnation);
  }
}

void
Restart(simulation& aSimulation, int aIndex, bool aHasNewAddress)
{
  auto& agent = aSimulation.mAgents[static_cast<std::size_t>(aIndex)];
  ++agent.mIncarnation;
  agent.mIsRunning = true;
  agent.mIsDraining = false;
  if (aHasNewAddress) {
    aSimulation.mReusedPorts.insert(agent.mPort);
    agent.mPort = 1000 + aIndex * 1000 + agent.mIncarnation;
  }
}

void
Check(const simulation& aSimulation)
{
  for (int i = 0; i < kNames; ++i) {
    const auto index = static_cast<std::size_t>(i);
    const auto found = aSimulation.mState.mServers.find(NameOf(i));
    const bool isKnown = found != aSimulation.mState.mServers.end();
    if (aSimulation.mUnlistedSince[index]) {
      // An unlisted instance is removed after 60 s, when the next list is
      // applied; a list arrives each second.
      RC_ASSERT(!isKnown ||
                aSimulation.mNow - *aSimulation.mUnlistedSince[index] <= 62s);
    }
    if (!isKnown) {
      continue;
    }
    const auto& view = found->second;
    if (StateOf(view, {}, aSimulation.mNow) == server_state::Live) {
      RC_ASSERT(aSimulation.mReportedDraining.count(view.mIncarnation) == 0u);
      RC_ASSERT(view.mIncarnation != "elsewhere");
      RC_ASSERT(view.mLastResponseAt &&
                aSimulation.mNow - *view.mLastResponseAt <= 10s);
    }
  }
}

void
ApplyAction(simulation& aSimulation, unsigned aNumber)
{
  const int index = static_cast<int>(aNumber / 16) % kNames;
  const auto slot = static_cast<std::size_t>(index);
  switch (aNumber % 16) {
    case 0:
      aSimulation.mAgents[slot].mIsDraining = true;
      break;
    case 1:
      aSimulation.mAgents[slot].mIsRunning = false;
      break;
    case 2:
      Restart(aSimulation, index, aNumber / 64 % 2 == 0);
      break;
    case 3:
      aSimulation.mIsListed[slot] = !aSimulation.mIsListed[slot];
      break;
    case 4:
      for (int i = 0; i < 70; ++i) {
        aSimulation.mNow += 1s;
        PublishList(aSimulation);
        PollAgent(aSimulation, i % kNames);
        Deliver(aSimulation, 0);
      }
      break;
    case 5:
      aSimulation.mNow += 3s;
      break;
    case 6:
    case 7:
    case 8:
      PublishList(aSimulation);
      break;
    case 9:
    case 10:
    case 11:
      Deliver(aSimulation, aNumber / 64);
      break;
    case 12:
      SendReply(aSimulation, index);
      break;
    case 13:
      DeliverReply(aSimulation, aNumber / 64);
      break;
    default:
      PollAgent(aSimulation, index);
  }
  aSimulation.mNow += 100ms;
}

/** Checks that every running server counts as live once the list is correct and
 * reports are delivered. */
void
CheckRecovery(simulation& aSimulation)
{
  aSimulation.mReportsInTransit.clear();
  PublishList(aSimulation);
  for (int i = 0; i < kNames; ++i) {
    aSimulation.mNow += 100ms;
    PollAgent(aSimulation, i);
    Deliver(aSimulation, 0);
    const auto index = static_cast<std::size_t>(i);
    const auto& agent = aSimulation.mAgents[index];
    if (aSimulation.mIsListed[index] && agent.mIsRunning &&
        !agent.mIsDraining) {
      const auto& view = aSimulation.mState.mServers.at(NameOf(i));
      RC_ASSERT(StateOf(view, {}, aSimulation.mNow) == server_state::Live);
    }
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestDirectoryState)

// Guards against sending a request to a server that has reported that it
// drains, or to another instance at its former address. Servers drain, die,
// restart at other addresses, and their addresses are reassigned, while the
// list lags and answers arrive out of order.
BOOST_AUTO_TEST_CASE(NoWorkForLeavingOrStrangeServers)
{
  int live = 0;
  int drained = 0;
  BOOST_TEST(rc::check(
    "no live state for draining, reassigned or long unlisted servers",
    [&](const std::vector<unsigned short>& aNumbers) {
      simulation simulation;
      simulation.mIsListed = { true, true, false };
      for (int i = 0; i < kNames; ++i) {
        simulation.mAgents[static_cast<std::size_t>(i)].mPort = 1000 + i * 1000;
      }
      PublishList(simulation);
      for (const auto number : aNumbers) {
        ApplyAction(simulation, number);
        Check(simulation);
      }
      CheckRecovery(simulation);
      for (const auto& [name, view] : simulation.mState.mServers) {
        live +=
          StateOf(view, {}, simulation.mNow) == server_state::Live ? 1 : 0;
      }
      drained += static_cast<int>(simulation.mReportedDraining.size());
    }));
  BOOST_TEST(live > 1000);
  BOOST_TEST(drained > 1000);
}

// Guards against treating live servers as dead because this entry didn't poll
// them in time: polling a whole unresponsive zone occupies its threads.
BOOST_AUTO_TEST_CASE(UnpolledServersStayLive)
{
  const time_point lastAnswer{ 1000s };
  const heartbeat_limits limits;
  const auto evaluate = [&](std::optional<time_point> aFailed,
                            milliseconds aLater) {
    return EvaluateHeartbeat(
      { lastAnswer, aFailed }, limits, lastAnswer + aLater);
  };
  BOOST_TEST((evaluate(std::nullopt, 9s) == liveness::Live));
  BOOST_TEST((evaluate(std::nullopt, 11s) == liveness::Unresponsive));
  BOOST_TEST((evaluate(lastAnswer + 500ms, 2s) == liveness::Live));
  BOOST_TEST((evaluate(lastAnswer + 500ms, 3s) == liveness::Unresponsive));
  BOOST_TEST((evaluate(lastAnswer - 500ms, 3s) == liveness::Live));
  BOOST_TEST((EvaluateHeartbeat({}, limits, lastAnswer) == liveness::Unknown));
}

BOOST_AUTO_TEST_SUITE_END()
