#include "Duties/Site/ServerChanges.h"

#include <utility>

namespace lavender::site {

const char*
ToString(server_change aChange)
{
  switch (aChange) {
    case server_change::Ready:
      return "ready";
    case server_change::Leaving:
      return "leaving";
    case server_change::Removed:
      break;
  }
  return "removed";
}

bool
RecordChange(server_changes& aChanges, server_change aChange)
{
  const bool isFirst =
    aChanges.mReady + aChanges.mLeaving + aChanges.mRemoved == 0;
  switch (aChange) {
    case server_change::Ready:
      ++aChanges.mReady;
      break;
    case server_change::Leaving:
      ++aChanges.mLeaving;
      break;
    case server_change::Removed:
      ++aChanges.mRemoved;
      break;
  }
  return isFirst;
}

server_changes
TakeChanges(server_changes& aChanges)
{
  return std::exchange(aChanges, {});
}

} // namespace lavender::site
