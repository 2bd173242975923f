#pragma once

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>

namespace lavender {

/** Bounded first-in first-out queue between threads. A push into a full queue
 * fails immediately, so that a slow consumer never blocks its producer. */
template<typename Item>
class bounded_ring
{
public:
  explicit bounded_ring(std::size_t aCapacity)
    : mCapacity(aCapacity)
  {
  }

  /** Returns false, without moving from the item, when the queue is full or
   * closed. */
  bool TryPush(Item& aItem)
  {
    {
      std::lock_guard lock(mMutex);
      if (mIsClosed || mItems.size() >= mCapacity) {
        return false;
      }
      mItems.push_back(std::move(aItem));
    }
    mChanged.notify_one();
    return true;
  }

  /** Waits for an item. Returns none after the wait, or immediately when the
   * queue is closed and empty. */
  std::optional<Item> Pop(std::chrono::milliseconds aWait)
  {
    std::unique_lock lock(mMutex);
    mChanged.wait_for(
      lock, aWait, [this] { return mIsClosed || !mItems.empty(); });
    if (mItems.empty()) {
      return std::nullopt;
    }
    Item item = std::move(mItems.front());
    mItems.pop_front();
    return item;
  }

  void Close()
  {
    {
      std::lock_guard lock(mMutex);
      mIsClosed = true;
    }
    mChanged.notify_all();
  }

  bool IsClosed() const
  {
    std::lock_guard lock(mMutex);
    return mIsClosed;
  }

private:
  const std::size_t mCapacity;
  mutable std::mutex mMutex;
  std::condition_variable mChanged;
  std::deque<Item> mItems;
  bool mIsClosed = false;
};

} // namespace lavender
