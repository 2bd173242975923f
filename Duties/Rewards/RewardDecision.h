#pragma once

#include "Libraries/Edge/Caller.h"

/** Decides what follows from the end of one attempt of a reward call. No I/O.
 */
namespace lavender::rewards {

/** Classification of the response to one attempt. */
enum class response_kind
{
  /** A complete 2xx response with the service's signature. */
  Scored,
  /** The server executed the call and failed (status 500). Counts towards
   * giving up. */
  ServerError,
  /** The server rejected the call and states that it didn't execute it. */
  Rejected,
  /** No usable response: a reset connection, a time-out, a response to another
   * call, a malformed response, or a status that says nothing about the call.
   */
  Unusable
};

const char*
ToString(response_kind aKind);

struct response_summary
{
  edge::call_end mEnd = edge::call_end::Complete;
  unsigned mStatus = 0;
  bool mIsNotExecuted = false;
  bool mHasSignature = false;
};

response_kind
ClassifyResponse(const response_summary& aResponse);

enum class next_step
{
  Deliver,
  /** Retry at another server without delay. */
  SendAgain,
  /** Retry after a delay. */
  SendLater,
  /** The service has failed the call as often as its route allows. */
  GiveUp
};

/** @param aErrors number of ServerError responses so far, including this one.
 * Responses that an earlier owner of the item received aren't counted, so an
 * item may be given up late but never early. */
next_step
DecideNext(response_kind aKind, int aErrors, int aMaximumAttempts);

/** Time to wait before the next attempt. The first attempt may have met a
 * single bad server, so the second is made at once. After that the service
 * itself is in trouble, and immediate retries would keep it there. */
milliseconds
RetryDelay(next_step aStep, int aAttempts);

/** Time after which an attempt is abandoned and the call goes to another
 * server: twice the target latency, which all but the slowest responses meet,
 * but no more than the time left. */
milliseconds
AttemptTimeout(milliseconds aTargetLatency, milliseconds aTimeLeft);

/** Maximum number of open attempts to servers with the given total number of
 * slots: half of the slots, so that callers with a target latency of some tens
 * of ms find the other half free. */
int
MaximumInFlight(int aSlots);

} // namespace lavender::rewards
