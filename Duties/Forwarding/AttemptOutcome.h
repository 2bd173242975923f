#pragma once

#include "Duties/Site/SiteConfiguration.h"
#include "Libraries/Edge/Caller.h"

/** What follows from the end of one attempt: pure decisions. */
namespace lavender::forwarding {

/** What is known about whether a server ran the request. */
enum class execution
{
  /** The server says so, or nothing was sent. */
  NotRun,
  /** The server answered. */
  Ran,
  /** Sent, and no answer that says either. */
  Unknown
};

enum class next_step
{
  /** Give the server's answer to the caller. */
  Deliver,
  /** Send it to another server. */
  RetryOnAnotherServer,
  /** Tell the caller that it has not run, and when to come back. */
  RefuseNotRun,
  /** Tell the caller that it may have run. */
  FailUnknown
};

struct attempt_end
{
  edge::call_end mEnd = edge::call_end::Complete;
  unsigned mStatus = 0;
  bool mIsNotExecuted = false;
  /** The answer bears another attempt's id. */
  bool mIsMismatched = false;
};

/** What is left to a request after an attempt. */
struct attempt_budget
{
  site::retry_policy mRetryPolicy = site::retry_policy::AtMostOnce;
  int mAttemptsLeft = 0;
  milliseconds mTimeLeft{ 0 };
  /** Some attempt before this one may have run. */
  bool mMayHaveRun = false;
};

/** Less time than this isn't worth an attempt: a connection and the shortest
 * answer take about as long. */
constexpr milliseconds kShortestAttempt{ 15 };

execution
ExecutionOf(const attempt_end& aEnd);

next_step
DecideNext(const attempt_end& aEnd, const attempt_budget& aBudget);

/** How long to wait for the first byte of an attempt before trying elsewhere;
 * all the time that is left when there is no elsewhere. A server that has gone
 * dark would otherwise hold the request until the caller's deadline. */
milliseconds
PatienceFor(const site::route& aRoute, const attempt_budget& aBudget);

} // namespace lavender::forwarding
