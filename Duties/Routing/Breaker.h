#pragma once

#include "Libraries/Core/Clock.h"

namespace lavender::routing {

/** How one attempt on a server ended, as evidence about the server. */
enum class evidence
{
  Success,
  /** The server failed: an error of its own, no connection, silence. */
  Failure,
  /** Says nothing about the server: refused by its agent, cancelled. */
  Neutral
};

enum class breaker_state
{
  Closed,
  /** No requests until the end of the pause. */
  Open,
  /** The pause is over; one request probes the server. */
  Probing
};

struct breaker_limits
{
  /** Evidence this old counts half. */
  milliseconds mHalfLife{ 10000 };
  /** Attempts, decayed, below which a failure share says nothing. */
  double mMinimumAttempts = 3;
  double mFailureRatio = 0.5;
  milliseconds mInitialPause{ 1000 };
  milliseconds mMaximumPause{ 30000 };
};

/** Keeps a server that fails from getting work.
 *
 * One that fails at once has the shortest queue of all and would attract
 * every request that looks for one. */
struct breaker
{
  breaker_state mState = breaker_state::Closed;
  double mAttempts = 0;
  double mFailures = 0;
  time_point mCountedAt;
  /** End of the pause while open. */
  time_point mOpenUntil;
  milliseconds mPause{ 0 };
  bool mHasProbe = false;
};

/** True when a request may be sent now. */
bool
AllowsRequest(const breaker& aBreaker, time_point aNow);

/** Counts a request that is sent; the first one after a pause is the probe,
 * and no other is allowed until it has ended. */
void
RecordSent(breaker& aBreaker, time_point aNow);

void
RecordEnd(breaker& aBreaker,
          evidence aEvidence,
          const breaker_limits& aLimits,
          time_point aNow);

/** Share of failures in the evidence, newest counting most. */
double
FailureShare(const breaker& aBreaker);

} // namespace lavender::routing
