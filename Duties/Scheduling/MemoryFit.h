#pragma once

#include <cstdint>
#include <vector>

/** Decides whether a further run fits into a server's memory. A server whose
 * runs outgrow its memory preempts one of them and must read all its tokens
 * again later. No I/O. */
namespace lavender::scheduling {

/** Memory that a run occupies, in tokens. */
struct run_memory
{
  /** Tokens read and generated so far. */
  std::int64_t mNow = 0;
  /** Tokens that it is expected to have at its end. */
  std::int64_t mAtEnd = 0;
  /** Expected time until its end, in events. */
  double mEventsLeft = 0;
};

/** Whether the runs together stay within the memory until they have ended. Runs
 * that end earlier free their memory for those that go on. On an empty server
 * every run fits; otherwise one that is larger than the memory never started.
 * @param aCapacity 0 if unknown; then everything fits */
bool
FitsInMemory(const std::vector<run_memory>& aRuns,
             const run_memory& aNext,
             std::int64_t aCapacity);

} // namespace lavender::scheduling
