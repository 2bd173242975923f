#pragma once

#include "Libraries/Core/Clock.h"

#include <optional>

namespace lavender::membership {

/** A process that answered within this time counts as reachable when the
 * freshness of the configuration is evaluated. */
constexpr milliseconds kReachableWithin{ 4000 };

/** Whether a process counts as reachable.
 * @param aLastResponseAt its last answer; none before the first one */
inline bool
IsReachable(std::optional<time_point> aLastResponseAt, time_point aNow)
{
  return aLastResponseAt && aNow - *aLastResponseAt <= kReachableWithin;
}

/** Returns the time since when a process that answers at aNow has been
 * reachable without a gap. A pause of this process is such a gap too.
 * @param aSince this function's result for the previous answer */
inline time_point
ReachableSince(std::optional<time_point> aSince,
               std::optional<time_point> aLastResponseAt,
               time_point aNow)
{
  return aSince && IsReachable(aLastResponseAt, aNow) ? *aSince : aNow;
}

} // namespace lavender::membership
