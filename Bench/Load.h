#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace lavender::bench {

/** What one customer sends in an open loop: arrivals don't wait for answers. */
struct customer_traffic
{
  std::string mName;
  double mPerSecond = 1;
  /** Tokens of an answer; one in twenty has five times as many. */
  int mTokens = 20;
  /** Different prompt beginnings, for prefix caches. */
  int mPrefixes = 8;
};

struct arrival
{
  std::chrono::nanoseconds mAt{ 0 };
  std::size_t mCustomer = 0;
  int mTokens = 0;
  std::string mPrompt;
};

/** How one request ended. */
struct served
{
  std::chrono::nanoseconds mAt{ 0 };
  std::chrono::nanoseconds mLatency{ 0 };
  /** How late the generator itself was. */
  std::chrono::nanoseconds mLateness{ 0 };
  std::size_t mCustomer = 0;
  int mTokens = 0;
  /** 0 without an answer. */
  int mStatus = 0;
  std::string mReason;
  std::int64_t mRetryAfter = 0;
};

/** Arrivals of all customers in order of time; the same for the same seed. */
std::vector<arrival>
MakeArrivals(const std::vector<customer_traffic>& aTraffic,
             std::chrono::milliseconds aFor,
             std::uint64_t aSeed);

/** A prompt with that many words after its prefix. */
std::string
MakePrompt(int aPrefix, int aWords);

using sender = std::function<served(std::size_t aIndex, const arrival&)>;

/** Sends each arrival at its time, however the earlier ones fare.
 * @param aThreads requests that can be under way at once */
std::vector<served>
RunOpenLoop(const std::vector<arrival>& aArrivals,
            std::size_t aThreads,
            const sender& aSend);

/** That many clients, each of which sends its next request when it has the
 * answer to the last. */
std::vector<served>
RunClosedLoop(std::size_t aClients,
              std::chrono::milliseconds aFor,
              const arrival& aRequest,
              const sender& aSend);

} // namespace lavender::bench
