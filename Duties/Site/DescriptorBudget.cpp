#include "Duties/Site/DescriptorBudget.h"

#include <algorithm>

namespace lavender::site {

namespace {

/** Files, logs, the store and listeners. */
constexpr std::size_t kReservedForProcess = 200;
/** One connection in each direction, for example of an agent and to its
 * server. */
constexpr std::size_t kConnectionsPerProcess = 2;

} // namespace

std::size_t
MaximumCallerConnections(std::size_t aDescriptors, const fleet_size& aFleet)
{
  const auto processes = aFleet.mEntries + aFleet.mServers;
  const auto wanted = kReservedForProcess + kConnectionsPerProcess * processes;
  // Callers keep half of the descriptors of a small instance: it has few
  // connections to others at a time.
  const auto reserved =
    std::max(kMinimumReserved, std::min(wanted, aDescriptors / 2));
  return aDescriptors - std::min(aDescriptors, reserved);
}

} // namespace lavender::site
