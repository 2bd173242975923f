#pragma once

#include <cstddef>
#include <sys/types.h>

namespace lavender::tests {

/** What a process uses, as the system tells; all 0 for one that has ended. */
struct process_use
{
  std::size_t mMemoryBytes = 0;
  /** Largest memory since the start of the process. */
  std::size_t mPeakBytes = 0;
  std::size_t mDescriptors = 0;
};

process_use
UseOf(pid_t aProcess);

} // namespace lavender::tests
