#pragma once

#include "Duties/Site/ServerProtocol.h"
#include "Libraries/Core/Clock.h"

#include <map>
#include <string>

/** Load that other entries put on the model servers, as told by the servers'
 * responses. No I/O. */
namespace lavender::batches {

struct other_load
{
  /** Requests of other entries, running and waiting. */
  int mRequests = 0;
  time_point mSeenAt;
};

/** By server. */
using other_loads = std::map<std::string, other_load>;

/** A load that was seen longer ago says nothing: most runs end within a
 * second. */
constexpr milliseconds kOtherLoadLifetime{ 600 };

/** @param aOwnRuns runs of this entry on the server */
void
RecordLoad(other_loads& aLoads,
           const std::string& aServer,
           const site::server_load& aReported,
           int aOwnRuns,
           time_point aNow);

/** Returns the load; null if it isn't known. */
const other_load*
FindLoad(const other_loads& aLoads,
         const std::string& aServer,
         time_point aNow);

} // namespace lavender::batches
