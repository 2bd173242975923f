#pragma once

#include "Libraries/Core/Clock.h"

#include <cstdint>
#include <map>
#include <string>

/** Bills: how many requests of each customer began in each time window. */
namespace lavender::billing {

using customer_counts = std::map<std::string, std::int64_t>;
using window_number = std::int64_t;

/** Counts of the last windows, by window. */
struct usage_counts
{
  std::map<window_number, customer_counts> mWindows;
};

/** Windows kept for reports that an outage of the platform delays: five minutes
 * of windows of five seconds. A thousand customers active in each of them take
 * about five megabytes. */
constexpr std::size_t kKeptWindows = 60;

/** The window in which a moment lies, counted from the start of 1970. */
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

/** How long after its window's end an entry acts, by its place among the
 * entries. The first acts once the others' counts are complete; the next one
 * only when the first didn't, and in time for the report. */
milliseconds
ReportDelay(std::size_t aPlace);

/** How long an entry that finds another one's report in the record waits before
 * it acts itself; nothing when it may act now. Without the wait two entries
 * could take turns within the duration of a lease, as they do when one's note
 * that it reported is lost.
 * @param aLastActAt when this entry last reported, or started: an earlier life
 * may have reported just before */
milliseconds
TurnWait(time_point aLastActAt, time_point aNow, milliseconds aLease);

} // namespace lavender::billing
