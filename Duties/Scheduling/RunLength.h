#pragma once

#include <array>
#include <cstddef>
#include <map>
#include <string>

/** Estimates how many events a run will still generate, from the caller's hint,
 * from the lengths of earlier items, and from what the run has generated so
 * far. No I/O. */
namespace lavender::scheduling {

/** Number of classes of kDeviationStep by which lengths deviate from the
 * expected ones, as logarithms; the expected length is in the middle. */
constexpr std::size_t kDeviationClasses = 80;
constexpr double kDeviationStep = 0.1;

/** Running statistics of finished items: how their true lengths relate to their
 * hints. Lengths are compared as logarithms, because hints are off by factors.
 */
struct length_statistics
{
  double mCount = 0;
  double mHintMean = 0;
  double mLengthMean = 0;
  double mHintVariance = 0;
  double mCovariance = 0;
  /** Share of the items in each class. Kept by class, because a few items may
   * be several times as long as all others. */
  std::array<double, kDeviationClasses> mDeviations{};
};

/** By model. */
using length_statistics_by_model = std::map<std::string, length_statistics>;

/** Number of events that a run will still generate. */
struct remaining_events
{
  double mMean = 0;
  /** Nine runs in ten end within this many events. */
  double mUpper = 0;
};

/** @param aHintedEvents length to expect by the caller's hint; zero or less if
 * there is none; such an item counts like one with the mean hint
 * @param aEvents events that the item had in the end */
void
RecordLength(length_statistics& aStatistics, double aHintedEvents, int aEvents);

/** @param aEventsSoFar events that the item has already; a run that outgrows
 * its hint is expected to go on */
remaining_events
EstimateRemaining(const length_statistics& aStatistics,
                  double aHintedEvents,
                  int aEventsSoFar);

} // namespace lavender::scheduling
