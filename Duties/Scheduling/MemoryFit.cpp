#include "Duties/Scheduling/MemoryFit.h"

#include <algorithm>

namespace lavender::scheduling {

namespace {

/** Tokens that the run occupies after a number of events, counted from now. */
double
MemoryAfter(const run_memory& aRun, double aEvents)
{
  if (aRun.mEventsLeft <= 0) {
    return static_cast<double>(aRun.mAtEnd);
  }
  const double grown = static_cast<double>(aRun.mAtEnd - aRun.mNow) *
                       std::min(1.0, aEvents / aRun.mEventsLeft);
  return static_cast<double>(aRun.mNow) + grown;
}

} // namespace

bool
FitsInMemory(const std::vector<run_memory>& aRuns,
             const run_memory& aNext,
             std::int64_t aCapacity)
{
  if (aCapacity <= 0) {
    return true;
  }
  std::int64_t atEnd = aNext.mAtEnd;
  for (const auto& run : aRuns) {
    atEnd += run.mAtEnd;
  }
  if (atEnd <= aCapacity) {
    return true;
  }
  auto runs = aRuns;
  runs.push_back(aNext);
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
