#pragma once

#include "Duties/Routing/Breaker.h"

#include <map>
#include <string>

namespace lavender::batches {

/** Speed and failure rate of one model server, as observed in its runs. */
struct engine_health
{
  /** Moving average of the time between two events of a run, in ms, weighted
   * towards recent events; 0 before the first. */
  double mEventMilliseconds = 0;
  int mEvents = 0;
  routing::breaker mBreaker;
};

using engine_healths = std::map<std::string, engine_health>;

/** Limits of the circuit breaker for runs. A failed run costs its item an
 * attempt, so the breaker has to open for a server that fails two runs in
 * five. */
routing::breaker_limits
RunBreakerLimits();

void
RecordEvent(engine_health& aHealth, milliseconds aSinceLast);

/** Median time between events over all servers, in ms; 0 if unknown. The median
 * is insensitive to a few slow servers. */
double
MedianEventTime(const engine_healths& aHealths);

/** Whether the server is so much slower than the median that moving a run to
 * another server pays off. For comparison: a busy server is 1.4 times slower
 * than an idle one, and processing a run's tokens again takes a few ms. */
bool
IsSlow(const engine_health& aHealth, double aMedian);

/** Whether the server may get runs. False while its circuit breaker is open,
 * unless more than half of the servers have an open breaker: the cause is then
 * unlikely to be the servers, and all of them may be used. */
bool
IsUsable(const engine_healths& aHealths,
         const std::string& aServer,
         std::size_t aServers,
         time_point aNow);

} // namespace lavender::batches
