#pragma once

#include "Libraries/Core/Scheduler.h"

#include <map>

namespace lavender::tests {

/** A clock and timer queue that advance only when the test runs them. Simulated
 * minutes take milliseconds, and runs with the same seed are identical. */
class simulated_clock
{
public:
  simulated_clock() = default;
  /** Clears all pending actions, as an action that owns its own handle would
   * leak otherwise. */
  ~simulated_clock();
  simulated_clock(const simulated_clock&) = delete;
  simulated_clock& operator=(const simulated_clock&) = delete;

  time_point Now() const { return mNow; }
  /** @return a scheduler on this clock; the clock must outlive it */
  scheduler Scheduler();
  void RunFor(milliseconds aTime);
  /** @return whether the condition became true within the limit */
  bool RunUntil(const std::function<bool()>& aCondition, milliseconds aLimit);

private:
  struct scheduled_callback;

  /** Runs the next action.
   * @return false if no action is due by that time */
  bool RunNext(time_point aUntil);

  time_point mNow{ std::chrono::hours(1) };
  /** Pending actions by due time; those due at the same time are in the order
   * in which they were scheduled. */
  std::multimap<time_point, std::weak_ptr<scheduled_callback>> mScheduled;
};

} // namespace lavender::tests
