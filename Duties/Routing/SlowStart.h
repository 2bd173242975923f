#pragma once

#include "Libraries/Core/Clock.h"

#include <deque>

/** Slow start: a server that has just started is slow for some seconds and
 * crashes when it gets too many requests a second. The bound holds for the sum
 * over all entries, which don't know of each other's requests; so one
 * designated entry alone sends to a warming server. No I/O. */
namespace lavender::routing {

/** Times at which this entry sent requests to one server, oldest first, not
 * older than kSendWindow. */
struct send_window
{
  std::deque<time_point> mSentAt;
};

/** Length of the span for which requests are counted. */
constexpr milliseconds kSendWindow{ 1000 };

/** What an entry knows of a server that it wants to send a request to. */
struct slow_start_view
{
  /** Requests per second that a warming server bears, over all entries; 0 if
   * its pool has no limit. */
  double mRequestsPerSecond = 0;
  bool mIsWarming = false;
  /** Whether this entry is the one that sends to the server while it warms up.
   * Entries whose lists of entries differ may both take themselves for it. */
  bool mIsDesignated = false;
};

/** Returns how many requests this entry may send to the server within any
 * second.
 *
 * A warming server gets half of its limit from the designated entry, so that
 * two entries that both take themselves for it stay within the limit. A warm
 * one gets no more than the limit either, because it may have restarted without
 * this entry's knowledge. */
int
RequestsPerSecond(const slow_start_view& aView);

/** Returns how many requests this entry may send to the server now. */
int
RequestsLeft(const send_window& aWindow,
             const slow_start_view& aView,
             time_point aNow);

void
RecordSent(send_window& aWindow, time_point aNow);

} // namespace lavender::routing
