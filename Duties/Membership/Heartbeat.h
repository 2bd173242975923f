#pragma once

#include "Libraries/Core/Clock.h"

#include <optional>

namespace lavender::membership {

/** When an agent was heard, and when it failed to answer. */
struct heartbeat
{
  std::optional<time_point> mLastResponseAt;
  /** Start of the last poll that got no answer. */
  std::optional<time_point> mLastFailedPollAt;
};

struct heartbeat_limits
{
  /** Silence after which an agent that failed a poll counts as dead. */
  milliseconds mSilence{ 2500 };
  /** Silence after which it counts as dead in any case. */
  milliseconds mLongSilence{ 10000 };
};

enum class liveness
{
  /** Never heard yet. */
  Unknown,
  Live,
  Silent
};

/** Judges silence by evidence: an agent that this process was too busy to
 * poll is not dead, one that was asked and gave no answer is. */
liveness
JudgeHeartbeat(const heartbeat& aHeartbeat,
               const heartbeat_limits& aLimits,
               time_point aNow);

} // namespace lavender::membership
