#pragma once

#include <chrono>

namespace lavender {

/** Waits for SIGTERM or SIGINT in one thread. The constructor blocks both
 * signals; construct it first in main, so that threads started later inherit
 * the signal mask. */
class termination_signal
{
public:
  termination_signal();
  /** Returns true when a signal arrived within the wait. Each signal is
   * reported once, so that a second one can cut a drain short. */
  bool WaitFor(std::chrono::milliseconds aWait);
};

} // namespace lavender
