#include "Duties/Billing/UsageCounts.h"

#include <algorithm>

namespace lavender::billing {

using namespace std::chrono_literals;

namespace {

/** A request that started just before the end of a window is counted when the
 * head of its response arrives, a few hundred ms later at most. */
constexpr milliseconds kFirstReportDelay = 900ms;
/** Time for the entry of the previous rank to store and send its report,
 * including one retry. Four ranks fit into the ten seconds within which a
 * report must be sent. */
constexpr milliseconds kDelayPerRank = 1900ms;
/** Maximum time in transit of a report after its send time was recorded. */
constexpr milliseconds kTransitMargin = 500ms;

} // namespace

window_number
WindowAt(std::chrono::system_clock::time_point aTime, milliseconds aLength)
{
  return std::chrono::duration_cast<milliseconds>(aTime.time_since_epoch()) /
         aLength;
}

std::chrono::system_clock::time_point
EndOf(window_number aWindow, milliseconds aLength)
{
  return std::chrono::system_clock::time_point(aLength * (aWindow + 1));
}

void
CountStart(usage_counts& aCounts,
           const std::string& aCustomer,
           window_number aWindow)
{
  ++aCounts.mWindows[aWindow][aCustomer];
  while (aCounts.mWindows.size() > kRetainedWindows) {
    aCounts.mWindows.erase(aCounts.mWindows.begin());
  }
}

void
AddCounts(customer_counts& aSum, const customer_counts& aMore)
{
  for (const auto& [customer, count] : aMore) {
    aSum[customer] += count;
  }
}

milliseconds
ReportDelay(std::size_t aRank)
{
  return kFirstReportDelay + kDelayPerRank * static_cast<int>(aRank);
}

milliseconds
TakeoverDelay(time_point aLastReportAt, time_point aNow, milliseconds aLease)
{
  const auto left = aLastReportAt + aLease + kTransitMargin - aNow;
  return std::max(0ms, std::chrono::ceil<milliseconds>(left));
}

} // namespace lavender::billing
