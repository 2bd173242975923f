#include "Libraries/Edge/ListenerRoom.h"

#include "Libraries/Core/Memory.h"
#include "Libraries/Edge/RoomDecision.h"
#include "Libraries/Edge/ServerConnection.h"
#include "Libraries/EventLog/EventLog.h"

namespace lavender::edge {

namespace {

/** A crowd would fill the log. */
constexpr milliseconds kLogInterval{ 1000 };

/** Less than this isn't worth giving back. */
constexpr std::size_t kReturnedBytes = 16 << 20;
/** Memory is given back when all but one part in so many is freed. */
constexpr std::size_t kPartsLeft = 4;

/** Connections that may end, and what decides which one does. */
struct endable_connections
{
  std::vector<server_connection*> mConnections;
  std::vector<endable_connection> mFacts;
};

endable_connections
FindEndable(const listener_state& aState)
{
  endable_connections found;
  for (auto* connection : aState.mConnections) {
    if (connection->IsEndable()) {
      found.mConnections.push_back(connection);
      found.mFacts.push_back(
        { connection->HeldBytes(), connection->SinceProgress() });
    }
  }
  return found;
}

void
Tell(listener_state& aState, const char* aReason)
{
  const auto now = boot_clock::now();
  if (aState.mToldAt && now - *aState.mToldAt < kLogInterval) {
    return;
  }
  aState.mToldAt = now;
  const auto& counts = aState.mCounts;
  if (aState.mOptions.mOnConnectionsEnded) {
    aState.mOptions.mOnConnectionsEnded(aReason, counts);
    return;
  }
  events::line("connections_ended")
    .With("listener", aState.mOptions.mName)
    .With("reason", aReason)
    .With("held_bytes", static_cast<std::int64_t>(*aState.mHeldBytes))
    .With("connections", static_cast<std::int64_t>(aState.mConnections.size()))
    .With("refused", static_cast<std::int64_t>(counts.mRefused))
    .With("reset", static_cast<std::int64_t>(counts.mReset))
    .With("closed", static_cast<std::int64_t>(counts.mClosed))
    .With("not_accepted", static_cast<std::int64_t>(counts.mNotAccepted));
}

} // namespace

bool
HasRoomForMemory(const listener_state& aState, const server_connection& aFor)
{
  const auto& limits = *aState.mLimits;
  return *aState.mHeldBytes <= LimitFor(aFor.HeldBytes(),
                                        limits.mMaximumHeldBytes,
                                        limits.mReservedBytes);
}

void
MakeRoomForMemory(listener_state& aState, const server_connection& aFor)
{
  while (!HasRoomForMemory(aState, aFor)) {
    const auto endable = FindEndable(aState);
    const auto chosen = ChooseByMemory(endable.mFacts);
    if (!chosen || endable.mFacts[*chosen].mHeldBytes == 0) {
      return;
    }
    endable.mConnections[*chosen]->EndForMemory();
    Tell(aState, "memory");
  }
}

void
ReturnMemory(listener_state& aState)
{
  const auto held = *aState.mHeldBytes;
  if (aState.mMostHeldBytes >= kReturnedBytes &&
      held <= aState.mMostHeldBytes / kPartsLeft) {
    aState.mMostHeldBytes = held;
    ReturnFreedMemory();
  }
}

bool
MakeRoomForConnection(listener_state& aState)
{
  if (aState.mConnections.size() < aState.mLimits->mMaximumConnections) {
    return true;
  }
  const auto endable = FindEndable(aState);
  const auto chosen = ChooseBySilence(endable.mFacts);
  if (chosen) {
    endable.mConnections[*chosen]->EndForConnection();
  } else {
    ++aState.mCounts.mNotAccepted;
  }
  Tell(aState, "connections");
  return chosen.has_value();
}

} // namespace lavender::edge
