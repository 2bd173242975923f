#include "Libraries/Http/WorkerPool.h"

#include <algorithm>
#include <chrono>
#include <system_error>

namespace lavender::http {
namespace {

/** Threads that stay without a job. */
constexpr std::size_t kLastingThreads = 4;
/** Time without a job after which another thread ends. */
constexpr std::chrono::milliseconds kIdleTime{ 2000 };

void
Join(std::vector<std::thread>& aThreads)
{
  for (auto& thread : aThreads) {
    thread.join();
  }
}

} // namespace

worker_pool::worker_pool(std::size_t aMaximum)
  : mMaximum(std::max<std::size_t>(aMaximum, 1))
{
  std::lock_guard lock(mMutex);
  while (mThreads.size() < std::min(mMaximum, kLastingThreads)) {
    StartThread();
  }
}

worker_pool::~worker_pool()
{
  Stop();
}

void
worker_pool::Run(job aJob)
{
  std::vector<std::thread> retired;
  {
    std::lock_guard lock(mMutex);
    mJobs.push_back(std::move(aJob));
    if (mJobs.size() > mIdle && mThreads.size() < mMaximum) {
      try {
        StartThread();
      } catch (const std::system_error&) {
        // The system has no more threads; the job waits for one of ours.
      }
    }
    retired.swap(mRetired);
  }
  mChanged.notify_one();
  Join(retired);
}

void
worker_pool::Stop()
{
  std::vector<std::thread> ending;
  {
    std::lock_guard lock(mMutex);
    mIsStopping = true;
    ending.swap(mRetired);
    for (auto& [id, thread] : mThreads) {
      ending.push_back(std::move(thread));
    }
    mThreads.clear();
  }
  mChanged.notify_all();
  Join(ending);
}

std::size_t
worker_pool::Threads() const
{
  std::lock_guard lock(mMutex);
  return mThreads.size();
}

/** Called under the lock. */
void
worker_pool::StartThread()
{
  std::thread started([this] { Work(); });
  mThreads.emplace(started.get_id(), std::move(started));
}

void
worker_pool::Work()
{
  std::unique_lock lock(mMutex);
  while (true) {
    ++mIdle;
    const bool isWoken = mChanged.wait_for(
      lock, kIdleTime, [&] { return !mJobs.empty() || mIsStopping; });
    --mIdle;
    if (!isWoken && mThreads.size() > kLastingThreads) {
      Retire();
      return;
    }
    if (isWoken && mJobs.empty()) {
      return;
    }
    if (!isWoken) {
      continue;
    }
    auto next = std::move(mJobs.front());
    mJobs.pop_front();
    lock.unlock();
    next();
    next = nullptr;
    lock.lock();
  }
}

/** Called by the thread itself, under the lock. */
void
worker_pool::Retire()
{
  const auto own = mThreads.find(std::this_thread::get_id());
  mRetired.push_back(std::move(own->second));
  mThreads.erase(own);
}

} // namespace lavender::http
