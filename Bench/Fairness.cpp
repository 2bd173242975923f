#include "Bench/Experiments.h"
#include "Bench/Results.h"
#include "Bench/Site.h"

#include <algorithm>

namespace lavender::bench {
namespace {

constexpr std::size_t kThreads = 768;
/** Requests per second that 9 servers of 4 slots can serve at 10 ms per token
 * and 24 tokens per request on average (20, one request in twenty 100). */
constexpr double kCapacity = 150;
constexpr int kCustomers = 8;

struct customer_result
{
  std::vector<std::chrono::nanoseconds> mLatencies;
  std::size_t mSent = 0;
  std::size_t mRefused = 0;
  std::size_t mFailed = 0;
  std::size_t mWithoutRetryAfter = 0;
};

std::vector<customer_result>
SummariseByCustomer(const std::vector<request_result>& aResults)
{
  std::vector<customer_result> accounts(kCustomers);
  for (const auto& one : aResults) {
    auto& account = accounts[one.mCustomer];
    ++account.mSent;
    if (one.mStatus == 200) {
      account.mLatencies.push_back(one.mLatency);
    } else if (one.mStatus == 503 || one.mStatus == 429) {
      ++account.mRefused;
      account.mWithoutRetryAfter += one.mRetryAfter == 0 ? 1 : 0;
    } else {
      ++account.mFailed;
    }
  }
  return accounts;
}

} // namespace

void
RunFairness(const experiment_options& aOptions)
{
  csv_file file(aOptions.mFolder + "/fairness.csv",
                { "policy",
                  "customer",
                  "offered_of_share",
                  "sent",
                  "served",
                  "refused",
                  "failed",
                  "refusals_without_retry_after",
                  "p50_ms",
                  "p99_ms" });
  std::vector<customer_traffic> traffic;
  for (int i = 0; i < kCustomers; ++i) {
    const double share = kCapacity / kCustomers;
    traffic.push_back(
      { "customer-" + std::to_string(i), share * (i == 0 ? 10 : 0.5), 20, 8 });
  }
  const auto arrivals =
    MakeArrivals(traffic, aOptions.mDuration, aOptions.mSeed);
  for (const char* policy : { "first-come", "fair" }) {
    site_options options;
    options.mQueuePolicy = policy;
    site site(options);
    const auto accounts = SummariseByCustomer(RunOpenLoop(
      arrivals, kThreads, [&](std::size_t aIndex, const arrival& aArrival) {
        return site.Send(aIndex, aArrival);
      }));
    for (std::size_t i = 0; i < accounts.size(); ++i) {
      const auto& one = accounts[i];
      file.WriteRow({ policy,
                      traffic[i].mName,
                      i == 0 ? "10" : "0.5",
                      std::to_string(one.mSent),
                      std::to_string(one.mLatencies.size()),
                      std::to_string(one.mRefused),
                      std::to_string(one.mFailed),
                      std::to_string(one.mWithoutRetryAfter),
                      Format(Percentile(one.mLatencies, 0.5)),
                      Format(Percentile(one.mLatencies, 0.99)) });
    }
  }
}

} // namespace lavender::bench
