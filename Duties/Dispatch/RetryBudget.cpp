#include "Duties/Dispatch/RetryBudget.h"

#include <algorithm>

namespace lavender::dispatch {
namespace {

std::int64_t
PartNumber(const retry_budget& aBudget, time_point aNow)
{
  return aNow.time_since_epoch() / aBudget.mLimits.mPartLength;
}

/** Returns the part with that number, and resets it if it still has the counts
 * of an earlier window. */
retry_budget::part&
PartAt(retry_budget& aBudget, std::int64_t aNumber)
{
  auto& part =
    aBudget.mParts[static_cast<std::size_t>(aNumber) % aBudget.mParts.size()];
  if (part.mNumber != aNumber) {
    part = { aNumber, 0, 0 };
  }
  return part;
}

} // namespace

void
CountFirstAttempt(retry_budget& aBudget, time_point aNow)
{
  ++PartAt(aBudget, PartNumber(aBudget, aNow)).mFirstAttempts;
}

bool
TryConsumeRetry(retry_budget& aBudget, time_point aNow)
{
  const auto number = PartNumber(aBudget, aNow);
  auto& current = PartAt(aBudget, number);
  const auto window = static_cast<std::int64_t>(aBudget.mParts.size());
  std::int64_t first = 0;
  std::int64_t retries = 0;
  for (const auto& part : aBudget.mParts) {
    if (part.mNumber > number - window) {
      first += part.mFirstAttempts;
      retries += part.mRetries;
    }
  }
  const auto allowed =
    std::max(aBudget.mLimits.mMinimumRetries,
             static_cast<std::int64_t>(aBudget.mLimits.mRatio *
                                       static_cast<double>(first)));
  if (retries >= allowed) {
    return false;
  }
  ++current.mRetries;
  return true;
}

} // namespace lavender::dispatch
