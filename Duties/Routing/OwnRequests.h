#pragma once

#include "Libraries/Core/Clock.h"

#include <vector>

/** Which backend server gets a request. */
namespace lavender::routing {

/** What one entry sent to one server that the server's last report doesn't
 * show.
 *
 * A report lags. Adding every request in flight to it counts those twice that
 * it already shows, and an entry then shuns the servers that it uses most;
 * adding none lets a burst between two reports go to one server. So a request
 * counts when it left after the report was made, and one that the report
 * still shows is taken off once its answer is here. */
struct own_requests
{
  struct ended_request
  {
    time_point mSentAt;
    time_point mEndedAt;
  };

  /** When the last report was made, by this process's clock; a time before
   * which everything sent is shown in it. */
  time_point mReportedAt;
  /** Send times of requests without an answer. */
  std::vector<time_point> mInFlight;
  /** Requests that ended after the report was made. */
  std::vector<ended_request> mEnded;
  /** To add to the reported count: sent after the report, less ended after
   * it though shown in it. Kept so that a decision needs no loop. */
  int mCorrection = 0;
};

void
RecordSent(own_requests& aOwn, time_point aNow);

/** @param aSentAt what RecordSent was told for this request */
void
RecordEnd(own_requests& aOwn, time_point aSentAt, time_point aNow);

/** @param aMadeAt when the report was made, or earlier */
void
TakeReportTime(own_requests& aOwn, time_point aMadeAt);

} // namespace lavender::routing
