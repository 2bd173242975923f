#include "Duties/Batches/OtherLoad.h"

#include <algorithm>

namespace lavender::batches {

void
RecordLoad(other_loads& aLoads,
           const std::string& aServer,
           const site::server_load& aReported,
           int aOwnRuns,
           time_point aNow)
{
  const int requests = aReported.mRunning + aReported.mWaiting;
  aLoads[aServer] = { std::max(0, requests - aOwnRuns), aNow };
}

const other_load*
FindLoad(const other_loads& aLoads, const std::string& aServer, time_point aNow)
{
  const auto found = aLoads.find(aServer);
  return found == aLoads.end() ||
             aNow - found->second.mSeenAt > kOtherLoadLifetime
           ? nullptr
           : &found->second;
}

} // namespace lavender::batches
