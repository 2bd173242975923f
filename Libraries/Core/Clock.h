#pragma once

#include <chrono>
#include <time.h>

namespace lavender {

/** CLOCK_BOOTTIME as a chrono clock. It advances while the machine is
 * suspended, so that a lease expires on time on a suspended instance. Decision
 * logic takes time points as arguments and never reads the clock itself. */
struct boot_clock
{
  using rep = std::chrono::nanoseconds::rep;              // NOLINT
  using period = std::chrono::nanoseconds::period;        // NOLINT
  using duration = std::chrono::nanoseconds;              // NOLINT
  using time_point = std::chrono::time_point<boot_clock>; // NOLINT
  static constexpr bool is_steady = true;                 // NOLINT

  static time_point now() // NOLINT
  {
    timespec value{};
    clock_gettime(CLOCK_BOOTTIME, &value);
    return time_point(std::chrono::seconds(value.tv_sec) +
                      std::chrono::nanoseconds(value.tv_nsec));
  }
};

using time_point = boot_clock::time_point;
using milliseconds = std::chrono::milliseconds;

} // namespace lavender
