#include "Duties/Scheduling/RunLength.h"

#include <algorithm>
#include <cmath>

namespace lavender::scheduling {

namespace {

/** Weight of the newest item in the statistics once there are many. */
constexpr double kNewestWeight = 0.002;
/** Items that the assumptions below count as much as. */
constexpr double kPriorItems = 20;
/** Before any item has ended, hints are taken to be right at the median and off
 * by this much, as the standard deviation of the logarithm. */
constexpr double kPriorError = 0.7;
/** Length of an item of which neither a hint nor an earlier item tells. */
constexpr double kPriorEvents = 100;
/** Lengths grow with their hints, and not much faster than these. */
constexpr double kMaximumSlope = 1.5;
/** A run whose length deviates further, as a logarithm, shows that its
 * expectation was wrong rather than that it ends at once. */
constexpr double kMaximumDeviation = 3;
/** Events of the longest run that a caller can mean. */
constexpr double kMaximumEvents = 1e9;
/** Share of the runs that may take longer than mUpper. */
constexpr double kUpperShare = 0.1;
constexpr double kLowestDeviation =
  -kDeviationStep * static_cast<double>(kDeviationClasses) / 2;

using deviation_shares = std::array<double, kDeviationClasses>;

/** Also false if the figure is no number. */
bool
IsHint(double aHintedEvents)
{
  return aHintedEvents > 0 && aHintedEvents <= kMaximumEvents;
}

double
LowerEdge(std::size_t aClass)
{
  return kLowestDeviation + kDeviationStep * static_cast<double>(aClass);
}

std::size_t
ClassOf(double aDeviation)
{
  const double place = (aDeviation - kLowestDeviation) / kDeviationStep;
  return static_cast<std::size_t>(
    std::clamp(place, 0.0, static_cast<double>(kDeviationClasses - 1)));
}

/** Shares of a normal distribution with standard deviation kPriorError. */
deviation_shares
MakePriorShares()
{
  const auto below = [](double aDeviation) {
    return 0.5 * std::erfc(-aDeviation / (kPriorError * std::sqrt(2)));
  };
  deviation_shares shares{};
  for (std::size_t i = 0; i < kDeviationClasses; ++i) {
    shares[i] = below(LowerEdge(i + 1)) - below(LowerEdge(i));
  }
  return shares;
}

/** How much the earlier items count against the assumptions, 0 to 1. */
double
LearnedShare(const length_statistics& aStatistics)
{
  // Also 0 if the count is no number.
  const double items = aStatistics.mCount > 0
                         ? std::min(aStatistics.mCount, 1 / kNewestWeight)
                         : 0;
  return items / (items + kPriorItems);
}

deviation_shares
ExpectDeviations(const length_statistics& aStatistics)
{
  static const auto kPriorShares = MakePriorShares();
  const double learned = LearnedShare(aStatistics);
  deviation_shares shares{};
  for (std::size_t i = 0; i < kDeviationClasses; ++i) {
    shares[i] =
      (1 - learned) * kPriorShares[i] + learned * aStatistics.mDeviations[i];
  }
  return shares;
}

/** Logarithm of the length to be expected, before deviations. */
double
ExpectLength(const length_statistics& aStatistics, double aHintedEvents)
{
  const bool isHinted = IsHint(aHintedEvents);
  const double prior = std::log(isHinted ? aHintedEvents : kPriorEvents);
  double learned = aStatistics.mLengthMean;
  if (isHinted && aStatistics.mHintVariance > 0) {
    const double slope = std::clamp(
      aStatistics.mCovariance / aStatistics.mHintVariance, 0.0, kMaximumSlope);
    learned += slope * (prior - aStatistics.mHintMean);
  }
  // Without a hint a few items tell more than the assumption.
  const double share =
    isHinted || aStatistics.mCount < 1 ? LearnedShare(aStatistics) : 1;
  const double expected = (1 - share) * prior + share * learned;
  return std::isfinite(expected)
           ? std::clamp(expected, 0.0, std::log(kMaximumEvents))
           : prior;
}

/** The part of a distribution of deviations above a given one. */
struct upper_part
{
  double mShare = 0;
  /** Mean factor by which lengths in this part exceed the expected one. */
  double mMeanFactor = 0;
  /** Deviation that kUpperShare of this part exceeds. */
  double mUpperDeviation = 0;
};

/** Within a class all deviations are equally frequent. */
upper_part
FindUpperPart(const deviation_shares& aShares, double aAbove)
{
  upper_part part;
  const auto first = ClassOf(aAbove);
  const auto from = [&](std::size_t aClass) {
    return std::max(LowerEdge(aClass), aAbove);
  };
  for (std::size_t i = first; i < kDeviationClasses; ++i) {
    const double density = aShares[i] / kDeviationStep;
    const double end = LowerEdge(i + 1);
    part.mShare += density * (end - from(i));
    part.mMeanFactor += density * (std::exp(end) - std::exp(from(i)));
  }
  part.mMeanFactor /= part.mShare;
  double left = part.mShare * kUpperShare;
  for (std::size_t i = kDeviationClasses; i-- > first;) {
    const double density = aShares[i] / kDeviationStep;
    const double end = LowerEdge(i + 1);
    if (density * (end - from(i)) >= left) {
      part.mUpperDeviation = end - left / density;
      break;
    }
    left -= density * (end - from(i));
  }
  return part;
}

} // namespace

void
RecordLength(length_statistics& aStatistics, double aHintedEvents, int aEvents)
{
  if (aEvents <= 0) {
    return;
  }
  const double length = std::log(aEvents);
  const double deviation = length - ExpectLength(aStatistics, aHintedEvents);
  const double hintOff =
    IsHint(aHintedEvents) ? std::log(aHintedEvents) - aStatistics.mHintMean : 0;
  const double lengthOff = length - aStatistics.mLengthMean;
  aStatistics.mCount = std::max(0.0, aStatistics.mCount) + 1;
  const double weight = std::max(kNewestWeight, 1 / aStatistics.mCount);
  aStatistics.mHintMean += weight * hintOff;
  aStatistics.mLengthMean += weight * lengthOff;
  const auto mix = [&](double& aMean, double aValue) {
    aMean = (1 - weight) * (aMean + weight * aValue);
  };
  mix(aStatistics.mHintVariance, hintOff * hintOff);
  mix(aStatistics.mCovariance, hintOff * lengthOff);
  for (auto& share : aStatistics.mDeviations) {
    share *= 1 - weight;
  }
  aStatistics.mDeviations[ClassOf(deviation)] += weight;
}

remaining_events
EstimateRemaining(const length_statistics& aStatistics,
                  double aHintedEvents,
                  int aEventsSoFar)
{
  double expected = ExpectLength(aStatistics, aHintedEvents);
  const double made = std::max(aEventsSoFar, 0);
  double deviation = kLowestDeviation;
  if (made > 0) {
    expected = std::max(expected, std::log(made) - kMaximumDeviation);
    deviation = std::max(deviation, std::log(made) - expected);
  }
  const auto part = FindUpperPart(ExpectDeviations(aStatistics), deviation);
  const double mean = std::exp(expected) * part.mMeanFactor;
  const double upper = std::exp(expected + part.mUpperDeviation);
  remaining_events remaining;
  remaining.mMean = std::clamp(mean - made, 1.0, kMaximumEvents);
  remaining.mUpper = std::clamp(upper - made, 1.0, kMaximumEvents);
  return remaining;
}

} // namespace lavender::scheduling
