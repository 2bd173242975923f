#include "Duties/Billing/UsageCounts.h"

#include <algorithm>

namespace lavender::billing {

using namespace std::chrono_literals;

namespace {

/** Requests that began just before a window's end are counted when their
 * answer's head arrives, a few hundred ms later at most. */
constexpr milliseconds kFirstActs = 900ms;
/** Long enough for the one before to have fixed and sent its report, with one
 * repeat; four places fit into the ten seconds that a report may take. */
constexpr milliseconds kPlaceStep = 1900ms;
/** A report may be on its way for this long after its time was taken. */
constexpr milliseconds kTurnMargin = 500ms;

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
  while (aCounts.mWindows.size() > kKeptWindows) {
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
ReportDelay(std::size_t aPlace)
{
  return kFirstActs + kPlaceStep * static_cast<int>(aPlace);
}

milliseconds
TurnWait(time_point aLastActAt, time_point aNow, milliseconds aLease)
{
  const auto left = aLastActAt + aLease + kTurnMargin - aNow;
  return std::max(0ms, std::chrono::ceil<milliseconds>(left));
}

} // namespace lavender::billing
