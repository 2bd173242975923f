#include "Duties/Routing/PoolTable.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <functional>
#include <rapidcheck.h>
#include <set>

using namespace lavender;
using namespace lavender::routing;
using namespace std::chrono_literals;

namespace {

const time_point kStart(1h);

server_report
MakeReport(const std::string& aName, int aRequests, time_point aMadeAt)
{
  server_report report;
  report.mName = aName;
  report.mAvailabilityZone = "bogota";
  report.mSlots = 16;
  report.mRequests = aRequests;
  report.mAcceptsRequests = true;
  report.mGeneratedAt = aMadeAt;
  return report;
}

pool_table
MakeTable(int aServers, time_point aNow)
{
  pool_table table;
  for (int i = 0; i < aServers; ++i) {
    ApplyReport(table, MakeReport("s" + std::to_string(i), 0, aNow), aNow);
  }
  return table;
}

bool
IsNear(double aLeft, double aRight)
{
  return std::abs(aLeft - aRight) < 1e-6;
}

/** Recomputes the sums that the table updates incrementally, and compares. */
void
CheckSums(const pool_table& aTable)
{
  double loads = 0;
  double rates = 0;
  std::size_t measured = 0;
  std::size_t open = 0;
  for (const auto& row : aTable.mRows) {
    loads += row.mLoad;
    rates += row.mReport.mTokensPerSecond / row.mReport.mSlots;
    measured += row.mReport.mTokensPerSecond > 0 ? 1 : 0;
    open += row.mBreaker.mState != breaker_state::Closed ? 1 : 0;
    RC_ASSERT(row.mLoad > 0);
    RC_ASSERT(aTable.mIndex.at(row.mReport.mName) < aTable.mRows.size());
  }
  RC_ASSERT(IsNear(aTable.mLoadSum, loads));
  RC_ASSERT(IsNear(aTable.mRatePerSlotSum, rates));
  RC_ASSERT(aTable.mMeasuredServers == measured);
  RC_ASSERT(aTable.mOpenBreakers == open);
  RC_ASSERT(aTable.mIndex.size() == aTable.mRows.size());
}

struct sent_request
{
  std::string mServer;
  time_point mAt;
};

/** Generates reports, requests and their ends on one table. */
struct history
{
  pool_table mTable;
  std::mt19937_64 mRandom{ 1 };
  std::vector<sent_request> mInFlight;
  time_point mNow = kStart;

  void Report()
  {
    auto report = MakeReport("s" + std::to_string(*rc::gen::inRange(0, 6)),
                             *rc::gen::inRange(0, 40),
                             mNow - milliseconds(*rc::gen::inRange(0, 5000)));
    report.mTokensPerSecond = *rc::gen::element(0.0, 100.0, 1000.0, 20000.0);
    report.mAcceptsRequests = *rc::gen::inRange(0, 5) > 0;
    report.mCachedPrefixes = { *rc::gen::inRange<std::int64_t>(1, 4) };
    ApplyReport(mTable, report, mNow);
  }

  void Send()
  {
    route_request request;
    request.mPrefix = *rc::gen::inRange<std::int64_t>(0, 4);
    request.mExcluded = { "s0" };
    mTable.mLimits.mPolicy = *rc::gen::element(routing_policy::TwoChoices,
                                               routing_policy::Random,
                                               routing_policy::RoundRobin);
    const bool ignoresBreakers = mTable.mOpenBreakers * 2 > mTable.mRows.size();
    std::set<std::string> usable;
    for (const auto& row : mTable.mRows) {
      if (row.mReport.mAcceptsRequests && row.mReport.mName != "s0" &&
          mNow - row.mReport.mGeneratedAt < mTable.mLimits.mHeartbeat &&
          (ignoresBreakers || AllowsRequest(row.mBreaker, mNow))) {
        usable.insert(row.mReport.mName);
      }
    }
    const auto chosen = ChooseServer(mTable, request, mRandom, mNow);
    RC_ASSERT(chosen.has_value() == !usable.empty());
    if (chosen) {
      RC_ASSERT(usable.count(*chosen) == 1u);
      RecordSent(mTable, *chosen, request.mPrefix, mNow);
      mInFlight.push_back({ *chosen, mNow });
    }
  }

  void End()
  {
    if (mInFlight.empty()) {
      return;
    }
    const auto ending = *rc::gen::element(
      evidence::Success, evidence::Failure, evidence::Neutral);
    const auto request = mInFlight.front();
    mInFlight.erase(mInFlight.begin());
    RecordEnd(mTable, request.mServer, request.mAt, ending, mNow);
  }
};

using chooser = std::function<std::string(pool_table&, time_point)>;

/** Sends 2000 requests to nine servers, one of which fails every request
 * immediately and therefore never has a queue.
 * @return number of requests sent to that server */
int
CountFailed(const chooser& aChoose)
{
  auto table = MakeTable(9, kStart);
  std::vector<sent_request> running;
  int failed = 0;
  time_point now = kStart;
  for (int i = 0; i < 2000; ++i) {
    now += 10ms;
    for (int server = 0; server < 9; ++server) {
      const auto name = "s" + std::to_string(server);
      const auto held =
        std::count_if(running.begin(), running.end(), [&](const auto& aOne) {
          return aOne.mServer == name;
        });
      ApplyReport(table, MakeReport(name, static_cast<int>(held), now), now);
    }
    const auto chosen = aChoose(table, now);
    RecordSent(table, chosen, 0, now);
    if (chosen == "s0") {
      ++failed;
      RecordEnd(table, chosen, now, evidence::Failure, now);
      continue;
    }
    running.push_back({ chosen, now });
    if (running.size() > 40) {
      RecordEnd(
        table, running[0].mServer, running[0].mAt, evidence::Success, now);
      running.erase(running.begin());
    }
  }
  return failed;
}

/** Power of two random choices, by reported request counts alone. */
std::string
ChooseByReport(const pool_table& aTable, std::mt19937_64& aRandom)
{
  std::uniform_int_distribution<std::size_t> pick(0, aTable.mRows.size() - 1);
  const auto& first = aTable.mRows[pick(aRandom)].mReport;
  const auto& second = aTable.mRows[pick(aRandom)].mReport;
  return first.mRequests <= second.mRequests ? first.mName : second.mName;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestPoolTable)

BOOST_AUTO_TEST_CASE(SelectsAUsableServerWheneverThereIsOne)
{
  BOOST_TEST(rc::check("table against a full search", [] {
    history run;
    const int steps = *rc::gen::inRange(1, 80);
    for (int step = 0; step < steps; ++step) {
      run.mNow += milliseconds(*rc::gen::inRange(1, 500));
      const int kind = *rc::gen::inRange(0, 10);
      if (kind < 4) {
        run.Report();
      } else if (kind < 7) {
        run.Send();
      } else if (kind < 8) {
        run.End();
      } else if (kind < 9) {
        ApplyRequestCount(
          run.mTable, "s2", *rc::gen::inRange(0, 40), run.mNow - 1ms);
      } else {
        MarkUnavailable(run.mTable, "s1");
      }
      CheckSums(run.mTable);
    }
    // Servers without reports are removed once their requests have ended.
    while (!run.mInFlight.empty()) {
      run.End();
    }
    run.mNow += run.mTable.mLimits.mExpireAfter + 10s;
    ApplyReport(run.mTable, MakeReport("new", 0, run.mNow), run.mNow);
    RC_ASSERT(run.mTable.mRows.size() == 1u);
    CheckSums(run.mTable);
  }));
}

// Callers get errors for most requests although eight of nine servers are
// healthy, because the server that fails immediately is always the least
// loaded one.
BOOST_AUTO_TEST_CASE(AServerThatFailsFastGetsFewRequests)
{
  std::mt19937_64 random(7);
  const int without = CountFailed(
    [&](auto& aTable, auto) { return ChooseByReport(aTable, random); });
  const int with = CountFailed([&](auto& aTable, auto aNow) {
    return *ChooseServer(aTable, {}, random, aNow);
  });
  BOOST_TEST_MESSAGE("requests to the failing server: "
                     << without << " without breaker, " << with << " with it");
  BOOST_TEST(without > 2000 / 9);
  BOOST_TEST(with < 20);
}

// Guards against a server that takes requests and answers none, and goes on
// getting new ones: it fails so few of them a second that its breaker stays
// closed by their ratio to earlier answers.
BOOST_AUTO_TEST_CASE(AServerThatAnswersNoneOfAFewRequestsGetsNoMore)
{
  constexpr auto kDeadline = 1100ms;
  constexpr auto kBetween = 700ms;
  constexpr int kAnswered = 100;
  constexpr int kRequests = 300;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    auto table = MakeTable(3, kStart);
    table.mLimits.mHeartbeat = 1h;
    std::mt19937_64 random(seed);
    std::vector<time_point> held;
    int unanswered = 0;
    for (int i = 0; i < kRequests; ++i) {
      const auto now = kStart + i * kBetween;
      while (!held.empty() && now >= held.front() + kDeadline) {
        RecordEnd(table,
                  "s0",
                  held.front(),
                  evidence::Failure,
                  held.front() + kDeadline);
        held.erase(held.begin());
      }
      const auto chosen = *ChooseServer(table, {}, random, now);
      RecordSent(table, chosen, 0, now);
      if (chosen == "s0" && i >= kAnswered) {
        unanswered += AllowsRequest(table.mRows[0].mBreaker, now) &&
                      table.mRows[0].mBreaker.mState == breaker_state::Closed;
        held.push_back(now);
      } else {
        RecordEnd(table, chosen, now, evidence::Success, now + 25ms);
      }
    }
    // Besides the failures that open the breaker, one may be under way.
    BOOST_TEST(unanswered <= table.mLimits.mBreaker.mMinimumAttempts + 1,
               "seed " << seed << ": " << unanswered);
  }
}

// Many requests share a long prompt prefix. Without a load bound, all of them
// would queue on the server that caches the prefix while the others are idle.
BOOST_AUTO_TEST_CASE(APopularPrefixSpreadsWhenItsServerIsBusy)
{
  BOOST_TEST(rc::check("affinity keeps within its bound", [] {
    const int servers = *rc::gen::inRange(2, 12);
    auto table = MakeTable(servers, kStart);
    std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
    const int requests = *rc::gen::inRange(1, servers * 30);
    for (int i = 0; i < requests; ++i) {
      route_request request;
      request.mPrefix = 42;
      const auto holders = FindHolders(table.mPrefixes, 42, kStart);
      const auto chosen = ChooseServer(table, request, random, kStart);
      const auto& row = table.mRows[table.mIndex.at(*chosen)];
      const bool isHolder =
        std::any_of(holders.begin(), holders.end(), [&](const auto& aHolder) {
          return aHolder.mServer == *chosen;
        });
      const double mean = table.mLoadSum / servers;
      RC_ASSERT(!isHolder || row.mLoad <= std::max(0.5, 1.25 * mean) ||
                row.mLoad <= mean + 1);
      RecordSent(table, *chosen, 42, kStart + std::chrono::nanoseconds(i + 1));
    }
    // No server's load exceeds the bound by more than one request.
    for (const auto& row : table.mRows) {
      RC_ASSERT(row.mLoad <= std::max(0.5, 1.25 * table.mLoadSum / servers) +
                               2.0 / 16 + 0.25);
    }
  }));
}

/** Requests of one entry, one after the other, over connections that stay open
 * as long as the next request comes soon. */
struct connected_entry
{
  void Send(pool_table& aTable, time_point aAt, milliseconds aTime)
  {
    route_request request;
    request.mIsConnected = [&](const std::string& aServer) {
      const auto used = mUsedAt.find(aServer);
      return used != mUsedAt.end() && aAt - used->second < 4s;
    };
    mServer = *ChooseServer(aTable, request, mRandom, aAt);
    mOpened += request.mIsConnected(mServer) ? 0 : 1;
    RecordSent(aTable, mServer, 0, aAt);
    RecordEnd(aTable, mServer, aAt, evidence::Success, aAt + aTime);
    mUsedAt[mServer] = aAt + aTime;
  }

  std::mt19937_64 mRandom{ 5 };
  std::map<std::string, time_point> mUsedAt;
  std::string mServer;
  int mOpened = 0;
};

// Guards against a connection set up for nearly every request when many entries
// share few callers: each meets another server every time.
BOOST_AUTO_TEST_CASE(AnEntryWithFewCallersKeepsToItsOpenConnections)
{
  constexpr int kEntries = 384;
  constexpr int kServers = 20;
  constexpr int kRequests = 16;
  int opened = 0;
  std::map<std::string, int> entriesByServer;
  for (int i = 0; i < kEntries; ++i) {
    auto table = MakeTable(kServers, kStart);
    table.mLimits.mHeartbeat = 1h;
    connected_entry entry;
    entry.mRandom.seed(static_cast<std::uint64_t>(i));
    for (int j = 0; j < kRequests; ++j) {
      entry.Send(table, kStart + j * 1500ms, 25ms);
    }
    opened += entry.mOpened;
    ++entriesByServer[entry.mServer];
  }
  BOOST_TEST(opened <= kEntries * kRequests / 8);
  // The entries spread over all servers.
  BOOST_TEST(entriesByServer.size() == static_cast<std::size_t>(kServers));
  for (const auto& [server, entries] : entriesByServer) {
    BOOST_TEST(entries < 3 * kEntries / kServers, server);
  }
}

// Guards against an entry that keeps to a server which has become slow or full,
// only because a connection to it is open.
BOOST_AUTO_TEST_CASE(ASlowOrFullServerIsLeftInSpiteOfItsOpenConnection)
{
  auto table = MakeTable(10, kStart);
  connected_entry entry;
  for (int i = 0; i < 5; ++i) {
    entry.Send(table, kStart + i * 100ms, 25ms);
  }
  const auto slow = entry.mServer;
  entry.Send(table, kStart + 500ms, 100ms);
  BOOST_TEST(entry.mServer == slow);
  entry.Send(table, kStart + 700ms, 25ms);
  BOOST_TEST(entry.mServer != slow);
  const auto full = entry.mServer;
  ApplyRequestCount(table, full, 12, kStart + 800ms);
  entry.Send(table, kStart + 900ms, 25ms);
  BOOST_TEST(entry.mServer != full);
}

// If only requests were counted, a server five times slower would get as many
// requests as the others, and each would take five times as long.
BOOST_AUTO_TEST_CASE(ASlowServerGetsFewerRequests)
{
  auto table = MakeTable(2, kStart);
  auto fast = MakeReport("s0", 0, kStart + 1ms);
  fast.mTokensPerSecond = 5000;
  auto slow = MakeReport("s1", 0, kStart + 1ms);
  slow.mTokensPerSecond = 1000;
  ApplyReport(table, fast, kStart);
  ApplyReport(table, slow, kStart);
  ApplyReport(table, fast, kStart);
  std::mt19937_64 random(3);
  std::map<std::string, int> sent;
  for (int i = 0; i < 60; ++i) {
    const auto now = kStart + milliseconds(2 + i);
    const auto chosen = ChooseServer(table, {}, random, now);
    RecordSent(table, *chosen, 0, now);
    ++sent[*chosen];
  }
  BOOST_TEST(sent["s0"] >= 3 * sent["s1"]);
  // The slow server still gets requests, so that its speed is measured again.
  BOOST_TEST(sent["s1"] > 0);
}

// Guards against requests sent to a machine that others use at the moment, and
// against a slowdown that goes on counting when nothing is told any more.
BOOST_AUTO_TEST_CASE(ASlowMachineIsAvoidedUntilItsSlowdownIsOld)
{
  auto table = MakeTable(2, kStart);
  ApplySlowdown(table, "s0", 4, kStart + 300ms);
  ApplySlowdown(table, "gone", 4, kStart + 300ms);
  std::mt19937_64 random(1);
  const auto count = [&](time_point aNow) {
    int chosen = 0;
    for (int i = 0; i < 200; ++i) {
      chosen += ChooseServer(table, {}, random, aNow) == "s0" ? 1 : 0;
    }
    return chosen;
  };
  // Both draws fall on the slow one in a quarter of the cases.
  BOOST_TEST(count(kStart + 300ms) < 80);
  BOOST_TEST(count(kStart + 301ms) == 100);
}

BOOST_AUTO_TEST_SUITE_END()
