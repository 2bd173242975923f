#pragma once

#include "Libraries/Core/Clock.h"

namespace lavender::routing {

/** What the end of one attempt says about the health of its server. */
enum class evidence
{
  Success,
  /** The server failed: an error response, no connection or no response. */
  Failure,
  /** Says nothing about the server: the attempt was refused by the server's
   * agent or cancelled. */
  Neutral
};

enum class breaker_state
{
  Closed,
  /** No requests are allowed until the pause ends. */
  Open,
  /** The pause is over; a single request probes the server. */
  HalfOpen
};

struct breaker_limits
{
  /** Half-life of the exponential decay of both counts. */
  milliseconds mHalfLife{ 10000 };
  /** The breaker opens only at or above this decayed number of attempts; the
   * failure ratio of fewer attempts isn't significant. As many failures in a
   * row open it at any ratio. */
  double mMinimumAttempts = 3;
  double mFailureRatio = 0.5;
  milliseconds mInitialPause{ 1000 };
  milliseconds mMaximumPause{ 30000 };
};

/** Circuit breaker of one server.
 *
 * A server that fails every request immediately always has the shortest queue,
 * so load balancing without a breaker would send it most requests. */
struct breaker
{
  breaker_state mState = breaker_state::Closed;
  double mAttempts = 0;
  double mFailures = 0;
  /** Failures since the last success. */
  int mFailuresInRow = 0;
  time_point mDecayedAt;
  /** When the pause ends; valid in state Open. */
  time_point mOpenUntil;
  milliseconds mPause{ 0 };
  bool mIsProbeInFlight = false;
  /** When the first probe after the latest pause was sent. */
  time_point mProbesSince;
};

bool
AllowsRequest(const breaker& aBreaker, time_point aNow);

/** Records that a request is sent. The first request after a pause is the
 * probe, and no other request is allowed until the probe has ended. */
void
RecordSent(breaker& aBreaker, time_point aNow);

/** Records that an attempt is being answered. After a probe another one may be
 * sent beside it, since an answer may take long; the breaker closes once an
 * attempt has succeeded.
 * @param aSentAt time passed to RecordSent for this attempt */
void
RecordAnswering(breaker& aBreaker, time_point aSentAt);

/** Records the end of an attempt. The failure of one that was sent before the
 * latest pause was over doesn't count: it says nothing of the server as it is
 * now.
 * @param aSentAt time passed to RecordSent for this attempt */
void
RecordEnd(breaker& aBreaker,
          time_point aSentAt,
          evidence aEvidence,
          const breaker_limits& aLimits,
          time_point aNow);

/** Ratio of failures to attempts, both exponentially decayed; 0 without
 * attempts. */
double
FailureRatio(const breaker& aBreaker);

} // namespace lavender::routing
