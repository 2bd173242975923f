#pragma once

#include "Duties/Site/SiteConfiguration.h"
#include "Libraries/Edge/Caller.h"

/** Decides what to do after an attempt has ended. Pure functions, no I/O. */
namespace lavender::forwarding {

/** Whether a server ran the request, as far as known. */
enum class execution
{
  /** The server says that it didn't run the request, or nothing was sent. */
  NotRun,
  /** The server sent a complete response. */
  Ran,
  /** The request was sent, and no valid response arrived. */
  Unknown
};

enum class next_step
{
  /** Forward the server's response to the caller. */
  Deliver,
  /** Send the request to another server. */
  RetryOnAnotherServer,
  /** Tell the caller that the request did not run, and when to retry. */
  RefuseNotRun,
  /** Tell the caller that the request may have run. */
  FailUnknown
};

struct attempt_end
{
  edge::call_end mEnd = edge::call_end::Complete;
  unsigned mStatus = 0;
  bool mIsNotExecuted = false;
};

/** What a request has left after an attempt. */
struct attempt_budget
{
  site::retry_policy mRetryPolicy = site::retry_policy::AtMostOnce;
  int mAttemptsLeft = 0;
  milliseconds mTimeLeft{ 0 };
  /** An earlier attempt may have run. */
  bool mMayHaveRun = false;
};

/** No attempt is started with less time than this left: opening a connection
 * and receiving the shortest response take about as long. */
constexpr milliseconds kMinimumAttemptTime{ 15 };

execution
ExecutionOf(const attempt_end& aEnd);

next_step
DecideNext(const attempt_end& aEnd, const attempt_budget& aBudget);

/** How long an attempt may take until the first byte of its response, or from
 * one read of it to the next, before the request is sent to another server; all
 * of the time left when no further attempt may be made. Without this timeout an
 * unresponsive server would hold the request until the caller's deadline. */
milliseconds
FirstByteTimeout(const site::route& aRoute, const attempt_budget& aBudget);

} // namespace lavender::forwarding
