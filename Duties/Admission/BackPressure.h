#pragma once

#include "Libraries/Core/Clock.h"

#include <map>
#include <optional>
#include <string>
#include <utility>

namespace lavender::admission {

/** How the agents of a pool have taken one customer's requests of late. */
struct pressure
{
  /** Requests that agents took in or refused, and those refused here; newest
   * count most. One still under way counts nowhere: a burst after a rest must
   * not look like a refusal. */
  double mTaken = 0;
  double mRefusedThere = 0;
  double mRefusedHere = 0;
  time_point mCountedAt;
  /** When the agents said to come back. */
  time_point mRetryAt;
};

struct pressure_limits
{
  /** Evidence this old counts half. It also bounds how long refusals go on
   * after the overload is over. */
  milliseconds mHalfLife{ 1000 };
  /** Requests sent for each one taken, so that agents never run short of work
   * and an end of the overload is seen. */
  double mHeadroom = 1.5;
  milliseconds mLeastRetryAfter{ 200 };
};

/** By pool and customer. */
using back_pressure_map =
  std::map<std::pair<std::string, std::string>, pressure>;

/** Decides whether a request is refused here, before it costs a dispatch.
 *
 * In an overload each refused request would cost its entry and several agents
 * a message, and the refusals would take the time of the work. A customer's
 * requests are therefore refused here in the share in which the agents refuse
 * them. Agents refuse by fair share, so that a customer below its share is
 * never refused here for what others ask.
 * @param aDraw uniform in [0, 1)
 * @return when to come back, with a refusal */
std::optional<milliseconds>
CheckBackPressure(back_pressure_map& aPressures,
                  const std::string& aPool,
                  const std::string& aCustomer,
                  const pressure_limits& aLimits,
                  double aDraw,
                  time_point aNow);

/** Learns how a request that was let through ended.
 * @param aRetryAfter what the agent said, with a refusal for want of room;
 *   none when it took the request in */
void
RecordOutcome(back_pressure_map& aPressures,
              const std::string& aPool,
              const std::string& aCustomer,
              std::optional<milliseconds> aRetryAfter,
              const pressure_limits& aLimits,
              time_point aNow);

/** Forgets customers without recent requests. */
void
RemoveIdle(back_pressure_map& aPressures, time_point aNow);

} // namespace lavender::admission
