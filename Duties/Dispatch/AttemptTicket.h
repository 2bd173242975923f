#pragma once

#include "Libraries/Core/Clock.h"

#include <string>

namespace lavender::dispatch {

/** Identifies one attempt on one server, so that any entry can query its
 * outcome. */
struct attempt_ticket
{
  std::string mId;
  std::string mServerName;
  std::string mIncarnation;
  /** When the attempt was issued, on the agent's clock as estimated by the
   * entry; never later than the true time. The agent refuses orders that are
   * too old, and needs the time to distinguish an id that it never received
   * from one that it has evicted. */
  milliseconds mIssuedAt{ 0 };
};

} // namespace lavender::dispatch
