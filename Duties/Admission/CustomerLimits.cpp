#include "Duties/Admission/CustomerLimits.h"

#include <algorithm>
#include <cmath>

namespace lavender::admission {
namespace {

using namespace std::chrono_literals;

constexpr milliseconds kConcurrencyRetryAfter = 500ms;

/** Seconds of the rate that may be spent at once. */
constexpr double kBurstSeconds = 2;

void
FillBucket(customer_usage& aUsage, double aRate, time_point aNow)
{
  const double most = std::max(1.0, aRate * kBurstSeconds);
  if (aUsage.mIsFirst) {
    aUsage.mBucket = most;
    aUsage.mIsFirst = false;
  } else {
    const double seconds =
      std::chrono::duration<double>(aNow - aUsage.mFilledAt).count();
    aUsage.mBucket = std::min(most, aUsage.mBucket + seconds * aRate);
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
    const double part = std::max(
      std::floor(static_cast<double>(aCustomer.mMaximumConcurrent) * aShare),
      1.0);
    if (static_cast<double>(usage.mUnderWay) >= part) {
      return { false, "customer_concurrency", kConcurrencyRetryAfter };
    }
  }
  if (aCustomer.mRequestsPerSecond > 0) {
    const double rate = aCustomer.mRequestsPerSecond * aShare;
    FillBucket(usage, rate, aNow);
    if (usage.mBucket < 1) {
      const double wait = (1 - usage.mBucket) / rate;
      return { false,
               "customer_rate",
               milliseconds(static_cast<std::int64_t>(wait * 1000) + 1) };
    }
    usage.mBucket -= 1;
  }
  ++usage.mUnderWay;
  return { true, "", 0ms };
}

void
ReleaseRequest(customer_limit_state& aState, const std::string& aCustomer)
{
  auto& usage = aState.mCustomers[aCustomer];
  usage.mUnderWay = std::max<std::int64_t>(usage.mUnderWay - 1, 0);
}

} // namespace lavender::admission
