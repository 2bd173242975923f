#include "Bench/Experiments.h"
#include "Bench/Results.h"
#include "Bench/Site.h"

#include <algorithm>
#include <iostream>

namespace lavender::bench {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kThreads = 1024;
constexpr int kCustomers = 8;
constexpr auto kNormalTime = 8s;
constexpr double kNormalLoad = 0.7;
constexpr double kOverload = 2;

std::vector<arrival>
MakePhase(double aPerSecond,
          std::chrono::milliseconds aFrom,
          std::chrono::milliseconds aDuration,
          std::uint64_t aSeed)
{
  std::vector<customer_traffic> traffic;
  for (int i = 0; i < kCustomers; ++i) {
    traffic.push_back(
      { "customer-" + std::to_string(i), aPerSecond / kCustomers, 20, 8 });
  }
  auto arrivals = MakeArrivals(traffic, aDuration, aSeed);
  for (auto& one : arrivals) {
    one.mAt += aFrom;
  }
  return arrivals;
}

struct capacity
{
  double mRequests = 0;
  double mTokens = 0;
};

/** Measures the requests and tokens served per second with all slots busy, on
 * the same mix of requests. */
capacity
MeasureCapacity(site& aSite, std::uint64_t aSeed)
{
  const auto requests = MakePhase(50, 0ms, 20s, aSeed);
  constexpr std::chrono::milliseconds kMeasured = 8s;
  const auto results =
    RunClosedLoop(72, kMeasured, {}, [&](std::size_t aIndex, const arrival&) {
      const auto& request = requests[aIndex % requests.size()];
      auto result = aSite.Send(aIndex, request);
      result.mTokens = request.mTokens;
      return result;
    });
  capacity sum;
  for (const auto& one : results) {
    if (one.mStatus == 200 && one.mAt + one.mLatency < kMeasured) {
      sum.mRequests += 1;
      sum.mTokens += one.mTokens;
    }
  }
  const double seconds = std::chrono::duration<double>(kMeasured).count();
  return { sum.mRequests / seconds, sum.mTokens / seconds };
}

struct second_result
{
  int mSent = 0;
  int mGood = 0;
  int mGoodTokens = 0;
  int mRefused = 0;
  int mFailed = 0;
  int mWithoutRetryAfter = 0;
  std::vector<std::chrono::nanoseconds> mLatencies;
  std::vector<std::chrono::nanoseconds> mRefusals;
};

/** Counts requests by the second in which they were sent, and responses by the
 * second in which they arrived. */
std::vector<second_result>
SummariseBySecond(const std::vector<request_result>& aResults,
                  std::chrono::seconds aDuration)
{
  std::vector<second_result> seconds(
    static_cast<std::size_t>(aDuration.count()) + 1);
  const auto at = [&](std::chrono::nanoseconds aTime) -> second_result& {
    const auto index =
      std::chrono::duration_cast<std::chrono::seconds>(aTime).count();
    return seconds[std::min(static_cast<std::size_t>(index),
                            seconds.size() - 1)];
  };
  for (const auto& one : aResults) {
    ++at(one.mAt).mSent;
    auto& ended = at(one.mAt + one.mLatency);
    if (one.mStatus == 200) {
      ++ended.mGood;
      ended.mGoodTokens += one.mTokens;
      ended.mLatencies.push_back(one.mLatency);
    } else if (one.mStatus == 503 || one.mStatus == 429) {
      ++ended.mRefused;
      ended.mRefusals.push_back(one.mLatency);
      ended.mWithoutRetryAfter += one.mRetryAfter == 0 ? 1 : 0;
    } else {
      ++ended.mFailed;
    }
  }
  return seconds;
}

} // namespace

void
RunOverload(const experiment_options& aOptions)
{
  csv_file file(aOptions.mFolder + "/overload.csv",
                { "second",
                  "sent",
                  "good",
                  "refused",
                  "failed",
                  "refusals_without_retry_after",
                  "p99_ms",
                  "refusal_p99_ms" });
  site site({});
  const auto capacity = MeasureCapacity(site, aOptions.mSeed);
  std::vector<arrival> arrivals;
  const std::chrono::milliseconds over = aOptions.mDuration;
  for (const auto& phase :
       { MakePhase(
           capacity.mRequests * kNormalLoad, 0ms, kNormalTime, aOptions.mSeed),
         MakePhase(capacity.mRequests * kOverload,
                   kNormalTime,
                   over,
                   aOptions.mSeed + 1),
         MakePhase(capacity.mRequests * kNormalLoad,
                   kNormalTime + over,
                   kNormalTime,
                   aOptions.mSeed + 2) }) {
    arrivals.insert(arrivals.end(), phase.begin(), phase.end());
  }
  const auto results = RunOpenLoop(
    arrivals, kThreads, [&](std::size_t aIndex, const arrival& aArrival) {
      return site.Send(aIndex, aArrival);
    });
  const auto total = aOptions.mDuration + 2 * kNormalTime;
  const auto seconds = SummariseBySecond(results, total);
  for (std::size_t i = 0; i < seconds.size(); ++i) {
    const auto& one = seconds[i];
    file.WriteRow({ std::to_string(i),
                    std::to_string(one.mSent),
                    std::to_string(one.mGood),
                    std::to_string(one.mRefused),
                    std::to_string(one.mFailed),
                    std::to_string(one.mWithoutRetryAfter),
                    Format(Percentile(one.mLatencies, 0.99)),
                    Format(Percentile(one.mRefusals, 0.99)) });
  }
  int good = 0;
  int goodTokens = 0;
  std::vector<std::chrono::nanoseconds> refusals;
  std::vector<std::chrono::nanoseconds> lateness;
  for (auto i = kNormalTime.count() + 1;
       i < kNormalTime.count() + aOptions.mDuration.count();
       ++i) {
    const auto& one = seconds[static_cast<std::size_t>(i)];
    good += one.mGood;
    goodTokens += one.mGoodTokens;
    refusals.insert(refusals.end(), one.mRefusals.begin(), one.mRefusals.end());
  }
  for (const auto& one : results) {
    lateness.push_back(one.mLateness);
  }
  const auto measured = static_cast<double>(aOptions.mDuration.count() - 1);
  csv_file summary(aOptions.mFolder + "/overload-summary.csv",
                   { "capacity_per_second",
                     "goodput_per_second",
                     "goodput_share",
                     "goodput_share_in_tokens",
                     "refusal_p50_ms",
                     "refusal_p99_ms",
                     "generator_late_p99_ms" });
  summary.WriteRow({ Format(capacity.mRequests),
                     Format(good / measured),
                     Format(good / measured / capacity.mRequests),
                     Format(goodTokens / measured / capacity.mTokens),
                     Format(Percentile(refusals, 0.5)),
                     Format(Percentile(refusals, 0.99)),
                     Format(Percentile(lateness, 0.99)) });
}

} // namespace lavender::bench
