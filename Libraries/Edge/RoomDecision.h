#pragma once

#include "Libraries/Core/Clock.h"

#include <cstddef>
#include <optional>
#include <vector>

/** Which connection of callers ends when a listener runs out of memory or of
 * connections. It isn't the one that comes last: clients that send a part of a
 * request and stop would take all there is, and the others would be refused. No
 * I/O. */
namespace lavender::edge {

/** A connection on which no whole request waits for its response. */
struct endable_connection
{
  std::size_t mHeldBytes = 0;
  /** Since its caller last sent a whole request or took a part of a response,
   * or since it was accepted. */
  milliseconds mSinceProgress{ 0 };
};

/** The connection that has kept the most memory for the longest time, which
 * spares a large request that is arriving. None if there is no connection.
 * @return its index */
std::optional<std::size_t>
ChooseByMemory(const std::vector<endable_connection>& aConnections);

/** The connection that has been without progress for the longest time.
 * @return its index; none if there is no connection */
std::optional<std::size_t>
ChooseBySilence(const std::vector<endable_connection>& aConnections);

/** How much memory all connections may hold together for one of them to hold
 * that much. A part of the limit is left to small requests.
 * @param aLimitBytes memory for all requests
 * @param aReservedBytes part of it for small requests */
std::size_t
LimitFor(std::size_t aHeldBytes,
         std::size_t aLimitBytes,
         std::size_t aReservedBytes);

} // namespace lavender::edge
