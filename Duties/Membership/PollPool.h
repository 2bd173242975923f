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
  Silent
};

struct poll_options
{
  /** Time between the end of one poll of a target and the next. */
  milliseconds mEvery{ 500 };
  /** Threads for targets that answer. */
  std::size_t mThreads = 16;
  /** Threads for targets whose last poll failed. */
  std::size_t mThreadsForSilent = 4;
  std::function<poll_outcome(const std::string&)> mPoll;
};

/** Polls any number of targets with a bounded number of threads.
 *
 * A silent target holds a thread for a whole timeout. When an availability
 * zone goes silent, its targets would hold all threads, and the live ones
 * would look silent too. So a target whose last poll failed is polled by
 * threads of its own until it answers. */
class poll_pool
{
public:
  explicit poll_pool(poll_options aOptions);
  ~poll_pool();
  poll_pool(const poll_pool&) = delete;
  poll_pool& operator=(const poll_pool&) = delete;

  void Start();
  void Stop();
  /** From now on exactly these are polled, new ones at once. */
  void SetTargets(const std::vector<std::string>& aNames);

private:
  enum class phase
  {
    Waiting,
    Queued
  };
  struct target
  {
    time_point mDue;
    phase mPhase = phase::Waiting;
    poll_outcome mLast = poll_outcome::Answered;
  };

  void Schedule();
  void PushDue(time_point aNow);
  void Work(bounded_ring<std::string>& aRing);

  const poll_options mOptions;
  std::mutex mMutex;
  std::condition_variable mChanged;
  bool mIsStopping = false;
  std::map<std::string, target> mTargets;
  bounded_ring<std::string> mAnswering;
  bounded_ring<std::string> mSilent;
  std::vector<std::thread> mThreads;
};

} // namespace lavender::membership
