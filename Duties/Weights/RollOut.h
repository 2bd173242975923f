#pragma once

#include "Duties/Weights/VersionTracker.h"

#include <set>

namespace lavender::weights {

/** State of one backend server, as known to the process that runs the roll-out
 * of its pool. */
struct server_weights
{
  std::string mName;
  /** Incarnation of the server's agent; every swap order names it. */
  std::string mAgentIncarnation;
  weight_version mHeld;
  bool mIsReachable = false;
  bool mIsLeaving = false;
};

struct roll_out_limits
{
  /** Largest number of servers that swap at the same time; 0 for no limit. */
  std::size_t mMaximumConcurrency = 0;
  /** An order that has had no effect is sent again after this. */
  milliseconds mRepeatInterval{ 3000 };
};

struct issued_order
{
  weight_version mTarget;
  std::string mAgentIncarnation;
  time_point mIssuedAt;
};

/** Orders issued so far, by server name. */
struct roll_out_state
{
  roll_out_limits mLimits;
  std::map<std::string, issued_order> mIssuedOrders;
};

/** Selects the servers that are to be ordered to load the target now, and
 * records the orders as issued. A server that doesn't respond to its order
 * counts towards the limit only until the order is due again, so that it can't
 * block the others. */
std::vector<server_weights>
ChooseOrders(roll_out_state& aState,
             const weight_version& aTarget,
             const std::vector<server_weights>& aServers,
             time_point aNow);

/** Returns how many reachable servers hold the target. */
std::size_t
CountHolding(const weight_version& aTarget,
             const std::vector<server_weights>& aServers);

} // namespace lavender::weights
