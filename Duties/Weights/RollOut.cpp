#include "Duties/Weights/RollOut.h"

#include <algorithm>

namespace lavender::weights {
namespace {

/** Whether an order for the same target and agent was issued and isn't due
 * again. */
bool
IsPending(const roll_out_state& aState,
          const weight_version& aTarget,
          const server_weights& aServer,
          time_point aNow)
{
  const auto issued = aState.mIssuedOrders.find(aServer.mName);
  return issued != aState.mIssuedOrders.end() &&
         issued->second.mTarget == aTarget &&
         issued->second.mAgentIncarnation == aServer.mAgentIncarnation &&
         aNow - issued->second.mIssuedAt < aState.mLimits.mRepeatInterval;
}

bool
NeedsTarget(const weight_version& aTarget, const server_weights& aServer)
{
  return aServer.mIsReachable && !aServer.mIsLeaving &&
         !aServer.mAgentIncarnation.empty() && aServer.mHeld != aTarget;
}

} // namespace

std::vector<server_weights>
ChooseOrders(roll_out_state& aState,
             const weight_version& aTarget,
             const std::vector<server_weights>& aServers,
             time_point aNow)
{
  std::vector<server_weights> due;
  std::size_t swapping = 0;
  for (const auto& server : aServers) {
    if (!NeedsTarget(aTarget, server)) {
      continue;
    }
    if (IsPending(aState, aTarget, server, aNow)) {
      ++swapping;
    } else {
      due.push_back(server);
    }
  }
  // Servers that weren't tried come first, so that a server whose swaps fail
  // doesn't displace one whose swap would succeed.
  std::stable_sort(
    due.begin(), due.end(), [&](const auto& aOne, const auto& aOther) {
      const auto triedAt = [&](const auto& aServer) {
        const auto issued = aState.mIssuedOrders.find(aServer.mName);
        const bool isTried = issued != aState.mIssuedOrders.end() &&
                             issued->second.mTarget == aTarget;
        return isTried ? issued->second.mIssuedAt : time_point();
      };
      return triedAt(aOne) < triedAt(aOther);
    });
  const auto limit = aState.mLimits.mMaximumConcurrency;
  if (limit > 0) {
    due.resize(std::min(due.size(), limit - std::min(limit, swapping)));
  }
  for (const auto& server : due) {
    aState.mIssuedOrders[server.mName] = { aTarget,
                                           server.mAgentIncarnation,
                                           aNow };
  }
  return due;
}

std::size_t
CountHolding(const weight_version& aTarget,
             const std::vector<server_weights>& aServers)
{
  return static_cast<std::size_t>(
    std::count_if(aServers.begin(), aServers.end(), [&](const auto& aServer) {
      return aServer.mIsReachable && aServer.mHeld == aTarget;
    }));
}

} // namespace lavender::weights
