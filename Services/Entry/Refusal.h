#pragma once

#include "Duties/Dispatch/CallOutcome.h"
#include "Libraries/Http/Message.h"

#include <string>

namespace lavender::entry {

/** Final response to a request that has no result: the reason, whether the
 * request ran, and when to retry. */
struct refusal
{
  int mStatus = 503;
  /** Stable reason code. */
  std::string mReason;
  dispatch::ran mRan = dispatch::ran::NotRun;
  /** Zero when a retry can't succeed. */
  milliseconds mRetryAfter{ 0 };
  std::string mRequestId;
  /** Human-readable explanation; may be empty. */
  std::string mMessage;
};

/** HTTP response with a JSON body. A delay is also sent as a Retry-After header
 * in whole seconds, rounded up. */
http::response
ToResponse(const refusal& aRefusal);

/** HTTP status for an outcome without a server's response. */
int
StatusFor(const dispatch::call_outcome& aOutcome);

} // namespace lavender::entry
