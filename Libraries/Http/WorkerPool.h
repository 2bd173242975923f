#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

namespace lavender::http {

/** Threads that run jobs which block. A thread starts when a job would wait
 * otherwise, and ends after a time without one; a few stay. */
class worker_pool
{
public:
  using job = std::function<void()>;

  /** @param aMaximum threads at most; further jobs wait for one. At least one
   * is started. */
  explicit worker_pool(std::size_t aMaximum);
  ~worker_pool();
  worker_pool(const worker_pool&) = delete;
  worker_pool& operator=(const worker_pool&) = delete;

  /** @param aJob must not throw */
  void Run(job aJob);
  /** Waits until all jobs have run, then ends the threads. No job may be given
   * any more. */
  void Stop();
  std::size_t Threads() const;

private:
  void StartThread();
  void Work();
  void Retire();

  const std::size_t mMaximum;
  mutable std::mutex mMutex;
  std::condition_variable mChanged;
  std::deque<job> mJobs;
  std::map<std::thread::id, std::thread> mThreads;
  /** Threads that do nothing any more. */
  std::vector<std::thread> mRetired;
  std::size_t mIdle = 0;
  bool mIsStopping = false;
};

} // namespace lavender::http
