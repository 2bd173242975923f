#pragma once

#include "Libraries/Core/Clock.h"

#include <cstdint>
#include <map>
#include <string>

/** Billing by the number of requests of each customer that started in each time
 * window. */
namespace lavender::billing {

using customer_counts = std::map<std::string, std::int64_t>;
using window_number = std::int64_t;

/** Counts of the most recent windows. */
struct usage_counts
{
  std::map<window_number, customer_counts> mWindows;
};

/** Number of windows that are retained for reports delayed by an outage of the
 * platform: five minutes at five seconds a window. With a thousand active
 * customers in each window they take about five megabytes. */
constexpr std::size_t kRetainedWindows = 60;

/** Returns the number of the window that contains aTime; window 0 starts at the
 * Unix epoch. */
window_number
WindowAt(std::chrono::system_clock::time_point aTime, milliseconds aLength);

std::chrono::system_clock::time_point
EndOf(window_number aWindow, milliseconds aLength);

void
CountStart(usage_counts& aCounts,
           const std::string& aCustomer,
           window_number aWindow);

void
AddCounts(customer_counts& aSum, const customer_counts& aMore);

/** Returns how long after the end of a window an entry tries to report it, by
 * its rank among the entries. The entry of rank 0 starts when the counts of all
 * entries are complete. Each further one starts late enough that the previous
 * one has finished if it works, and early enough for the report's deadline. */
milliseconds
ReportDelay(std::size_t aRank);

/** Returns how long an entry must wait before it takes over a record that
 * another entry holds; zero when it may take over now. Without the wait two
 * entries could alternate as the reporter within the duration of a lease, which
 * happens when the write that marks a window as sent is lost.
 * @param aLastReportAt when this entry last sent a report, or started, because
 * its previous incarnation may have sent one just before */
milliseconds
TakeoverDelay(time_point aLastReportAt, time_point aNow, milliseconds aLease);

} // namespace lavender::billing
