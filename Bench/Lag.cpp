#include "Bench/Experiments.h"
#include "Bench/Load.h"
#include "Bench/Results.h"
#include "Duties/Admission/FairQueue.h"
#include "Duties/Routing/PoolTable.h"

#include <functional>
#include <queue>
#include <tuple>

namespace lavender::bench {
namespace {

using namespace routing;
using namespace std::chrono_literals;

constexpr int kServers = 9;
constexpr int kEntries = 3;
constexpr int kSlots = 4;
constexpr auto kPerToken = 10ms;
constexpr auto kFailureLatency = 2ms;
constexpr auto kReportInterval = 100ms;
constexpr double kLoad = 0.7;
constexpr double kMeanTokens = 24;
constexpr int kSlowFactor = 5;
const time_point kStart(1h);

enum class policy
{
  Random,
  RoundRobin,
  /** The better of two random servers by the last report alone. */
  ReportOnly,
  /** The better of two random servers by the last report and all of the entry's
   * own requests in flight. */
  ReportAndInFlight,
  /** The production policy. */
  TwoChoices
};

enum class fault
{
  None,
  OneSlow,
  OneFails
};

struct request
{
  std::size_t mArrival = 0;
  std::size_t mEntry = 0;
  time_point mSentAt;
  time_point mStartedAt;
};

struct server
{
  std::chrono::nanoseconds mPerToken = kPerToken;
  bool mFails = false;
  int mRunning = 0;
  std::deque<request> mQueue;
  /** Measures the throughput in the way an agent does. */
  admission::fair_queue mThroughputMeter;
};

struct outcome
{
  std::vector<std::chrono::nanoseconds> mLatencies;
  int mErrors = 0;
};

/** Discrete-event simulation of servers and of entries with their routing
 * tables. */
class simulation
{
public:
  simulation(policy aPolicy,
             fault aFault,
             std::chrono::milliseconds aLag,
             std::vector<arrival> aArrivals,
             std::uint64_t aSeed)
    : mPolicy(aPolicy)
    , mLag(aLag)
    , mArrivals(std::move(aArrivals))
    , mRandom(aSeed)
    , mServers(kServers)
    , mTables(kEntries)
  {
    for (auto& server : mServers) {
      server.mThroughputMeter.mLimits.mSlots = kSlots;
    }
    mServers[0].mPerToken *= aFault == fault::OneSlow ? kSlowFactor : 1;
    mServers[0].mFails = aFault == fault::OneFails;
    for (auto& table : mTables) {
      table.mLimits.mHeartbeat = 30s;
      table.mLimits.mPolicy = aPolicy == policy::Random ? routing_policy::Random
                              : aPolicy == policy::RoundRobin
                                ? routing_policy::RoundRobin
                                : routing_policy::TwoChoices;
    }
  }

  outcome Run()
  {
    for (int i = 0; i < kServers; ++i) {
      DeliverReport(i, kStart);
    }
    const auto end = kStart + mArrivals.back().mAt;
    for (auto at = kStart + 1ms; at < end; at += kReportInterval) {
      ScheduleAt(at, [this, at] { SendReports(at); });
    }
    for (std::size_t i = 0; i < mArrivals.size(); ++i) {
      ScheduleAt(kStart + mArrivals[i].mAt, [this, i] { HandleArrival(i); });
    }
    while (!mEvents.empty()) {
      const auto event = mEvents.top();
      mEvents.pop();
      mNow = event.mAt;
      event.mAction();
    }
    return std::move(mOutcome);
  }

private:
  struct event
  {
    time_point mAt;
    std::uint64_t mSequence = 0;
    std::function<void()> mAction;

    bool operator<(const event& aOther) const
    {
      return std::tie(aOther.mAt, aOther.mSequence) < std::tie(mAt, mSequence);
    }
  };

  void ScheduleAt(time_point aAt, std::function<void()> aAction)
  {
    mEvents.push({ aAt, mNextEvent++, std::move(aAction) });
  }

  server_report MakeReport(int aServer, time_point aGeneratedAt) const
  {
    const auto& server = mServers[static_cast<std::size_t>(aServer)];
    server_report report;
    report.mName = std::to_string(aServer);
    report.mSlots = kSlots;
    report.mRequests = server.mRunning + static_cast<int>(server.mQueue.size());
    report.mTokensPerSecond =
      admission::MeasuredThroughput(server.mThroughputMeter);
    report.mAcceptsRequests = true;
    report.mGeneratedAt = aGeneratedAt;
    return report;
  }

  void DeliverReport(int aServer, time_point aGeneratedAt)
  {
    const auto report = MakeReport(aServer, aGeneratedAt);
    for (auto& table : mTables) {
      ApplyReport(table, report, aGeneratedAt);
    }
  }

  void SendReports(time_point aGeneratedAt)
  {
    for (int i = 0; i < kServers; ++i) {
      const auto report = MakeReport(i, aGeneratedAt);
      ScheduleAt(aGeneratedAt + mLag, [this, report] {
        for (auto& table : mTables) {
          ApplyReport(table, report, mNow);
        }
      });
    }
  }

  std::string PickServer(pool_table& aTable)
  {
    if (mPolicy != policy::ReportOnly && mPolicy != policy::ReportAndInFlight) {
      return *ChooseServer(aTable, {}, mRandom, mNow);
    }
    std::uniform_int_distribution<std::size_t> pick(0, kServers - 1);
    const auto load = [&](const server_row& aRow) {
      return aRow.mReport.mRequests +
             (mPolicy == policy::ReportAndInFlight
                ? static_cast<int>(aRow.mOwnRequests.mInFlight.size())
                : 0);
    };
    const auto& first = aTable.mRows[pick(mRandom)];
    const auto& second = aTable.mRows[pick(mRandom)];
    return load(first) <= load(second) ? first.mReport.mName
                                       : second.mReport.mName;
  }

  void HandleArrival(std::size_t aArrival)
  {
    request request;
    request.mArrival = aArrival;
    request.mEntry = aArrival % kEntries;
    request.mSentAt = mNow;
    auto& table = mTables[request.mEntry];
    const auto name = PickServer(table);
    RecordSent(table, name, 0, mNow);
    const auto index = static_cast<std::size_t>(std::stoi(name));
    if (mServers[index].mFails) {
      ScheduleAt(mNow + kFailureLatency, [this, request, name] {
        ++mOutcome.mErrors;
        RecordEnd(mTables[request.mEntry],
                  name,
                  request.mSentAt,
                  evidence::Failure,
                  mNow);
      });
      return;
    }
    mServers[index].mQueue.push_back(request);
    StartNext(index);
  }

  void StartNext(std::size_t aServer)
  {
    auto& server = mServers[aServer];
    if (server.mRunning >= kSlots || server.mQueue.empty()) {
      return;
    }
    auto request = server.mQueue.front();
    server.mQueue.pop_front();
    request.mStartedAt = mNow;
    ++server.mRunning;
    const auto tokens = mArrivals[request.mArrival].mTokens;
    ScheduleAt(mNow + server.mPerToken * tokens,
               [this, request, aServer, tokens] {
                 HandleEnd(request, aServer, tokens);
               });
  }

  void HandleEnd(const request& aRequest, std::size_t aServer, int aTokens)
  {
    auto& server = mServers[aServer];
    --server.mRunning;
    admission::RecordRun(
      server.mThroughputMeter, aTokens, mNow - aRequest.mStartedAt);
    mOutcome.mLatencies.push_back(mNow - aRequest.mSentAt);
    RecordEnd(mTables[aRequest.mEntry],
              std::to_string(aServer),
              aRequest.mSentAt,
              evidence::Success,
              mNow);
    StartNext(aServer);
  }

  const policy mPolicy;
  const std::chrono::milliseconds mLag;
  const std::vector<arrival> mArrivals;
  std::mt19937_64 mRandom;
  std::vector<server> mServers;
  std::vector<pool_table> mTables;
  std::priority_queue<event> mEvents;
  std::uint64_t mNextEvent = 0;
  time_point mNow = kStart;
  outcome mOutcome;
};

} // namespace

void
RunLag(const experiment_options& aOptions)
{
  csv_file file(aOptions.mFolder + "/lag.csv",
                { "scenario",
                  "lag_ms",
                  "policy",
                  "served",
                  "error_share",
                  "p50_ms",
                  "p99_ms" });
  const std::pair<fault, const char*> faults[] = {
    { fault::None, "all well" },
    { fault::OneSlow, "one five times slower" },
    { fault::OneFails, "one fails at once" }
  };
  const std::pair<policy, const char*> policies[] = {
    { policy::Random, "random" },
    { policy::RoundRobin, "round-robin" },
    { policy::ReportOnly, "report only" },
    { policy::ReportAndInFlight, "report and all in flight" },
    { policy::TwoChoices, "two-choices" }
  };
  for (const auto& [fault, scenario] : faults) {
    const double healthyServers = fault == fault::None ? kServers
                                  : fault == fault::OneSlow
                                    ? kServers - 1 + 1.0 / kSlowFactor
                                    : kServers - 1;
    const double perSecond =
      kLoad * healthyServers * kSlots /
      (kMeanTokens * std::chrono::duration<double>(kPerToken).count());
    const auto arrivals =
      MakeArrivals({ { "all", perSecond, 20, 1 } }, 10min, aOptions.mSeed);
    for (const auto lag : { 100ms, 1000ms, 5000ms }) {
      for (const auto& [policy, name] : policies) {
        simulation simulation(policy, fault, lag, arrivals, aOptions.mSeed);
        const auto result = simulation.Run();
        file.WriteRow(
          { scenario,
            std::to_string(lag.count()),
            name,
            std::to_string(result.mLatencies.size()),
            Format(result.mErrors / static_cast<double>(arrivals.size())),
            Format(Percentile(result.mLatencies, 0.5)),
            Format(Percentile(result.mLatencies, 0.99)) });
      }
    }
  }
}

} // namespace lavender::bench
