#include "Duties/Scheduling/MemoryFit.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>
#include <numeric>

namespace lavender::scheduling {

namespace {

/** The run with figures that can be added up: it never shrinks, and one whose
 * end isn't known takes all its memory at once and stays. */
run_memory
MakePossible(run_memory aRun)
{
  aRun.mNow = std::max<std::int64_t>(aRun.mNow, 0);
  aRun.mAtEnd = std::max(aRun.mAtEnd, aRun.mNow);
  if (!std::isfinite(aRun.mEventsLeft)) {
    aRun.mNow = aRun.mAtEnd;
    aRun.mEventsLeft = std::numeric_limits<double>::infinity();
  }
  return aRun;
}

/** Tokens that the run occupies after a number of events, counted from now. */
double
MemoryAfter(const run_memory& aRun, double aEvents)
{
  if (aEvents >= aRun.mEventsLeft) {
    return static_cast<double>(aRun.mAtEnd);
  }
  const double grown = static_cast<double>(aRun.mAtEnd - aRun.mNow) *
                       std::max(0.0, aEvents / aRun.mEventsLeft);
  return static_cast<double>(aRun.mNow) + grown;
}

} // namespace

bool
FitsInMemory(const std::vector<run_memory>& aRuns,
             const run_memory& aNext,
             std::int64_t aCapacity)
{
  if (aCapacity <= 0 || aRuns.empty()) {
    return true;
  }
  std::vector<run_memory> runs;
  std::transform(
    aRuns.begin(), aRuns.end(), std::back_inserter(runs), MakePossible);
  runs.push_back(MakePossible(aNext));
  const auto atEnd = std::accumulate(
    runs.begin(),
    runs.end(),
    std::int64_t{ 0 },
    [](auto aSum, const auto& aRun) { return aSum + aRun.mAtEnd; });
  if (atEnd <= aCapacity) {
    return true;
  }
  // The sum is largest at the moment before some run ends.
  return std::all_of(runs.begin(), runs.end(), [&](const auto& aEnding) {
    double used = 0;
    for (const auto& run : runs) {
      if (run.mEventsLeft >= aEnding.mEventsLeft) {
        used += MemoryAfter(run, aEnding.mEventsLeft);
      }
    }
    return used <= static_cast<double>(aCapacity);
  });
}

} // namespace lavender::scheduling
