#include "Bench/Load.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <random>
#include <thread>

namespace lavender::bench {
namespace {

using clock = std::chrono::steady_clock;

constexpr double kTailShare = 0.05;
constexpr int kTailFactor = 5;

void
RunThreads(std::size_t aThreads, const std::function<void()>& aWork)
{
  std::vector<std::thread> threads;
  for (std::size_t i = 0; i < aThreads; ++i) {
    threads.emplace_back(aWork);
  }
  for (auto& thread : threads) {
    thread.join();
  }
}

} // namespace

std::string
MakePrompt(int aPrefix, int aWords)
{
  std::string prompt =
    "document-" + std::to_string(aPrefix) + " " + std::string(64, 'd');
  for (int i = 0; i < aWords; ++i) {
    prompt += " w";
  }
  return prompt;
}

std::vector<arrival>
MakeArrivals(const std::vector<customer_traffic>& aTraffic,
             std::chrono::milliseconds aDuration,
             std::uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  std::uniform_real_distribution<double> uniform(0, 1);
  std::vector<arrival> arrivals;
  for (std::size_t i = 0; i < aTraffic.size(); ++i) {
    const auto& traffic = aTraffic[i];
    std::exponential_distribution<double> gap(traffic.mPerSecond);
    std::uniform_int_distribution<int> prefix(0, traffic.mPrefixes - 1);
    std::chrono::duration<double> at(gap(random));
    while (at < aDuration) {
      const bool isTail = uniform(random) < kTailShare;
      const int tokens = traffic.mTokens * (isTail ? kTailFactor : 1);
      const int document = static_cast<int>(i) * 1000 + prefix(random);
      arrivals.push_back(
        { std::chrono::duration_cast<std::chrono::nanoseconds>(at),
          i,
          tokens,
          MakePrompt(document, tokens) });
      at += std::chrono::duration<double>(gap(random));
    }
  }
  std::stable_sort(arrivals.begin(),
                   arrivals.end(),
                   [](const arrival& aLeft, const arrival& aRight) {
                     return aLeft.mAt < aRight.mAt;
                   });
  return arrivals;
}

std::vector<request_result>
RunOpenLoop(const std::vector<arrival>& aArrivals,
            std::size_t aThreads,
            const send_function& aSend)
{
  std::vector<request_result> results(aArrivals.size());
  std::atomic<std::size_t> next{ 0 };
  const auto start = clock::now();
  RunThreads(aThreads, [&] {
    while (true) {
      const auto index = next++;
      if (index >= aArrivals.size()) {
        return;
      }
      const auto& arrival = aArrivals[index];
      std::this_thread::sleep_until(start + arrival.mAt);
      const auto sentAt = clock::now();
      auto result = aSend(index, arrival);
      result.mLatency = clock::now() - sentAt;
      result.mAt = arrival.mAt;
      result.mLateness = sentAt - start - arrival.mAt;
      result.mCustomer = arrival.mCustomer;
      result.mTokens = arrival.mTokens;
      results[index] = std::move(result);
    }
  });
  return results;
}

std::vector<request_result>
RunClosedLoop(std::size_t aClients,
              std::chrono::milliseconds aDuration,
              const arrival& aRequest,
              const send_function& aSend)
{
  std::vector<request_result> results;
  std::mutex mutex;
  std::atomic<std::size_t> next{ 0 };
  const auto start = clock::now();
  RunThreads(aClients, [&] {
    std::vector<request_result> own;
    while (clock::now() - start < aDuration) {
      const auto sentAt = clock::now();
      auto result = aSend(next++, aRequest);
      result.mLatency = clock::now() - sentAt;
      result.mAt = sentAt - start;
      own.push_back(std::move(result));
    }
    std::lock_guard lock(mutex);
    results.insert(results.end(), own.begin(), own.end());
  });
  return results;
}

} // namespace lavender::bench
