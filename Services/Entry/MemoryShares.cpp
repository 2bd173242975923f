#include "Services/Entry/MemoryShares.h"

#include <algorithm>

namespace lavender::entry {

namespace {

constexpr std::size_t kCallerParts = 2;
constexpr std::size_t kCallerShare = 5;
constexpr std::size_t kReservedShare = 40;
constexpr std::size_t kPeerShare = 8;
constexpr std::size_t kAnswerShare = 8;
constexpr std::size_t kItemShare = 8;
constexpr std::size_t kBodilessShare = 128;
/** Of the share of a listener, what is left to small requests. */
constexpr std::size_t kReservedOfListener = 16;
constexpr std::size_t kMaximumBodilessConnections = 512;

} // namespace

memory_shares
ShareMemory(std::size_t aMemoryBytes)
{
  return { aMemoryBytes / kCallerShare * kCallerParts,
           aMemoryBytes / kReservedShare,
           aMemoryBytes / kPeerShare,
           aMemoryBytes / kAnswerShare,
           aMemoryBytes / kItemShare,
           aMemoryBytes / kBodilessShare };
}

void
LimitCallers(edge::listener_limits& aLimits, const memory_shares& aShares)
{
  aLimits.mMaximumHeldBytes = aShares.mCallerBytes;
  aLimits.mReservedBytes = aShares.mReservedBytes;
}

edge::listener_limits
PeerLimits(const memory_shares& aShares)
{
  edge::listener_limits limits;
  limits.mMaximumBodyBytes =
    std::min(limits.mMaximumBodyBytes, aShares.mPeerBytes);
  limits.mMaximumHeldBytes = aShares.mPeerBytes;
  limits.mReservedBytes = aShares.mPeerBytes / kReservedOfListener;
  return limits;
}

edge::listener_limits
BodilessLimits(const memory_shares& aShares)
{
  edge::listener_limits limits;
  limits.mMaximumBodyBytes = 0;
  limits.mMaximumHeldBytes = aShares.mBodilessBytes;
  limits.mReservedBytes = aShares.mBodilessBytes / kReservedOfListener;
  limits.mMaximumConnections = kMaximumBodilessConnections;
  return limits;
}

} // namespace lavender::entry
