#pragma once

#include "Duties/Routing/Breaker.h"

#include <map>
#include <string>

namespace lavender::batches {

/** What the runs on one model server show of its speed and soundness. */
struct engine_health
{
  /** Mean time between two events of a run, newest counting most; 0 while too
   * few were seen. */
  double mEventMilliseconds = 0;
  int mEvents = 0;
  routing::breaker mBreaker;
};

using engine_healths = std::map<std::string, engine_health>;

/** A server that fails this share of its runs gets few more: a run that fails
 * costs its item an attempt, so a server that fails two in five must go. */
routing::breaker_limits
RunBreakerLimits();

void
NoteEvent(engine_health& aHealth, milliseconds aSinceLast);

/** Time between events of the usual server; 0 while unknown. The median: a few
 * slow servers don't move it. */
double
UsualEventTime(const engine_healths& aHealths);

/** True for a server that is so much slower than the usual one that moving a
 * run away pays: a busy server is 1.4 times slower than an idle one, and
 * reading a run's tokens again takes a few ms. */
bool
IsSlow(const engine_health& aHealth, double aUsual);

/** False while the server's failures say that it should get no run. When more
 * than half of the servers fail, the cause is hardly theirs, and all may. */
bool
MayUse(const engine_healths& aHealths,
       const std::string& aServer,
       std::size_t aServers,
       time_point aNow);

} // namespace lavender::batches
