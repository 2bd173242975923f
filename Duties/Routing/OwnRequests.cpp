#include "Duties/Routing/OwnRequests.h"

#include <algorithm>

namespace lavender::routing {

void
RecordSent(own_requests& aOwn, time_point aNow)
{
  aOwn.mInFlight.push_back(aNow);
  aOwn.mCorrection += aNow > aOwn.mReportedAt ? 1 : 0;
}

void
RecordEnd(own_requests& aOwn, time_point aSentAt, time_point aNow)
{
  const auto sent =
    std::find(aOwn.mInFlight.begin(), aOwn.mInFlight.end(), aSentAt);
  if (sent == aOwn.mInFlight.end()) {
    return;
  }
  aOwn.mInFlight.erase(sent);
  --aOwn.mCorrection;
  aOwn.mEnded.push_back({ aSentAt, aNow });
  while (aNow - aOwn.mEnded.front().mEndedAt > kLongestReportDelay) {
    aOwn.mEnded.pop_front();
  }
}

void
ApplyReportTime(own_requests& aOwn, time_point aMadeAt)
{
  if (aMadeAt <= aOwn.mReportedAt) {
    return;
  }
  aOwn.mReportedAt = aMadeAt;
  aOwn.mEnded.erase(std::remove_if(aOwn.mEnded.begin(),
                                   aOwn.mEnded.end(),
                                   [&](const auto& aEnded) {
                                     return aEnded.mEndedAt <= aMadeAt;
                                   }),
                    aOwn.mEnded.end());
  const auto sentAfter =
    std::count_if(aOwn.mInFlight.begin(),
                  aOwn.mInFlight.end(),
                  [&](time_point aSentAt) { return aSentAt > aMadeAt; });
  const auto stillShown =
    std::count_if(aOwn.mEnded.begin(),
                  aOwn.mEnded.end(),
                  [&](const auto& aOne) { return aOne.mSentAt <= aMadeAt; });
  aOwn.mCorrection = static_cast<int>(sentAfter - stillShown);
}

} // namespace lavender::routing
