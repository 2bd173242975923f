#pragma once

#include "Duties/Weights/VersionTracker.h"

#include <set>

namespace lavender::weights {

/** What the holder of a pool's roll-out knows of one server. */
struct server_weights
{
  std::string mName;
  /** Of its agent; an order names it. */
  std::string mAgentIncarnation;
  weight_version mHeld;
  bool mIsReachable = false;
  bool mIsLeaving = false;
};

struct roll_out_limits
{
  /** Servers that swap side by side; 0 for all at once. */
  std::size_t mMaximumConcurrency = 0;
  /** An order without effect is given again after this. */
  milliseconds mRepeatAfter{ 3000 };
};

struct given_order
{
  weight_version mTarget;
  std::string mAgentIncarnation;
  time_point mGivenAt;
};

/** What the holder has ordered, by server name. */
struct roll_out_state
{
  roll_out_limits mLimits;
  std::map<std::string, given_order> mGiven;
};

/** Servers to be ordered to the target now; notes the orders as given. A
 * server that doesn't answer its order keeps its place among those swapping
 * only until the order is repeated, so that it can't hold up the rest. */
std::vector<server_weights>
ChooseOrders(roll_out_state& aState,
             const weight_version& aTarget,
             const std::vector<server_weights>& aServers,
             time_point aNow);

/** How many reachable servers hold the target. */
std::size_t
CountHolding(const weight_version& aTarget,
             const std::vector<server_weights>& aServers);

} // namespace lavender::weights
