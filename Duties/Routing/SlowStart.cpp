#include "Duties/Routing/SlowStart.h"

#include <algorithm>
#include <limits>

namespace lavender::routing {

namespace {

constexpr double kDesignatedShare = 0.5;

} // namespace

int
RequestsPerSecond(const slow_start_view& aView)
{
  if (aView.mRequestsPerSecond <= 0) {
    return std::numeric_limits<int>::max();
  }
  if (!aView.mIsWarming) {
    return std::max(1, static_cast<int>(aView.mRequestsPerSecond));
  }
  return aView.mIsDesignated
           ? static_cast<int>(kDesignatedShare * aView.mRequestsPerSecond)
           : 0;
}

int
RequestsLeft(const send_window& aWindow,
             const slow_start_view& aView,
             time_point aNow)
{
  const auto first = std::upper_bound(
    aWindow.mSentAt.begin(), aWindow.mSentAt.end(), aNow - kSendWindow);
  const auto sent = static_cast<int>(aWindow.mSentAt.end() - first);
  return std::max(0, RequestsPerSecond(aView) - sent);
}

void
RecordSent(send_window& aWindow, time_point aNow)
{
  auto& sent = aWindow.mSentAt;
  while (!sent.empty() && sent.front() <= aNow - kSendWindow) {
    sent.pop_front();
  }
  sent.push_back(aNow);
}

} // namespace lavender::routing
