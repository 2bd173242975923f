#pragma once

#include "Duties/Dispatch/CallOutcome.h"
#include "Libraries/Http/Message.h"

#include <string>

namespace lavender::entry {

/** A final answer that is no result: why, whether the request ran, and when
 * to come back. */
struct refusal
{
  int mStatus = 503;
  /** Stable reason code. */
  std::string mReason;
  dispatch::ran mRan = dispatch::ran::NotRun;
  /** Zero where coming back makes no sense. */
  milliseconds mRetryAfter{ 0 };
  std::string mRequestId;
  /** Sentence for people; may be empty. */
  std::string mMessage;
};

/** JSON body with a Retry-After header in whole seconds, rounded up. */
http::response
ToResponse(const refusal& aRefusal);

/** HTTP status for an outcome that is no answer. */
int
StatusFor(const dispatch::call_outcome& aOutcome);

} // namespace lavender::entry
