#pragma once

#include "Libraries/Core/Clock.h"

#include <string>
#include <vector>

namespace lavender::routing {

/** A server that has lately answered a request of this entry. */
struct recent_server
{
  std::string mName;
  /** Time from the request to the end of the last response. */
  milliseconds mLastTime{ 0 };
};

/** Servers to which this entry probably has a connection open. An entry that
 * gets few requests among many entries would otherwise open a connection for
 * nearly each of them, because it meets another server every time. */
struct recent_servers
{
  std::vector<recent_server> mNewestFirst;
  /** Moving average of the time of all responses. */
  std::chrono::duration<double, std::milli> mUsualTime{ 0 };
};

void
RecordAnswered(recent_servers& aRecent,
               const std::string& aServer,
               milliseconds aTime);

/** Removes a server whose connection is probably broken. */
void
Forget(recent_servers& aRecent, const std::string& aServer);

/** Whether the server's last response didn't take clearly longer than usual. If
 * it did, others are tried: an entry that keeps to a few servers would
 * otherwise not notice that one of them has become slow. */
bool
WasAsFastAsUsual(const recent_servers& aRecent, const recent_server& aServer);

} // namespace lavender::routing
