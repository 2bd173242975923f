#include "Duties/Rewards/RewardDecision.h"

#include "Libraries/Core/Mechanisms.h"

#include <algorithm>
#include <limits>

namespace lavender::rewards {

namespace {

constexpr int kTimeoutInTargetLatencies = 2;
constexpr int kSlotDivisor = 2;
/** Lower bound of the limit, so that calls continue while entries of servers
 * are missing from the directory. */
constexpr int kMinimumInFlight = 4;
constexpr unsigned kServerError = 500;
/** Number of attempts that are made without delay. */
constexpr int kImmediateAttempts = 2;
/** Some slots become free in this time. */
constexpr milliseconds kFirstDelay{ 60 };
constexpr milliseconds kMaximumDelay{ 1000 };
constexpr int kMaximumDoublings = 8;

} // namespace

const char*
ToString(response_kind aKind)
{
  switch (aKind) {
    case response_kind::Scored:
      return "scored";
    case response_kind::ServerError:
      return "server_error";
    case response_kind::Rejected:
      return "turned_away";
    case response_kind::Unusable:
      return "unusable";
  }
  return "unknown";
}

response_kind
ClassifyResponse(const response_summary& aResponse)
{
  if (aResponse.mEnd != edge::call_end::Complete) {
    return response_kind::Unusable;
  }
  if (aResponse.mIsNotExecuted) {
    return response_kind::Rejected;
  }
  if (aResponse.mStatus >= 200 && aResponse.mStatus < 300 &&
      aResponse.mHasSignature) {
    return response_kind::Scored;
  }
  return aResponse.mStatus == kServerError ? response_kind::ServerError
                                           : response_kind::Unusable;
}

next_step
DecideNext(response_kind aKind, int aErrors, int aMaximumAttempts)
{
  switch (aKind) {
    case response_kind::Scored:
      return next_step::Deliver;
    case response_kind::ServerError:
      return aErrors >= std::max(aMaximumAttempts, 1) ? next_step::GiveUp
                                                      : next_step::SendAgain;
    case response_kind::Rejected:
      return next_step::SendLater;
    case response_kind::Unusable:
      return next_step::SendAgain;
  }
  return next_step::SendLater;
}

milliseconds
RetryDelay(next_step aStep, int aAttempts)
{
  if (aStep == next_step::SendAgain && aAttempts <= kImmediateAttempts) {
    return milliseconds(0);
  }
  const auto doublings =
    std::clamp(aAttempts - kImmediateAttempts, 0, kMaximumDoublings);
  return std::min(kFirstDelay * (1 << doublings), kMaximumDelay);
}

milliseconds
AttemptTimeout(milliseconds aTargetLatency, milliseconds aTimeLeft)
{
  return std::min(aTargetLatency * kTimeoutInTargetLatencies, aTimeLeft);
}

int
MaximumInFlight(int aSlots)
{
  return IsOn(mechanism::RewardLimit)
           ? std::max(aSlots / kSlotDivisor, kMinimumInFlight)
           : std::numeric_limits<int>::max();
}

} // namespace lavender::rewards
