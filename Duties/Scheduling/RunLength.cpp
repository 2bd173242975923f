#include "Duties/Scheduling/RunLength.h"

#include <algorithm>
#include <cmath>

namespace lavender::scheduling {

namespace {

/** Weight of the newest item in the statistics once there are many. */
constexpr double kNewestWeight = 0.005;
/** Items that the assumptions below count as much as. */
constexpr double kPriorItems = 20;
/** Before any item has ended, hints are taken to be right at the median and off
 * by this much, as the standard deviation of the logarithm. */
constexpr double kPriorError = 0.7;

} // namespace

void
RecordLength(length_statistics& aStatistics, double aHintedEvents, int aEvents)
{
  if (aHintedEvents <= 0 || aEvents <= 0) {
    return;
  }
  const double hint = std::log(aHintedEvents);
  const double length = std::log(aEvents);
  aStatistics.mCount += 1;
  const double weight = std::max(kNewestWeight, 1 / aStatistics.mCount);
  const double hintOff = hint - aStatistics.mHintMean;
  const double lengthOff = length - aStatistics.mLengthMean;
  aStatistics.mHintMean += weight * hintOff;
  aStatistics.mLengthMean += weight * lengthOff;
  const auto mix = [&](double& aMean, double aValue) {
    aMean = (1 - weight) * (aMean + weight * aValue);
  };
  mix(aStatistics.mHintVariance, hintOff * hintOff);
  mix(aStatistics.mLengthVariance, lengthOff * lengthOff);
  mix(aStatistics.mCovariance, hintOff * lengthOff);
}

remaining_events
EstimateRemaining(const length_statistics& aStatistics,
                  double aHintedEvents,
                  int aEventsSoFar)
{
  double slope = 1;
  double error = kPriorError;
  double center = std::log(std::max(aHintedEvents, 1.0));
  if (aStatistics.mCount > kPriorItems && aStatistics.mHintVariance > 0) {
    slope = aStatistics.mCovariance / aStatistics.mHintVariance;
    center = aStatistics.mLengthMean + slope * (center - aStatistics.mHintMean);
    error = std::sqrt(std::max(
      0.01, aStatistics.mLengthVariance - slope * aStatistics.mCovariance));
  }
  // Given that the item is longer than what it has, the upper part of the
  // distribution is left.
  const auto tail = [&](double aEvents) {
    return 0.5 *
           std::erfc((std::log(aEvents) - center) / (error * std::sqrt(2)));
  };
  const double made = std::max(aEventsSoFar, 0);
  const double left = made > 0 ? std::max(tail(made), 1e-6) : 1;
  const auto quantile = [&](double aShare) {
    double low = std::max(made, 0.5);
    double high = std::max(low * 2, std::exp(center + 5 * error));
    for (int i = 0; i < 30; ++i) {
      const double middle = std::sqrt(low * high);
      (tail(middle) > left * aShare ? low : high) = middle;
    }
    return std::max(low - made, 1.0);
  };
  remaining_events remaining;
  // The mean of three quantiles stands for the mean.
  remaining.mMean = (quantile(0.833) + quantile(0.5) + quantile(0.167)) / 3;
  remaining.mUpper = quantile(0.1);
  return remaining;
}

} // namespace lavender::scheduling
