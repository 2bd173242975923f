#include "Bench/Experiments.h"
#include "Bench/Results.h"
#include "Duties/Admission/FairQueue.h"
#include "Duties/Orders/Scale.h"
#include "Duties/Routing/PoolTable.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace lavender::bench {
namespace {

using namespace std::chrono_literals;
using seconds = std::chrono::duration<double>;

constexpr auto kTick = 10ms;
constexpr auto kDay = 4h;
constexpr auto kReportInterval = 500ms;
constexpr auto kScaleInterval = 1000ms;
constexpr auto kPerToken = 10ms;
constexpr int kSlots = 16;
constexpr int kZones = 3;
constexpr int kCustomers = 8;
constexpr int kTokens = 20;
constexpr int kTailTokens = 100;
/** Requests per second that one server can serve: 16 slots, 24 tokens of 10 ms
 * per request on average. */
constexpr double kServerRate = kSlots / (24 * 0.01);
/** Offered load at night and at noon, in multiples of kServerRate. */
constexpr double kNightLoad = 1.5;
constexpr double kNoonLoad = 8;
const time_point kStart(1h);

struct run
{
  std::string mId;
  int mCustomer = 0;
  int mTokens = 0;
  time_point mArrivedAt;
  time_point mEndsAt;
};

struct server
{
  int mZone = 0;
  time_point mOrderedAt;
  time_point mReadyAt;
  bool mIsStopping = false;
  std::vector<run> mRunning;
  std::int64_t mRunningCost = 0;
  admission::fair_queue mQueue;
  /** Exponential moving average of the requests queued and running. */
  double mSmoothedRequests = 0;
};

struct outcome
{
  std::vector<std::vector<std::chrono::nanoseconds>> mLatencies;
  std::size_t mServed = 0;
  std::size_t mRefused = 0;
  double mServerSeconds = 0;
  int mStarts = 0;
  int mStops = 0;
  std::size_t mMinimumServers = 1000;
  std::size_t mMaximumServers = 0;
};

/** Simulates a day of load on a pool that is scaled by orders::DecideScale. */
class day_simulation
{
public:
  day_simulation(const orders::scale_policy& aPolicy,
                 double aSmoothing,
                 int aServers,
                 std::uint64_t aSeed)
    : mPolicy(aPolicy)
    , mSmoothing(aSmoothing)
    , mRandom(aSeed)
    , mStates(kZones)
  {
    mOutcome.mLatencies.resize(kCustomers);
    for (int i = 0; i < aServers; ++i) {
      Start(i % kZones, 0ms);
    }
    mOutcome.mStarts = 0;
  }

  outcome Run()
  {
    while (mNow < kStart + kDay) {
      mNow += kTick;
      Arrive();
      for (auto& [name, server] : mServers) {
        AdvanceServer(server);
      }
      if ((mNow - kStart) % kReportInterval == 0ns) {
        Report();
      }
      if ((mNow - kStart) % kScaleInterval == 0ns) {
        CheckScale();
      }
    }
    return std::move(mOutcome);
  }

private:
  void Start(int aZone, milliseconds aStartupDuration)
  {
    auto& made = mServers["server-" + std::to_string(mNextServer++)];
    made.mZone = aZone;
    made.mOrderedAt = mNow;
    made.mReadyAt = mNow + aStartupDuration;
    made.mQueue.mLimits.mSlots = kSlots;
    ++mOutcome.mStarts;
  }

  double RateNow() const
  {
    const double hours = seconds(mNow - kStart) / seconds(kDay);
    const double noon = 0.5 - 0.5 * std::cos(2 * 3.14159265 * hours);
    return kServerRate * (kNightLoad + (kNoonLoad - kNightLoad) * noon);
  }

  void Arrive()
  {
    std::poisson_distribution<int> count(RateNow() * seconds(kTick).count());
    std::uniform_int_distribution<int> draw(0, 99);
    for (int left = count(mRandom); left > 0; --left) {
      run request;
      request.mId = std::to_string(mNextRequest++);
      // One customer sends half of all requests.
      const int customer = draw(mRandom);
      request.mCustomer = customer < 50 ? 0 : 1 + customer % (kCustomers - 1);
      request.mTokens = draw(mRandom) < 5 ? kTailTokens : kTokens;
      request.mArrivedAt = mNow;
      Send(request);
    }
  }

  void Send(const run& aRequest)
  {
    const auto chosen = routing::ChooseServer(mTable, {}, mRandom, mNow);
    const auto found = chosen ? mServers.find(*chosen) : mServers.end();
    if (found == mServers.end()) {
      ++mOutcome.mRefused;
      return;
    }
    admission::queue_item item;
    item.mId = aRequest.mId;
    item.mCustomer = std::to_string(aRequest.mCustomer);
    item.mCost = aRequest.mTokens;
    item.mDeadline = mNow + 60s;
    const auto pushed = admission::Push(
      found->second.mQueue, item, found->second.mRunningCost, mNow);
    if (pushed.mDisplaced) {
      ++mOutcome.mRefused;
      mWaiting.erase(pushed.mDisplaced->mId);
    }
    if (!pushed.mIsQueued) {
      ++mOutcome.mRefused;
      return;
    }
    mWaiting[aRequest.mId] = aRequest;
    routing::RecordSent(mTable, *chosen, 0, mNow);
    routing::RecordEnd(mTable, *chosen, mNow, routing::evidence::Neutral, mNow);
  }

  void AdvanceServer(server& aServer)
  {
    auto& running = aServer.mRunning;
    for (auto one = running.begin(); one != running.end();) {
      if (one->mEndsAt > mNow) {
        ++one;
        continue;
      }
      admission::RecordRun(
        aServer.mQueue, one->mTokens, kPerToken * one->mTokens);
      aServer.mRunningCost -= one->mTokens;
      ++mOutcome.mServed;
      mOutcome.mLatencies[static_cast<std::size_t>(one->mCustomer)].push_back(
        mNow - one->mArrivedAt);
      one = running.erase(one);
    }
    while (running.size() < kSlots) {
      const auto item = admission::Pop(aServer.mQueue);
      if (!item) {
        return;
      }
      auto request = mWaiting.at(item->mId);
      mWaiting.erase(item->mId);
      request.mEndsAt = mNow + kPerToken * request.mTokens;
      aServer.mRunningCost += request.mTokens;
      running.push_back(std::move(request));
    }
  }

  void Report()
  {
    for (auto one = mServers.begin(); one != mServers.end();) {
      auto& [name, server] = *one;
      routing::server_report report;
      report.mName = name;
      report.mSlots = kSlots;
      report.mRequests =
        static_cast<int>(server.mRunning.size() + server.mQueue.mSize);
      report.mTokensPerSecond = admission::MeasuredThroughput(server.mQueue);
      report.mAcceptsRequests = !server.mIsStopping && mNow >= server.mReadyAt;
      report.mGeneratedAt = mNow;
      routing::ApplyReport(mTable, report, mNow);
      const bool isGone = server.mIsStopping && server.mRunning.empty() &&
                          server.mQueue.mSize == 0;
      if (isGone) {
        mOutcome.mServerSeconds += seconds(mNow - server.mOrderedAt).count();
        routing::MarkUnavailable(mTable, name);
      }
      one = isGone ? mServers.erase(one) : std::next(one);
    }
  }

  void CheckScale()
  {
    for (int zone = 0; zone < kZones; ++zone) {
      std::vector<orders::server_load> loads;
      for (auto& [name, server] : mServers) {
        if (server.mZone == zone && mNow >= server.mReadyAt) {
          const auto count =
            static_cast<double>(server.mQueue.mSize + server.mRunning.size());
          server.mSmoothedRequests +=
            mSmoothing * (count - server.mSmoothedRequests);
          loads.push_back(
            { name,
              0,
              static_cast<int>(std::lround(server.mSmoothedRequests)),
              kSlots,
              admission::QueueDelay(server.mQueue, server.mRunningCost),
              server.mIsStopping,
              true });
        }
      }
      auto& state = mStates[static_cast<std::size_t>(zone)];
      const auto decision = orders::DecideScale(state, mPolicy, loads, mNow);
      if (decision.mAction == orders::scale_action::Start) {
        Start(zone, mPolicy.mStartupDuration);
      } else if (decision.mAction == orders::scale_action::Stop) {
        mServers.at(decision.mServer).mIsStopping = true;
        ++mOutcome.mStops;
      }
    }
    mOutcome.mMinimumServers =
      std::min(mOutcome.mMinimumServers, mServers.size());
    mOutcome.mMaximumServers =
      std::max(mOutcome.mMaximumServers, mServers.size());
    if (mNow + kScaleInterval > kStart + kDay) {
      for (const auto& [name, server] : mServers) {
        mOutcome.mServerSeconds += seconds(mNow - server.mOrderedAt).count();
      }
    }
  }

  const orders::scale_policy mPolicy;
  /** Weight of the newest count in mSmoothedRequests; 1 disables smoothing. */
  const double mSmoothing;
  std::mt19937_64 mRandom;
  time_point mNow = kStart;
  std::map<std::string, server> mServers;
  std::vector<orders::scale_state> mStates;
  routing::pool_table mTable;
  std::map<std::string, run> mWaiting;
  std::uint64_t mNextRequest = 0;
  int mNextServer = 0;
  outcome mOutcome;
};

void
Measure(csv_file& aFile,
        const std::string& aName,
        const orders::scale_policy& aPolicy,
        double aSmoothing,
        int aServers,
        std::uint64_t aSeed)
{
  const auto result =
    day_simulation(aPolicy, aSmoothing, aServers, aSeed).Run();
  std::vector<std::chrono::nanoseconds> all;
  std::chrono::nanoseconds worst{ 0 };
  for (const auto& latencies : result.mLatencies) {
    all.insert(all.end(), latencies.begin(), latencies.end());
    worst = std::max(worst, Percentile(latencies, 0.99));
  }
  const auto served = static_cast<double>(result.mServed);
  const auto refused = static_cast<double>(result.mRefused);
  aFile.WriteRow({ aName,
                   Format(result.mServerSeconds / served * 1000),
                   Format(Percentile(all, 0.99)),
                   Format(worst),
                   Format(refused / (served + refused)),
                   std::to_string(result.mStarts),
                   std::to_string(result.mStops),
                   std::to_string(result.mMinimumServers),
                   std::to_string(result.mMaximumServers) });
}

} // namespace

void
RunCost(const experiment_options& aOptions)
{
  csv_file file(aOptions.mFolder + "/cost.csv",
                { "fleet",
                  "server_ms_per_request",
                  "p99_ms",
                  "worst_customer_p99_ms",
                  "refused_share",
                  "starts",
                  "stops",
                  "fewest",
                  "most" });
  orders::scale_policy policy;
  policy.mMinimum = 1;
  policy.mMaximum = 4;
  for (const double smoothing : { 1.0, 0.05 }) {
    for (const double lowUtilisation : { 0.5, 0.7 }) {
      policy.mLowUtilisation = lowUtilisation;
      Measure(file,
              "scaled; low use " + Format(lowUtilisation) + "; newest look " +
                Format(smoothing),
              policy,
              smoothing,
              3,
              aOptions.mSeed);
    }
  }
  for (const int servers : { 6, 9, 12 }) {
    Measure(file,
            "fixed " + std::to_string(servers),
            orders::scale_policy(),
            1,
            servers,
            aOptions.mSeed);
  }
}

} // namespace lavender::bench
