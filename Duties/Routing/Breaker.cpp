#include "Duties/Routing/Breaker.h"

#include <algorithm>
#include <cmath>

namespace lavender::routing {
namespace {

using namespace std::chrono_literals;

void
Decay(breaker& aBreaker, const breaker_limits& aLimits, time_point aNow)
{
  const std::chrono::duration<double> age = aNow - aBreaker.mCountedAt;
  const std::chrono::duration<double> halfLife = aLimits.mHalfLife;
  const double factor = std::exp2(-std::max(age / halfLife, 0.0));
  aBreaker.mAttempts *= factor;
  aBreaker.mFailures *= factor;
  aBreaker.mCountedAt = aNow;
}

void
Open(breaker& aBreaker, const breaker_limits& aLimits, time_point aNow)
{
  aBreaker.mPause = std::clamp(
    aBreaker.mPause * 2, aLimits.mInitialPause, aLimits.mMaximumPause);
  aBreaker.mState = breaker_state::Open;
  aBreaker.mOpenUntil = aNow + aBreaker.mPause;
  aBreaker.mHasProbe = false;
}

void
Close(breaker& aBreaker)
{
  aBreaker.mState = breaker_state::Closed;
  aBreaker.mPause = 0ms;
  aBreaker.mAttempts = 0;
  aBreaker.mFailures = 0;
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
    case breaker_state::Probing:
      return !aBreaker.mHasProbe;
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
  aBreaker.mState = breaker_state::Probing;
  aBreaker.mHasProbe = true;
}

void
RecordEnd(breaker& aBreaker,
          evidence aEvidence,
          const breaker_limits& aLimits,
          time_point aNow)
{
  if (aEvidence == evidence::Neutral) {
    // Another request may probe: this one never reached the server.
    aBreaker.mHasProbe = false;
    return;
  }
  const bool hasFailed = aEvidence == evidence::Failure;
  Decay(aBreaker, aLimits, aNow);
  aBreaker.mAttempts += 1;
  aBreaker.mFailures += hasFailed ? 1 : 0;
  if (aBreaker.mState == breaker_state::Probing) {
    if (hasFailed) {
      Open(aBreaker, aLimits, aNow);
    } else {
      Close(aBreaker);
    }
    return;
  }
  // Answers to requests sent before the pause change nothing while open.
  if (aBreaker.mState == breaker_state::Closed && hasFailed &&
      aBreaker.mAttempts >= aLimits.mMinimumAttempts &&
      FailureShare(aBreaker) >= aLimits.mFailureRatio) {
    Open(aBreaker, aLimits, aNow);
  }
}

double
FailureShare(const breaker& aBreaker)
{
  return aBreaker.mAttempts > 0 ? aBreaker.mFailures / aBreaker.mAttempts : 0;
}

} // namespace lavender::routing
