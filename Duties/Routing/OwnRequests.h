#pragma once

#include "Libraries/Core/Clock.h"

#include <deque>
#include <vector>

/** Load balancing: selects the backend server for a request. */
namespace lavender::routing {

/** Maximum time from the generation of a report to its arrival. A server whose
 * last report is a few seconds old gets no requests, so none takes as long. */
constexpr milliseconds kLongestReportDelay{ 10'000 };

/** Corrects the request count in a server's last load report by the requests
 * that this entry itself has sent to the server.
 *
 * Load reports are delayed. Adding all requests in flight to the reported count
 * would count some of them twice and make the entry avoid the servers that it
 * uses most; adding none would send a whole burst between two reports to one
 * server. Therefore a request sent after the report was generated is added, and
 * a request that the report includes is subtracted once it has ended. */
struct own_requests
{
  struct ended_request
  {
    time_point mSentAt;
    time_point mEndedAt;
  };

  /** When the last report was generated, by the clock of this process. The
   * report includes every request sent up to this time. */
  time_point mReportedAt;
  /** Send times of the requests that haven't ended. */
  std::vector<time_point> mInFlight;
  /** Requests that ended after the report was generated, in the order of their
   * ends. Those that ended longer than kLongestReportDelay ago are dropped: a
   * server that sends no reports would keep all of them. */
  std::deque<ended_request> mEnded;
  /** To be added to the reported count: requests in flight that were sent after
   * the report, minus requests that the report includes and that have ended
   * since. Updated incrementally, so that server selection needs no loop. */
  int mCorrection = 0;
};

void
RecordSent(own_requests& aOwn, time_point aNow);

/** @param aSentAt time passed to RecordSent for this request */
void
RecordEnd(own_requests& aOwn, time_point aSentAt, time_point aNow);

/** Applies a newer report's time and recomputes the correction.
 * @param aMadeAt when the report was generated, or an earlier time */
void
ApplyReportTime(own_requests& aOwn, time_point aMadeAt);

} // namespace lavender::routing
