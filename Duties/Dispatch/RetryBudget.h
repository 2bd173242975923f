#pragma once

#include "Libraries/Core/Clock.h"

#include <array>
#include <cstdint>

namespace lavender::dispatch {

/** Limits retries to a ratio of first attempts. Without such a limit, servers
 * that refuse requests because of overload would get each request several
 * times, which would keep them overloaded. */
struct retry_budget_limits
{
  double mRatio = 0.1;
  /** Retries allowed per window regardless of the ratio, so that an entry with
   * little traffic can retry at all. */
  std::int64_t mMinimumRetries = 10;
  /** Length of each of the ten parts of the window. */
  milliseconds mPartLength{ 1000 };
};

/** Counts of attempts in a sliding window of ten parts. */
struct retry_budget
{
  struct part
  {
    std::int64_t mNumber = -1;
    std::int64_t mFirstAttempts = 0;
    std::int64_t mRetries = 0;
  };
  retry_budget_limits mLimits;
  std::array<part, 10> mParts;
};

void
CountFirstAttempt(retry_budget& aBudget, time_point aNow);

/** Consumes one retry of the budget; false if the budget is used up. */
bool
TryConsumeRetry(retry_budget& aBudget, time_point aNow);

} // namespace lavender::dispatch
