#include "Duties/Rewards/RewardDecision.h"

#include "Libraries/Core/Mechanisms.h"

#include <algorithm>
#include <limits>

namespace lavender::rewards {

namespace {

constexpr int kTargetsOfPatience = 2;
constexpr int kShareOfPlaces = 2;
/** However few places are known, so that calls go on while entries of servers
 * are missing. */
constexpr int kLeastUnderWay = 4;
constexpr unsigned kServerError = 500;
/** Sendings that follow each other at once. */
constexpr int kSentAtOnce = 2;
/** Some places come free in it. */
constexpr milliseconds kFirstPause{ 60 };
constexpr milliseconds kLongestPause{ 1000 };
constexpr int kMostDoublings = 8;

} // namespace

const char*
ToString(answer_kind aKind)
{
  switch (aKind) {
    case answer_kind::Scored:
      return "scored";
    case answer_kind::ServerError:
      return "server_error";
    case answer_kind::TurnedAway:
      return "turned_away";
    case answer_kind::Unusable:
      return "unusable";
  }
  return "unknown";
}

answer_kind
Judge(const answer_view& aAnswer)
{
  if (aAnswer.mEnd != edge::call_end::Complete || aAnswer.mIsMismatched) {
    return answer_kind::Unusable;
  }
  if (aAnswer.mIsNotExecuted) {
    return answer_kind::TurnedAway;
  }
  if (aAnswer.mStatus >= 200 && aAnswer.mStatus < 300 && aAnswer.mIsSigned) {
    return answer_kind::Scored;
  }
  return aAnswer.mStatus == kServerError ? answer_kind::ServerError
                                         : answer_kind::Unusable;
}

next_step
DecideNext(answer_kind aKind, int aErrors, int aMaximumAttempts)
{
  switch (aKind) {
    case answer_kind::Scored:
      return next_step::Deliver;
    case answer_kind::ServerError:
      return aErrors >= std::max(aMaximumAttempts, 1) ? next_step::GiveUp
                                                      : next_step::SendAgain;
    case answer_kind::TurnedAway:
      return next_step::SendLater;
    case answer_kind::Unusable:
      return next_step::SendAgain;
  }
  return next_step::SendLater;
}

milliseconds
PauseBefore(next_step aStep, int aSendings)
{
  if (aStep == next_step::SendAgain && aSendings <= kSentAtOnce) {
    return milliseconds(0);
  }
  const auto doublings = std::clamp(aSendings - kSentAtOnce, 0, kMostDoublings);
  return std::min(kFirstPause * (1 << doublings), kLongestPause);
}

milliseconds
PatienceFor(milliseconds aTargetLatency, milliseconds aTimeLeft)
{
  return std::min(aTargetLatency * kTargetsOfPatience, aTimeLeft);
}

int
MostUnderWay(int aPlaces)
{
  return IsOn(mechanism::RewardLimit)
           ? std::max(aPlaces / kShareOfPlaces, kLeastUnderWay)
           : std::numeric_limits<int>::max();
}

} // namespace lavender::rewards
