#include "Duties/Forwarding/StopDecision.h"

#include <algorithm>

namespace lavender::forwarding {

namespace {

/** Time for the answer to reach the caller, and for a timer that comes late on
 * a busy machine. */
constexpr milliseconds kAnswerTime{ 100 };

/** A request may take a quarter longer than the longest of the recent ones. */
constexpr milliseconds
WithMargin(milliseconds aTime)
{
  constexpr int kMarginDivisor = 4;
  return aTime + aTime / kMarginDivisor;
}

} // namespace

void
RecordDuration(recent_durations& aDurations,
               milliseconds aDuration,
               request_end aEnd)
{
  aDurations.mLatest[aDurations.mRecorded++ % kRememberedRequests] = {
    aDuration, aEnd
  };
}

std::optional<milliseconds>
LongestOf(const recent_durations& aDurations)
{
  const auto remembered = std::min(aDurations.mRecorded, kRememberedRequests);
  std::optional<milliseconds> longest;
  milliseconds longestBrokenOff{ 0 };
  for (std::size_t i = 0; i < remembered; ++i) {
    const auto& [time, end] = aDurations.mLatest[i];
    if (end == request_end::ByServer) {
      longest = std::max(longest.value_or(time), time);
    } else {
      longestBrokenOff = std::max(longestBrokenOff, time);
    }
  }
  return longest && *longest >= longestBrokenOff ? longest : std::nullopt;
}

bool
CanEndInTime(const stop_question& aQuestion)
{
  const auto left = aQuestion.mUntilEnd - kAnswerTime;
  if (left <= milliseconds(0)) {
    return false;
  }
  if (aQuestion.mOwnLimit <= left) {
    return true;
  }
  if (!aQuestion.mLongest) {
    return false;
  }
  return WithMargin(std::max(*aQuestion.mLongest, aQuestion.mOldestUnderWay)) <=
         left;
}

} // namespace lavender::forwarding
