#include "Bench/Experiments.h"
#include "Bench/Results.h"
#include "Bench/Site.h"

namespace lavender::bench {
namespace {

constexpr std::size_t kThreads = 512;
/** Offered load as a share of the capacity with all servers healthy. */
constexpr double kLoad = 0.5;
constexpr double kCapacity = 150;
constexpr int kSlowFactor = 5;
constexpr int kPerToken = 10000;
constexpr int kPrefill = 100;

struct scenario
{
  const char* mName;
  const char* mFault;
  json::value mSetting;
};

} // namespace

void
RunRouting(const experiment_options& aOptions)
{
  csv_file file(aOptions.mFolder + "/routing.csv",
                { "scenario",
                  "policy",
                  "sent",
                  "served",
                  "errors",
                  "p50_ms",
                  "p99_ms",
                  "prefix_hit_share" });
  std::vector<customer_traffic> traffic;
  for (int i = 0; i < 8; ++i) {
    traffic.push_back(
      { "customer-" + std::to_string(i), kCapacity * kLoad / 8, 20, 20 });
  }
  const auto arrivals =
    MakeArrivals(traffic, aOptions.mDuration, aOptions.mSeed);
  const scenario scenarios[] = {
    { "all well", "per_token_us", kPerToken },
    { "one five times slower", "per_token_us", kPerToken * kSlowFactor },
    { "one fails at once", "fail_fast", true }
  };
  for (const auto& scenario : scenarios) {
    for (const char* policy : { "random", "round-robin", "two-choices" }) {
      site_options options;
      options.mRoutingPolicy = policy;
      options.mPrefillMilliseconds = kPrefill;
      site site(options);
      site.SetFault(0, scenario.mFault, scenario.mSetting);
      const auto results = RunOpenLoop(
        arrivals, kThreads, [&](std::size_t aIndex, const arrival& aArrival) {
          return site.Send(aIndex, aArrival);
        });
      std::vector<std::chrono::nanoseconds> latencies;
      for (const auto& one : results) {
        if (one.mStatus == 200) {
          latencies.push_back(one.mLatency);
        }
      }
      file.WriteRow({ scenario.mName,
                      policy,
                      std::to_string(results.size()),
                      std::to_string(latencies.size()),
                      std::to_string(results.size() - latencies.size()),
                      Format(Percentile(latencies, 0.5)),
                      Format(Percentile(latencies, 0.99)),
                      Format(site.PrefixHitShare()) });
    }
  }
}

} // namespace lavender::bench
