#pragma once

#include "Duties/Rewards/ServerUse.h"
#include "Libraries/Core/Clock.h"

/** Tells why a reward call is at no server. No I/O. */
namespace lavender::rewards {

/** What keeps a call from a server, in the order in which the client finds it.
 */
enum class call_wait
{
  /** The runner of the item holds the call back. */
  NotAllowed,
  /** A server failed or rejected the last attempt a moment ago. */
  RetryDelay,
  /** No route of the configuration takes it. */
  NoRoute,
  /** No server of the pool accepts work and has a closed breaker. */
  NoServer,
  /** Each such server ended or may have ended under the item. */
  NoOtherServer,
  /** The store doesn't hold yet that the batch may use the server. */
  NotListed,
  /** Each such server is silent. */
  ServerSilent,
  /** The pool has as many calls as it may. */
  NoRoom
};

/** A call that is at no server. */
struct waiting_call
{
  time_point mSince;
  call_wait mReason = call_wait::NotAllowed;
};

/** What keeps a call from a server that it may not use. */
call_wait
WaitFor(server_use aUse);

} // namespace lavender::rewards
