#pragma once

#include "Libraries/Core/Clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/** Starting and stopping backend servers, zone by zone, in one process. */
namespace lavender::orders {

/** What is known of one backend server of a pool in a zone. */
struct server_load
{
  std::string mName;
  int mQueued = 0;
  int mRunning = 0;
  int mSlots = 0;
  /** How long a request waits in its queue. */
  milliseconds mQueueDelay{ 0 };
  /** Takes no new work. */
  bool mIsLeaving = false;
  /** Its agent reported lately and reaches the server. */
  bool mIsHeard = false;
};

/** When one pool in one zone gets more or fewer servers. */
struct scale_policy
{
  std::int64_t mMinimum = 0;
  /** No scaling at all while 0. */
  std::int64_t mMaximum = 0;
  /** Share of slots in use above which a server is added. */
  double mHighUse = 0.8;
  /** A server goes only when the rest would stay below this. The gap between
   * the two keeps a stop from causing the next start. */
  double mLowUtilisation = 0.5;
  milliseconds mLongQueueDelay{ 500 };
  /** How long it must be busy, or idle, without a break. An idle server costs
   * less than a queue, so stopping is the slower one. */
  milliseconds mBusyFor{ 5000 };
  milliseconds mScaleDownDelay{ 60000 };
  /** From a start order to the first request; no change meanwhile, since the
   * server that is on its way isn't seen in the load yet. */
  milliseconds mStartupDuration{ 60000 };
};

/** Memory of the decision between two looks. */
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
  /** For Stop. */
  std::string mServer;
  std::string mReason;
};

/** Decides for one pool in one zone and updates the memory. */
scale_decision
DecideScale(scale_state& aState,
            const scale_policy& aPolicy,
            const std::vector<server_load>& aServers,
            time_point aNow);

} // namespace lavender::orders
