#pragma once

#include <chrono>
#include <cstdint>
#include <sys/types.h>

namespace lavender::bench {

/** Resource usage of one process as counted by the kernel. */
struct process_cost
{
  std::chrono::nanoseconds mCpuTime{ 0 };
  std::int64_t mResidentKilobytes = 0;
  int mThreads = 0;
};

/** Reads a process's usage from /proc; zeros if the process has ended. */
process_cost
ReadCost(pid_t aProcess);

} // namespace lavender::bench
