#include "Libraries/Edge/RoomDecision.h"

#include <algorithm>

namespace lavender::edge {

namespace {

/** Added to each time, so that size alone decides between connections that come
 * at the same time. */
constexpr milliseconds kLeastTime{ 100 };
/** Most that a small request holds, in bytes, with the buffer into which it is
 * read. */
constexpr std::size_t kSmallBytes = 16 << 10;

/** Memory and time in one number. */
double
CostOf(const endable_connection& aConnection)
{
  const auto time = aConnection.mSinceProgress + kLeastTime;
  return static_cast<double>(aConnection.mHeldBytes) *
         static_cast<double>(time.count());
}

template<typename measure>
std::optional<std::size_t>
ChooseLargest(const std::vector<endable_connection>& aConnections,
              measure aMeasure)
{
  const auto largest =
    std::max_element(aConnections.begin(),
                     aConnections.end(),
                     [&](const auto& aLeft, const auto& aRight) {
                       return aMeasure(aLeft) < aMeasure(aRight);
                     });
  if (largest == aConnections.end()) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(largest - aConnections.begin());
}

} // namespace

std::optional<std::size_t>
ChooseByMemory(const std::vector<endable_connection>& aConnections)
{
  return ChooseLargest(aConnections, CostOf);
}

std::optional<std::size_t>
ChooseBySilence(const std::vector<endable_connection>& aConnections)
{
  return ChooseLargest(aConnections, [](const auto& aConnection) {
    return aConnection.mSinceProgress;
  });
}

std::size_t
LimitFor(std::size_t aHeldBytes,
         std::size_t aLimitBytes,
         std::size_t aReservedBytes)
{
  return aHeldBytes <= kSmallBytes
           ? aLimitBytes
           : aLimitBytes - std::min(aLimitBytes, aReservedBytes);
}

} // namespace lavender::edge
