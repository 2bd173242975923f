#pragma once

#include "Libraries/Core/Clock.h"

#include <map>
#include <optional>
#include <string>
#include <utility>

namespace lavender::admission {

/** How often the agents of a pool accepted or refused one customer's requests
 * recently. */
struct back_pressure
{
  /** Exponentially decayed counts of requests that agents accepted, that agents
   * refused, and that this entry refused. A request still in flight isn't
   * counted, so that a burst after an idle period doesn't look like refusals.
   */
  double mAccepted = 0;
  double mRefusedByAgents = 0;
  double mRefusedLocally = 0;
  time_point mDecayedAt;
  /** When the agents allow a retry. */
  time_point mRetryAt;
};

struct back_pressure_limits
{
  /** Half-life of the exponential decay of the counts. It also bounds how long
   * requests are refused after an overload has ended. */
  milliseconds mHalfLife{ 1000 };
  /** Requests sent per accepted request. Above 1, so that agents don't run out
   * of work and the end of an overload is noticed. */
  double mHeadroom = 1.5;
  milliseconds mMinimumRetryAfter{ 200 };
};

/** By pool and customer. */
using back_pressure_map =
  std::map<std::pair<std::string, std::string>, back_pressure>;

/** Decides whether this entry refuses a request before dispatching it.
 *
 * During an overload each refused request would cost messages to several
 * agents, and handling refusals would take time from useful work. The entry
 * therefore refuses a customer's requests in the proportion in which the agents
 * refuse them. Agents refuse by fair share, so a customer below its share isn't
 * refused because of the load of other customers.
 * @param aDraw uniformly distributed in [0, 1)
 * @return time until a retry makes sense if the request is refused */
std::optional<milliseconds>
CheckBackPressure(back_pressure_map& aPressures,
                  const std::string& aPool,
                  const std::string& aCustomer,
                  const back_pressure_limits& aLimits,
                  double aDraw,
                  time_point aNow);

/** Records how a dispatched request ended.
 * @param aRetryAfter the agent's retry time if it refused the request for lack
 *   of capacity; none if it accepted the request */
void
RecordOutcome(back_pressure_map& aPressures,
              const std::string& aPool,
              const std::string& aCustomer,
              std::optional<milliseconds> aRetryAfter,
              const back_pressure_limits& aLimits,
              time_point aNow);

/** Removes customers without recent requests. */
void
RemoveIdle(back_pressure_map& aPressures, time_point aNow);

} // namespace lavender::admission
