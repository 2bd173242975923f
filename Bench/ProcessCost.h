#pragma once

#include <chrono>
#include <cstdint>
#include <sys/types.h>

namespace lavender::bench {

/** What the kernel counted for one process. */
struct process_cost
{
  std::chrono::nanoseconds mProcessor{ 0 };
  std::int64_t mResidentKilobytes = 0;
  int mThreads = 0;
};

/** Zeros when the process is gone. */
process_cost
ReadCost(pid_t aProcess);

} // namespace lavender::bench
