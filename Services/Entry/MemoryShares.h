#pragma once

#include "Libraries/Edge/Listener.h"

#include <cstddef>

/** What other processes may take of an entry's memory. A third is left for the
 * program, items and results of batches, and the tables. No I/O. */
namespace lavender::entry {

struct memory_shares
{
  /** Of callers' connections, requests and the responses to them. One request
   * of the largest size fits from 88 MB on. */
  std::size_t mCallerBytes = 0;
  /** Part of mCallerBytes that is left to small requests. */
  std::size_t mReservedBytes = 0;
  /** Of other entries' connections, requests and the responses to them. */
  std::size_t mPeerBytes = 0;
  /** Of all responses that are being read. */
  std::size_t mAnswerBytes = 0;
  /** Of the items of batches. */
  std::size_t mItemBytes = 0;
  /** Of each listener whose requests have no body. */
  std::size_t mBodilessBytes = 0;
};

/** @param aMemoryBytes memory limit of the process */
memory_shares
ShareMemory(std::size_t aMemoryBytes);

/** Sets the memory that callers' requests may take. */
void
LimitCallers(edge::listener_limits& aLimits, const memory_shares& aShares);

/** Limits on requests of other entries and of agents. */
edge::listener_limits
PeerLimits(const memory_shares& aShares);

/** Limits on requests that have no body: readiness checks and the metrics page.
 */
edge::listener_limits
BodilessLimits(const memory_shares& aShares);

} // namespace lavender::entry
