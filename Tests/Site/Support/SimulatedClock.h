#pragma once

#include "Libraries/Core/Scheduler.h"

#include <map>

namespace lavender::tests {

/** Time that moves only when the test says so, and the actions planned on it:
 * minutes pass in milliseconds, and a run with one seed is always the same. */
class simulated_clock
{
public:
  simulated_clock() = default;
  /** What is still planned goes, also actions that hold themselves. */
  ~simulated_clock();
  simulated_clock(const simulated_clock&) = delete;
  simulated_clock& operator=(const simulated_clock&) = delete;

  time_point Now() const { return mNow; }
  /** @return uses of this clock, which must outlive it */
  scheduler Scheduler();
  void RunFor(milliseconds aTime);
  /** @return whether the condition came to hold within that time */
  bool RunUntil(const std::function<bool()>& aCondition, milliseconds aLimit);

private:
  struct planned;

  /** @return false when nothing is planned up to then */
  bool RunNext(time_point aUntil);

  time_point mNow{ std::chrono::hours(1) };
  /** In the order of their times, those of one time in that of planning. */
  std::multimap<time_point, std::weak_ptr<planned>> mPlanned;
};

} // namespace lavender::tests
