#pragma once

#include "Libraries/Core/BoundedRing.h"
#include "Libraries/Core/Clock.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace lavender::membership {

enum class poll_outcome
{
  Answered,
  Unresponsive
};

struct poll_options
{
  /** Time from the end of one poll of a target to the start of the next. */
  milliseconds mInterval{ 500 };
  /** Threads for targets whose last poll was answered. */
  std::size_t mThreads = 16;
  /** Threads for targets whose last poll failed. */
  std::size_t mThreadsForUnresponsive = 4;
  std::function<poll_outcome(const std::string&)> mPoll;
};

/** Polls any number of targets with a bounded number of threads.
 *
 * An unresponsive target occupies a thread for a whole timeout. If a whole
 * availability zone became unresponsive, its targets would occupy all threads,
 * and the remaining targets would appear unresponsive too. Therefore a separate
 * set of threads polls the targets whose last poll failed. */
class poll_pool
{
public:
  explicit poll_pool(poll_options aOptions);
  ~poll_pool();
  poll_pool(const poll_pool&) = delete;
  poll_pool& operator=(const poll_pool&) = delete;

  void Start();
  void Stop();
  /** Replaces the set of targets. New targets are polled immediately. */
  void SetTargets(const std::vector<std::string>& aNames);

private:
  enum class phase
  {
    Waiting,
    Queued
  };
  struct target
  {
    time_point mDueAt;
    phase mPhase = phase::Waiting;
    poll_outcome mLastOutcome = poll_outcome::Answered;
  };

  void Schedule();
  void PushDue(time_point aNow);
  void RunWorker(bounded_ring<std::string>& aRing);

  const poll_options mOptions;
  std::mutex mMutex;
  std::condition_variable mChanged;
  bool mIsStopping = false;
  std::map<std::string, target> mTargets;
  bounded_ring<std::string> mResponsiveQueue;
  bounded_ring<std::string> mUnresponsiveQueue;
  std::vector<std::thread> mThreads;
};

} // namespace lavender::membership
