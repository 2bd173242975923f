#include "Duties/Configuration/ConfigurationStore.h"

#include "Libraries/Core/Log.h"

namespace lavender::configuration {
namespace {

using namespace std::chrono_literals;

/** A watch that waits longer would make the proof of freshness older. */
constexpr milliseconds kWatchWait = 1000ms;
constexpr milliseconds kRetryEvery = 300ms;
constexpr std::size_t kMaximumRecent = 5000;

} // namespace

configuration_store::configuration_store(platform::client aPlatform)
  : mPlatform(std::move(aPlatform))
  , mCurrent(std::make_shared<snapshot>())
  , mFreshAt(boot_clock::now())
{
}

configuration_store::~configuration_store()
{
  Stop();
}

void
configuration_store::Start()
{
  mThread = std::thread([this] { WatchLoop(); });
}

void
configuration_store::Stop()
{
  {
    std::lock_guard lock(mMutex);
    mIsStopping = true;
  }
  mChanged.notify_all();
  if (mThread.joinable()) {
    mThread.join();
  }
}

std::shared_ptr<const snapshot>
configuration_store::Current() const
{
  std::lock_guard lock(mMutex);
  return mCurrent;
}

milliseconds
configuration_store::FreshAge() const
{
  std::lock_guard lock(mMutex);
  return std::chrono::duration_cast<milliseconds>(boot_clock::now() - mFreshAt);
}

bool
configuration_store::IsReady() const
{
  std::lock_guard lock(mMutex);
  return mCurrent->mRevision > 0;
}

std::vector<platform::stored_object>
configuration_store::Objects(const std::string& aKind) const
{
  std::lock_guard lock(mMutex);
  std::vector<platform::stored_object> objects;
  for (const auto& [identity, object] : mObjects) {
    if (identity.first == aKind) {
      objects.push_back(object);
    }
  }
  return objects;
}

std::pair<std::int64_t, std::vector<platform::stored_object>>
configuration_store::AllObjects() const
{
  std::lock_guard lock(mMutex);
  std::vector<platform::stored_object> objects;
  for (const auto& [identity, object] : mObjects) {
    objects.push_back(object);
  }
  return { mCurrent->mRevision, std::move(objects) };
}

change_batch
configuration_store::WaitForChanges(std::int64_t aFrom,
                                    milliseconds aWait) const
{
  std::unique_lock lock(mMutex);
  mChanged.wait_for(
    lock, aWait, [&] { return mIsStopping || mCurrent->mRevision > aFrom; });
  change_batch batch;
  batch.mRevision = std::max(aFrom, mCurrent->mRevision);
  batch.mIsTooOld = aFrom < mOldestRecent;
  for (const auto& event : mRecent) {
    if (!batch.mIsTooOld && event.mObject.mRevision > aFrom) {
      batch.mEvents.push_back(event);
    }
  }
  return batch;
}

bool
configuration_store::WaitOrStop(milliseconds aWait)
{
  std::unique_lock lock(mMutex);
  return mChanged.wait_for(lock, aWait, [this] { return mIsStopping; });
}

void
configuration_store::WatchLoop()
{
  bool isLoaded = false;
  while (!WaitOrStop(0ms)) {
    if (!isLoaded) {
      isLoaded = LoadAll();
      if (!isLoaded && WaitOrStop(kRetryEvery)) {
        return;
      }
      continue;
    }
    const auto askedAt = boot_clock::now();
    const auto batch =
      platform::Watch(mPlatform, Current()->mRevision, kWatchWait);
    if (!batch) {
      // The snapshot goes on serving; the watch resumes from its revision.
      Log(log_level::Warning,
          "configuration",
          "Watch broke: " + batch.mLastReason);
      if (WaitOrStop(kRetryEvery)) {
        return;
      }
    } else if (batch->mIsTooOld) {
      isLoaded = false;
    } else {
      Take(*batch, askedAt);
    }
  }
}

bool
configuration_store::LoadAll()
{
  const auto askedAt = boot_clock::now();
  const auto list = platform::List(mPlatform, "");
  if (!list) {
    Log(log_level::Warning,
        "configuration",
        "No configuration: " + list.mLastReason);
    return false;
  }
  std::lock_guard lock(mMutex);
  if (list->mRevision < mCurrent->mRevision) {
    // An older copy of the store must never replace a newer snapshot.
    return false;
  }
  mObjects.clear();
  for (const auto& object : list->mObjects) {
    if (IsConfigurationKind(object.mKind)) {
      mObjects[{ object.mKind, object.mName }] = object;
    }
  }
  mRecent.clear();
  mOldestRecent = list->mRevision;
  mCurrent =
    std::make_shared<const snapshot>(BuildSnapshot(mObjects, list->mRevision));
  mFreshAt = askedAt;
  mChanged.notify_all();
  return true;
}

void
configuration_store::Take(const platform::watch_batch& aBatch,
                          time_point aAskedAt)
{
  std::lock_guard lock(mMutex);
  if (aBatch.mRevision < mCurrent->mRevision) {
    return;
  }
  mFreshAt = aAskedAt;
  if (aBatch.mRevision == mCurrent->mRevision) {
    return;
  }
  for (const auto& event : aBatch.mEvents) {
    if (!IsConfigurationKind(event.mObject.mKind)) {
      continue;
    }
    const std::pair identity{ event.mObject.mKind, event.mObject.mName };
    if (event.mIsDeletion) {
      mObjects.erase(identity);
    } else {
      mObjects[identity] = event.mObject;
    }
    mRecent.push_back(event);
  }
  if (mRecent.size() > kMaximumRecent) {
    const auto surplus = mRecent.size() - kMaximumRecent;
    mOldestRecent = mRecent[surplus - 1].mObject.mRevision;
    mRecent.erase(mRecent.begin(),
                  mRecent.begin() + static_cast<std::ptrdiff_t>(surplus));
  }
  mCurrent =
    std::make_shared<const snapshot>(BuildSnapshot(mObjects, aBatch.mRevision));
  mChanged.notify_all();
}

} // namespace lavender::configuration
