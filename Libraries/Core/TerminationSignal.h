#pragma once

#include <chrono>

namespace lavender {

/** Waits for SIGTERM or SIGINT in one thread. The signals are blocked for the
 * whole process, so make it first in main, before any thread. */
class termination_signal
{
public:
  termination_signal();
  /** True when a signal arrived within the wait. Each signal is told once, so
   * a second one can cut a drain short. */
  bool WaitFor(std::chrono::milliseconds aWait);
};

} // namespace lavender
