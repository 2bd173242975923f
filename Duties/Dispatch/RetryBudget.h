#pragma once

#include "Libraries/Core/Clock.h"

#include <array>
#include <cstdint>

namespace lavender::dispatch {

/** Share of first attempts that may be retried. Without it, servers that
 * refuse under overload get each request several times over, which keeps
 * them overloaded. */
struct retry_budget_limits
{
  double mShare = 0.1;
  /** Retries allowed in a window whatever the share, so that an entry with
   * little traffic can go to another server at all. */
  std::int64_t mLeast = 10;
  /** Length of one of the window's parts. */
  milliseconds mPart{ 1000 };
};

/** Counts over a sliding window of ten parts. */
struct retry_budget
{
  struct part
  {
    std::int64_t mNumber = -1;
    std::int64_t mFirst = 0;
    std::int64_t mRetries = 0;
  };
  retry_budget_limits mLimits;
  std::array<part, 10> mParts;
};

/** Counts a call's first attempt. */
void
CountFirstAttempt(retry_budget& aBudget, time_point aNow);

/** Takes one retry out of the budget; false when it is used up. */
bool
TakeRetry(retry_budget& aBudget, time_point aNow);

} // namespace lavender::dispatch
