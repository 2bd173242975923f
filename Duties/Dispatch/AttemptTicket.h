#pragma once

#include "Libraries/Core/Clock.h"

#include <string>

namespace lavender::dispatch {

/** Names one attempt on one server, so that any entry can ask for its end. */
struct attempt_ticket
{
  std::string mId;
  std::string mServerName;
  std::string mIncarnation;
  /** When the attempt was issued, on the agent's clock as the entry reckons
   * it; never later than the agent's true time. The agent refuses orders that
   * are too old, and needs the stamp to tell an id that it never saw from one
   * that it has forgotten. */
  milliseconds mIssuedAt{ 0 };
};

} // namespace lavender::dispatch
