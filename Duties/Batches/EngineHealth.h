#pragma once

#include "Duties/Routing/Breaker.h"

#include <map>
#include <string>

namespace lavender::batches {

/** Servers that live send an event, or the first one of a run, within this
 * time. One that is silent for longer gets no more runs until it sends an
 * event: it may have stopped. */
constexpr milliseconds kUsualSilence{ 500 };
/** A server that answered within this time is taken to run when a run is stored
 * for it. */
constexpr milliseconds kKnownToRunTime{ 1000 };

/** Failure rate of one model server, as observed in its runs. */
struct engine_health
{
  routing::breaker mBreaker;
};

using engine_healths = std::map<std::string, engine_health>;

/** Limits of the circuit breaker for runs. A failed run costs its item an
 * attempt, so the breaker has to open for a server that fails two runs in
 * five. */
routing::breaker_limits
RunBreakerLimits();

/** Whether the server may get runs. False while its circuit breaker is open,
 * unless more than half of the servers have an open breaker: the cause is then
 * unlikely to be the servers, and all of them may be used. */
bool
IsUsable(const engine_healths& aHealths,
         const std::string& aServer,
         std::size_t aServers,
         time_point aNow);

} // namespace lavender::batches
