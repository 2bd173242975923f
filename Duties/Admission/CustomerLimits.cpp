#include "Duties/Admission/CustomerLimits.h"

#include <algorithm>
#include <cmath>

namespace lavender::admission {
namespace {

using namespace std::chrono_literals;

constexpr milliseconds kConcurrencyRetryAfter = 500ms;

/** Capacity of the token bucket, in seconds of the customer's rate. */
constexpr double kBurstSeconds = 2;

void
RefillBucket(customer_usage& aUsage, double aRate, time_point aNow)
{
  const double capacity = std::max(1.0, aRate * kBurstSeconds);
  if (aUsage.mIsNew) {
    aUsage.mRateTokens = capacity;
    aUsage.mIsNew = false;
  } else {
    const double seconds =
      std::chrono::duration<double>(aNow - aUsage.mFilledAt).count();
    aUsage.mRateTokens =
      std::min(capacity, aUsage.mRateTokens + seconds * aRate);
  }
  aUsage.mFilledAt = aNow;
}

} // namespace

admission_decision
AdmitRequest(customer_limit_state& aState,
             const configuration::customer& aCustomer,
             double aShare,
             time_point aNow)
{
  auto& usage = aState.mCustomers[aCustomer.mName];
  if (aCustomer.mMaximumConcurrent > 0) {
    const double limit = std::max(
      std::floor(static_cast<double>(aCustomer.mMaximumConcurrent) * aShare),
      1.0);
    if (static_cast<double>(usage.mInFlight) >= limit) {
      return { false, "customer_concurrency", kConcurrencyRetryAfter };
    }
  }
  if (aCustomer.mRequestsPerSecond > 0) {
    const double rate = aCustomer.mRequestsPerSecond * aShare;
    RefillBucket(usage, rate, aNow);
    if (usage.mRateTokens < 1) {
      const double wait = (1 - usage.mRateTokens) / rate;
      return { false,
               "customer_rate",
               milliseconds(static_cast<std::int64_t>(wait * 1000) + 1) };
    }
    usage.mRateTokens -= 1;
  }
  ++usage.mInFlight;
  return { true, "", 0ms };
}

void
ReleaseRequest(customer_limit_state& aState, const std::string& aCustomer)
{
  auto& usage = aState.mCustomers[aCustomer];
  usage.mInFlight = std::max<std::int64_t>(usage.mInFlight - 1, 0);
}

} // namespace lavender::admission
