#pragma once

#include <cstddef>

namespace lavender::site {

/** Numbers of other processes to which an entry may have connections. */
struct fleet_size
{
  std::size_t mEntries = 0;
  std::size_t mServers = 0;
};

/** Returns how many connections of callers an entry may accept: of its file
 * descriptors, those for the other entries, the servers and their agents, the
 * store, files and logs are kept free. An entry that callers left none could
 * forward no request.
 * @param aDescriptors maximum number of open file descriptors */
std::size_t
MaximumCallerConnections(std::size_t aDescriptors, const fleet_size& aFleet);

/** Descriptors kept free at least, whatever the size of the fleet. */
constexpr std::size_t kMinimumReserved = 600;

} // namespace lavender::site
