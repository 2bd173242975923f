#include "Duties/Weights/RollOut.h"

#include <algorithm>

namespace lavender::weights {
namespace {

/** The order stands: same target, same agent, and not yet due again. */
bool
IsPending(const roll_out_state& aState,
          const weight_version& aTarget,
          const server_weights& aServer,
          time_point aNow)
{
  const auto given = aState.mGiven.find(aServer.mName);
  return given != aState.mGiven.end() && given->second.mTarget == aTarget &&
         given->second.mAgentIncarnation == aServer.mAgentIncarnation &&
         aNow - given->second.mGivenAt < aState.mLimits.mRepeatAfter;
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
  // First those that weren't tried: a server whose swaps fail must not take
  // the place of one whose swap would succeed.
  std::stable_sort(
    due.begin(), due.end(), [&](const auto& aOne, const auto& aOther) {
      const auto triedAt = [&](const auto& aServer) {
        const auto given = aState.mGiven.find(aServer.mName);
        const bool isTried =
          given != aState.mGiven.end() && given->second.mTarget == aTarget;
        return isTried ? given->second.mGivenAt : time_point();
      };
      return triedAt(aOne) < triedAt(aOther);
    });
  const auto limit = aState.mLimits.mMaximumConcurrency;
  if (limit > 0) {
    due.resize(std::min(due.size(), limit - std::min(limit, swapping)));
  }
  for (const auto& server : due) {
    aState.mGiven[server.mName] = { aTarget, server.mAgentIncarnation, aNow };
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
