#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace lavender::bench {

/** One customer's open-loop traffic: arrivals don't wait for responses. */
struct customer_traffic
{
  std::string mName;
  double mPerSecond = 1;
  /** Tokens of a response; one response in twenty has five times as many. */
  int mTokens = 20;
  /** Number of distinct prompt prefixes, which exercise the prefix caches. */
  int mPrefixes = 8;
};

struct arrival
{
  std::chrono::nanoseconds mAt{ 0 };
  std::size_t mCustomer = 0;
  int mTokens = 0;
  std::string mPrompt;
};

/** Outcome of one request. */
struct request_result
{
  std::chrono::nanoseconds mAt{ 0 };
  std::chrono::nanoseconds mLatency{ 0 };
  /** Delay of the load generator between the planned and the actual send. */
  std::chrono::nanoseconds mLateness{ 0 };
  std::size_t mCustomer = 0;
  int mTokens = 0;
  /** HTTP status; 0 if no response arrived. */
  int mStatus = 0;
  std::string mReason;
  std::int64_t mRetryAfter = 0;
};

/** Returns the arrivals of all customers in order of time. The same seed gives
 * the same arrivals. */
std::vector<arrival>
MakeArrivals(const std::vector<customer_traffic>& aTraffic,
             std::chrono::milliseconds aDuration,
             std::uint64_t aSeed);

/** Makes a prompt of a prefix and aWords words. */
std::string
MakePrompt(int aPrefix, int aWords);

using send_function =
  std::function<request_result(std::size_t aIndex, const arrival&)>;

/** Sends each arrival at its time without waiting for earlier responses.
 * @param aThreads maximum number of requests in flight */
std::vector<request_result>
RunOpenLoop(const std::vector<arrival>& aArrivals,
            std::size_t aThreads,
            const send_function& aSend);

/** Runs aClients clients, each of which sends its next request once it has the
 * response to its previous one. */
std::vector<request_result>
RunClosedLoop(std::size_t aClients,
              std::chrono::milliseconds aDuration,
              const arrival& aRequest,
              const send_function& aSend);

} // namespace lavender::bench
