// Measures the time from a new target version until every agent has received
// its load order, and until the roll-out duty sees the version on every server.
// Runs stand-in agents in this process, each of which simulates a given load
// time. Prints CSV.

#include "Duties/Weights/RollOutDuty.h"
#include "Libraries/Core/Log.h"
#include "Libraries/Http/Server.h"
#include "Libraries/Wire/WireServer.h"
#include "StandIns/Platform/Platform.h"

#include <atomic>
#include <cstdio>

using namespace lavender;
using namespace std::chrono_literals;

namespace {

constexpr const char* kPool = "modellflotta";
constexpr int kRounds = 5;

/** Stand-in for an agent whose server takes aLoadTime to load a version. */
class loading_agent : public wire::agent_serviceNull
{
public:
  loading_agent(std::string aName, milliseconds aLoadTime)
    : mName(std::move(aName))
    , mLoadTime(aLoadTime)
  {
  }

  void Report(wire::agent_report& aReport,
              const wire::entry_digest& aDigest) override
  {
    aReport.echo = aDigest.echo;
    aReport.agent_incarnation = "a";
    aReport.server_name = mName;
    aReport.pool = kPool;
    aReport.model = "protokoll";
    aReport.weight_version = Held();
    aReport.server_reachable = true;
    aReport.load.slots = 16;
  }

  void Swap(wire::swap_reply& aReply, const wire::swap_order& aOrder) override
  {
    aReply.echo = aOrder.echo;
    std::lock_guard lock(mMutex);
    if (aOrder.version != mOrdered) {
      mOrdered = aOrder.version;
      mLoadedAt = boot_clock::now() + mLoadTime;
    }
  }

  std::int64_t Ordered()
  {
    std::lock_guard lock(mMutex);
    return mOrdered;
  }

  std::int64_t Held()
  {
    std::lock_guard lock(mMutex);
    return boot_clock::now() >= mLoadedAt ? mOrdered : mOrdered - 1;
  }

private:
  const std::string mName;
  const milliseconds mLoadTime;
  std::mutex mMutex;
  std::int64_t mOrdered = 1;
  time_point mLoadedAt;
};

struct round_times
{
  double mOrderedMs = 0;
  double mObservedMs = 0;
};

struct simulated_site
{
  std::vector<std::shared_ptr<loading_agent>> mAgents;
  std::vector<std::unique_ptr<wire::wire_server>> mServers;
  standin::platform mPlatform;
  http::server mListener{ http::server_options{},
                          [this](const http::request& aRequest) {
                            return mPlatform.Serve(aRequest);
                          } };

  simulated_site(int aCount, milliseconds aLoadTime)
  {
    json::array instances;
    for (int i = 0; i < aCount; ++i) {
      const auto name = "engine-" + std::to_string(i);
      mAgents.push_back(std::make_shared<loading_agent>(name, aLoadTime));
      mServers.push_back(std::make_unique<wire::wire_server>(
        "127.0.0.1",
        0,
        std::make_shared<wire::agent_serviceProcessor>(mAgents.back())));
      json::value item;
      item.Set("name", name);
      item.Set("zone", "hall-malmo");
      item.Set("pool", kPool);
      item.Set("role", "backend");
      item.Set("address",
               "127.0.0.1:" + std::to_string(mServers.back()->Port()));
      item.Set("state", "live");
      instances.push_back(std::move(item));
    }
    json::value list;
    list.Set("instances", std::move(instances));
    http::request request;
    request.mMethod = "POST";
    request.mPath = "/control/instances";
    request.mBody = json::Write(list);
    mPlatform.Serve(request);
  }
};

double
MillisecondsSince(time_point aStart)
{
  return std::chrono::duration<double, std::milli>(boot_clock::now() - aStart)
    .count();
}

/** Waits up to 60 s until all agents meet the condition; false on timeout. */
template<typename Condition>
bool
WaitForAll(const simulated_site& aSite, const Condition& aCondition)
{
  const auto start = boot_clock::now();
  while (MillisecondsSince(start) < 60000) {
    if (std::all_of(aSite.mAgents.begin(), aSite.mAgents.end(), aCondition)) {
      return true;
    }
    std::this_thread::sleep_for(1ms);
  }
  return false;
}

void
Measure(int aCount, std::size_t aMaximumConcurrency, milliseconds aLoadTime)
{
  simulated_site site(aCount, aLoadTime);
  metrics::registry metrics;
  membership::directory_options directoryOptions;
  directoryOptions.mPlatform.mEndpoint = { "127.0.0.1", site.mListener.Port() };
  directoryOptions.mEntryIncarnation = "e";
  directoryOptions.mDigest = [] { return membership::configuration_digest{}; };
  membership::server_directory directory(directoryOptions);
  std::atomic<std::int64_t> version{ 1 };
  std::atomic<std::size_t> holding{ 0 };
  std::atomic<std::int64_t> observedVersion{ 0 };
  weights::roll_out_options options;
  options.mLimits.mMaximumConcurrency = aMaximumConcurrency;
  weights::roll_out_duty duty(
    options,
    directory,
    [&] {
      return std::vector<weights::pool_target>{ { kPool,
                                                  { "protokoll", version } } };
    },
    [](const std::string& aName) {
      return leases::held_lease{ aName, 1, boot_clock::now() + 1h };
    },
    [&](const weights::roll_out_progress& aProgress) {
      observedVersion = aProgress.mTarget.mTarget.mVersion;
      holding = aProgress.mHolding;
    },
    metrics);
  directory.Start();
  duty.Start();
  const auto allObserved = [&](const auto&) {
    return observedVersion == version &&
           holding == static_cast<std::size_t>(aCount);
  };
  if (!WaitForAll(site, allObserved)) {
    std::printf("%d,%zu,%lld,no start,,\n",
                aCount,
                aMaximumConcurrency,
                static_cast<long long>(aLoadTime.count()));
    return;
  }
  std::vector<round_times> rounds;
  for (int round = 0; round < kRounds; ++round) {
    round_times times;
    const auto start = boot_clock::now();
    ++version;
    const bool isOrdered = WaitForAll(
      site, [&](const auto& aAgent) { return aAgent->Ordered() == version; });
    times.mOrderedMs = MillisecondsSince(start);
    const bool isObserved = WaitForAll(site, allObserved);
    times.mObservedMs = MillisecondsSince(start);
    if (isOrdered && isObserved) {
      rounds.push_back(times);
    }
  }
  std::sort(rounds.begin(), rounds.end(), [](const auto& aOne, const auto& aB) {
    return aOne.mOrderedMs < aB.mOrderedMs;
  });
  if (!rounds.empty()) {
    const auto& median = rounds[rounds.size() / 2];
    std::printf("%d,%zu,%lld,%.0f,%.0f,%zu\n",
                aCount,
                aMaximumConcurrency,
                static_cast<long long>(aLoadTime.count()),
                median.mOrderedMs,
                median.mObservedMs,
                rounds.size());
  }
  std::fflush(stdout);
  duty.Stop();
  directory.Stop();
}

} // namespace

int
main()
{
  StartLog(log_level::Error);
  std::printf("agents,side_by_side,load_ms,all_ordered_ms,all_seen_ms,"
              "rounds\n");
  for (const int count : { 10, 40, 160 }) {
    Measure(count, 0, 0ms);
    Measure(count, 0, 1000ms);
    Measure(count, 4, 1000ms);
  }
  return 0;
}
