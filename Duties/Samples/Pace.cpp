#include "Duties/Samples/Pace.h"

#include <algorithm>
#include <vector>

namespace lavender::samples {
namespace {

/** Above this number of measured tokens, the previous measurements are halved.
 */
constexpr double kMaximumMeasuredTokens = 4000;

double
SecondsPerToken(const server_pace& aPace)
{
  return aPace.mTokens > 0 ? aPace.mSeconds / aPace.mTokens : 0;
}

/** Lower median over the servers. With a mean over servers, one slow server of
 * two would go unnoticed; with a mean over samples, one that finishes few. */
double
MedianPace(const pace_table& aTable, const pace_limits& aLimits)
{
  std::vector<double> paces;
  for (const auto& [name, pace] : aTable.mServers) {
    if (pace.mTokens >= aLimits.mMinimumTokens) {
      paces.push_back(SecondsPerToken(pace));
    }
  }
  if (paces.empty()) {
    return 0;
  }
  const auto middle =
    paces.begin() + static_cast<std::ptrdiff_t>((paces.size() - 1) / 2);
  std::nth_element(paces.begin(), middle, paces.end());
  return *middle;
}

} // namespace

void
RecordPace(pace_table& aTable,
           const std::string& aServer,
           milliseconds aElapsed,
           std::int64_t aTokens)
{
  auto& pace = aTable.mServers[aServer];
  if (pace.mTokens > kMaximumMeasuredTokens) {
    pace.mSeconds /= 2;
    pace.mTokens /= 2;
  }
  pace.mSeconds += std::chrono::duration<double>(aElapsed).count();
  pace.mTokens += static_cast<double>(aTokens);
}

std::string
FindMoveReason(const pace_table& aTable,
               const pace_limits& aLimits,
               const running_sample& aSample)
{
  const auto found = aTable.mServers.find(aSample.mServer);
  if (found == aTable.mServers.end() ||
      found->second.mTokens < aLimits.mMinimumTokens) {
    return {};
  }
  const double own = SecondsPerToken(found->second);
  const double overdueAfter = std::max(
    std::chrono::duration<double>(aLimits.mMinimumOverdueTime).count(),
    aLimits.mOverdueFactor * own * static_cast<double>(aSample.mMaximumTokens));
  if (std::chrono::duration<double>(aSample.mElapsed).count() > overdueAfter) {
    return "sample_overdue";
  }
  const bool isSlow = own > aLimits.mSlowFactor * MedianPace(aTable, aLimits);
  return isSlow && aSample.mIsLastOfStep && !aSample.mWasMoved ? "server_slow"
                                                               : "";
}

} // namespace lavender::samples
