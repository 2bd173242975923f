#pragma once

#include "Libraries/Core/Clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/** Starts and stops backend servers by load, separately for each availability
 * zone. */
namespace lavender::orders {

/** Load of one backend server of a pool in a zone. */
struct server_load
{
  std::string mName;
  int mQueued = 0;
  int mRunning = 0;
  int mSlots = 0;
  /** Time that a request waits in the server's queue. */
  milliseconds mQueueDelay{ 0 };
  /** The server accepts no new requests. */
  bool mIsLeaving = false;
  /** The server's agent has reported recently and reaches the server. */
  bool mIsReporting = false;
};

/** Scaling policy of one pool in one zone. */
struct scale_policy
{
  std::int64_t mMinimum = 0;
  /** 0 disables scaling. */
  std::int64_t mMaximum = 0;
  /** A server is added when the fraction of slots in use exceeds this. */
  double mHighUtilisation = 0.8;
  /** A server is stopped only when the utilisation of the others would stay
   * below this. The gap between the two thresholds prevents a stop from
   * triggering the next start. */
  double mLowUtilisation = 0.5;
  milliseconds mMaximumQueueDelay{ 500 };
  /** How long the zone must be busy, or idle, without interruption. Stopping
   * takes longer, because an idle server costs less than a queue. */
  milliseconds mScaleUpDelay{ 5000 };
  milliseconds mScaleDownDelay{ 60000 };
  /** Time from a start order to the server's first request. No other change is
   * made in this time, since the load doesn't include the new server yet. */
  milliseconds mStartupDuration{ 60000 };
};

/** State of DecideScale between calls. */
struct scale_state
{
  std::optional<time_point> mBusySince;
  std::optional<time_point> mIdleSince;
  std::optional<time_point> mChangedAt;
};

enum class scale_action
{
  None,
  Start,
  Stop
};

struct scale_decision
{
  scale_action mAction = scale_action::None;
  /** Stop only: name of the server. */
  std::string mServer;
  std::string mReason;
};

/** Decides for one pool in one zone and updates the state. */
scale_decision
DecideScale(scale_state& aState,
            const scale_policy& aPolicy,
            const std::vector<server_load>& aServers,
            time_point aNow);

} // namespace lavender::orders
