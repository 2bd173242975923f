#include "Duties/Membership/PollPool.h"

#include <algorithm>
#include <set>

namespace lavender::membership {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kRingCapacity = 2048;
/** Resolution of the poll schedule. */
constexpr milliseconds kScheduleResolution = 20ms;
constexpr milliseconds kPopWait = 1000ms;

} // namespace

poll_pool::poll_pool(poll_options aOptions)
  : mOptions(std::move(aOptions))
  , mResponsiveQueue(kRingCapacity)
  , mUnresponsiveQueue(kRingCapacity)
{
}

poll_pool::~poll_pool()
{
  Stop();
}

void
poll_pool::Start()
{
  mThreads.emplace_back([this] { Schedule(); });
  for (std::size_t i = 0; i < mOptions.mThreads; ++i) {
    mThreads.emplace_back([this] { RunWorker(mResponsiveQueue); });
  }
  for (std::size_t i = 0; i < mOptions.mThreadsForUnresponsive; ++i) {
    mThreads.emplace_back([this] { RunWorker(mUnresponsiveQueue); });
  }
}

void
poll_pool::Stop()
{
  {
    std::lock_guard lock(mMutex);
    mIsStopping = true;
  }
  mChanged.notify_all();
  mResponsiveQueue.Close();
  mUnresponsiveQueue.Close();
  for (auto& thread : mThreads) {
    if (thread.joinable()) {
      thread.join();
    }
  }
}

void
poll_pool::SetTargets(const std::vector<std::string>& aNames)
{
  const std::set<std::string> names(aNames.begin(), aNames.end());
  std::lock_guard lock(mMutex);
  for (auto item = mTargets.begin(); item != mTargets.end();) {
    item = names.count(item->first) == 0 ? mTargets.erase(item) : ++item;
  }
  for (const auto& name : names) {
    mTargets.emplace(name, target{ boot_clock::now() });
  }
  mChanged.notify_all();
}

void
poll_pool::Schedule()
{
  std::unique_lock lock(mMutex);
  while (!mIsStopping) {
    PushDue(boot_clock::now());
    mChanged.wait_for(lock, kScheduleResolution);
  }
}

void
poll_pool::PushDue(time_point aNow)
{
  for (auto& [name, target] : mTargets) {
    if (target.mPhase == phase::Queued || target.mDueAt > aNow) {
      continue;
    }
    auto& ring = target.mLastOutcome == poll_outcome::Unresponsive
                   ? mUnresponsiveQueue
                   : mResponsiveQueue;
    if (auto item = name; ring.TryPush(item)) {
      target.mPhase = phase::Queued;
    }
  }
}

void
poll_pool::RunWorker(bounded_ring<std::string>& aRing)
{
  while (!aRing.IsClosed()) {
    const auto name = aRing.Pop(kPopWait);
    if (!name) {
      continue;
    }
    const auto outcome = mOptions.mPoll(*name);
    std::lock_guard lock(mMutex);
    // A target that was removed during its poll isn't scheduled again.
    if (const auto found = mTargets.find(*name); found != mTargets.end()) {
      found->second = { boot_clock::now() + mOptions.mInterval,
                        phase::Waiting,
                        outcome };
    }
  }
}

} // namespace lavender::membership
