#pragma once

#include "Libraries/Core/Clock.h"

#include <optional>

namespace lavender::membership {

/** When an agent last answered, and when it last failed to. */
struct heartbeat
{
  std::optional<time_point> mLastResponseAt;
  /** Start of the last poll that got no answer. */
  std::optional<time_point> mLastFailedPollAt;
};

struct heartbeat_limits
{
  /** Time without an answer after which an agent counts as dead when a poll
   * has failed since its last answer. */
  milliseconds mTimeoutAfterFailedPoll{ 2500 };
  /** Time without an answer after which an agent counts as dead even when no
   * poll has failed. */
  milliseconds mTimeout{ 10000 };
};

enum class liveness
{
  /** The agent has never answered. */
  Unknown,
  Live,
  Unresponsive
};

/** Evaluates whether an agent is alive. The short limit applies only after a
 * failed poll, so that an agent which this process was too busy to poll isn't
 * considered dead. */
liveness
EvaluateHeartbeat(const heartbeat& aHeartbeat,
                  const heartbeat_limits& aLimits,
                  time_point aNow);

} // namespace lavender::membership
