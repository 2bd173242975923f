#include "Duties/Routing/Breaker.h"

#include <algorithm>
#include <cmath>

namespace lavender::routing {
namespace {

using namespace std::chrono_literals;

void
Decay(breaker& aBreaker, const breaker_limits& aLimits, time_point aNow)
{
  const std::chrono::duration<double> age = aNow - aBreaker.mDecayedAt;
  const std::chrono::duration<double> halfLife = aLimits.mHalfLife;
  const double factor = std::exp2(-std::max(age / halfLife, 0.0));
  aBreaker.mAttempts *= factor;
  aBreaker.mFailures *= factor;
  aBreaker.mDecayedAt = aNow;
}

void
Open(breaker& aBreaker, const breaker_limits& aLimits, time_point aNow)
{
  aBreaker.mPause = std::clamp(
    aBreaker.mPause * 2, aLimits.mInitialPause, aLimits.mMaximumPause);
  aBreaker.mState = breaker_state::Open;
  aBreaker.mOpenUntil = aNow + aBreaker.mPause;
  aBreaker.mIsProbeInFlight = false;
}

void
Close(breaker& aBreaker)
{
  aBreaker.mState = breaker_state::Closed;
  aBreaker.mPause = 0ms;
  aBreaker.mAttempts = 0;
  aBreaker.mFailures = 0;
  aBreaker.mFailuresInRow = 0;
}

/** Whether the failures so far are enough to open a closed breaker. A server
 * that answers nothing fails too few requests to be known by their ratio if it
 * gets few of them, or answered many before. */
bool
HasFailedTooOften(const breaker& aBreaker, const breaker_limits& aLimits)
{
  return aBreaker.mFailuresInRow >= aLimits.mMinimumAttempts ||
         (aBreaker.mAttempts >= aLimits.mMinimumAttempts &&
          FailureRatio(aBreaker) >= aLimits.mFailureRatio);
}

} // namespace

bool
AllowsRequest(const breaker& aBreaker, time_point aNow)
{
  switch (aBreaker.mState) {
    case breaker_state::Closed:
      return true;
    case breaker_state::Open:
      return aNow >= aBreaker.mOpenUntil;
    case breaker_state::HalfOpen:
      return !aBreaker.mIsProbeInFlight;
  }
  return true;
}

void
RecordSent(breaker& aBreaker, time_point aNow)
{
  if (aBreaker.mState == breaker_state::Closed ||
      (aBreaker.mState == breaker_state::Open && aNow < aBreaker.mOpenUntil)) {
    return;
  }
  if (aBreaker.mState == breaker_state::Open) {
    aBreaker.mProbesSince = aNow;
  }
  aBreaker.mState = breaker_state::HalfOpen;
  aBreaker.mIsProbeInFlight = true;
}

void
RecordAnswering(breaker& aBreaker, time_point aSentAt)
{
  if (aBreaker.mState == breaker_state::HalfOpen &&
      aSentAt >= aBreaker.mProbesSince) {
    aBreaker.mIsProbeInFlight = false;
  }
}

void
RecordEnd(breaker& aBreaker,
          time_point aSentAt,
          evidence aEvidence,
          const breaker_limits& aLimits,
          time_point aNow)
{
  if (aSentAt < aBreaker.mProbesSince && aEvidence != evidence::Success) {
    return;
  }
  if (aEvidence == evidence::Neutral) {
    // The outcome says nothing about the server, so another request may probe.
    aBreaker.mIsProbeInFlight = false;
    return;
  }
  const bool hasFailed = aEvidence == evidence::Failure;
  Decay(aBreaker, aLimits, aNow);
  aBreaker.mAttempts += 1;
  aBreaker.mFailures += hasFailed ? 1 : 0;
  aBreaker.mFailuresInRow = hasFailed ? aBreaker.mFailuresInRow + 1 : 0;
  if (aBreaker.mState == breaker_state::HalfOpen) {
    if (hasFailed) {
      Open(aBreaker, aLimits, aNow);
    } else {
      Close(aBreaker);
    }
    return;
  }
  // While the breaker is open, ends of requests sent before the pause are
  // counted but don't change the state.
  if (aBreaker.mState == breaker_state::Closed && hasFailed &&
      HasFailedTooOften(aBreaker, aLimits)) {
    Open(aBreaker, aLimits, aNow);
  }
}

double
FailureRatio(const breaker& aBreaker)
{
  return aBreaker.mAttempts > 0 ? aBreaker.mFailures / aBreaker.mAttempts : 0;
}

} // namespace lavender::routing
