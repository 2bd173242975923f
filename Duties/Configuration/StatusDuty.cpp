#include "Duties/Configuration/StatusDuty.h"

#include "Libraries/Core/Log.h"
#include "Libraries/Platform/SettledWrite.h"

namespace lavender::configuration {
namespace {

using namespace std::chrono_literals;

constexpr const char* kKinds[] = { "Customer",
                                   "Key",
                                   "ModelVersion",
                                   "TrainingRun",
                                   "BackendPool" };

/** Its status shows the servers, which change without the resource. */
bool
IsAlwaysLookedAt(const held_resource& aResource)
{
  return aResource.mKind == "BackendPool";
}

} // namespace

status_duty::status_duty(status_options aOptions, configuration_store& aStore)
  : mOptions(std::move(aOptions))
  , mStore(aStore)
  , mBucket(platform::MakeBucket(mOptions.mWritesPerSecond,
                                 mOptions.mWritesPerSecond * 2,
                                 boot_clock::now()))
{
}

status_duty::~status_duty()
{
  Stop();
}

void
status_duty::Start()
{
  mThread = std::thread([this] { Loop(); });
}

void
status_duty::Stop()
{
  {
    std::lock_guard lock(mMutex);
    mIsStopping = true;
  }
  mStopped.notify_all();
  if (mThread.joinable()) {
    mThread.join();
  }
}

void
status_duty::Loop()
{
  std::unique_lock lock(mMutex);
  while (!mIsStopping) {
    lock.unlock();
    TakeChanges();
    WriteDue(boot_clock::now());
    lock.lock();
    mStopped.wait_for(
      lock, mOptions.mCheckInterval, [this] { return mIsStopping; });
  }
}

void
status_duty::TakeChanges()
{
  const auto batch = mStore.WaitForChanges(mSeen, 0ms);
  if (batch.mIsTooOld) {
    TakeAll();
    return;
  }
  mSeen = batch.mRevision;
  for (const auto& event : batch.mEvents) {
    const identity name{ event.mKind, event.mName };
    if (event.mIsDeletion) {
      mPending.erase(name);
    } else if (auto value = json::Parse(event.mObject.mText)) {
      mPending[name].mResource = {
        event.mKind, event.mName, event.mObject.mRevision, std::move(*value)
      };
    }
  }
}

void
status_duty::TakeAll()
{
  mSeen = mStore.Digest().mKnownRevision;
  mPending.clear();
  for (const char* kind : kKinds) {
    for (auto& object : mStore.Objects(kind)) {
      held_resource resource{
        object.mKind, object.mName, object.mRevision, std::move(object.mValue)
      };
      if (IsAlwaysLookedAt(resource) || !IsObserved(resource)) {
        mPending[{ object.mKind, object.mName }].mResource =
          std::move(resource);
      }
    }
  }
}

void
status_duty::WriteDue(time_point aNow)
{
  const auto facts = mOptions.mFacts();
  const auto entries = mOptions.mEntries();
  const auto current = mStore.Current();
  for (auto item = mPending.begin(); item != mPending.end();) {
    auto& pending = item->second;
    const auto& resource = pending.mResource;
    auto next = NextStatus(resource, *current, facts);
    if (!next && IsObserved(resource) && !IsAlwaysLookedAt(resource)) {
      item = mPending.erase(item);
      continue;
    }
    ++item;
    const bool isTooSoon =
      pending.mWrittenAt && aNow - *pending.mWrittenAt < mOptions.mWriteEvery;
    const bool isOurs =
      next && ChooseStatusWriter(resource, entries) == mOptions.mOwnName;
    if (!isOurs || isTooSoon) {
      continue;
    }
    if (!platform::TakeToken(mBucket, aNow)) {
      return;
    }
    pending.mWrittenAt = aNow;
    if (!WriteStatus(pending, std::move(*next))) {
      return;
    }
  }
}

bool
status_duty::WriteStatus(pending_resource& aPending, json::value aStatus)
{
  auto& resource = aPending.mResource;
  platform::stored_object meant{
    resource.mKind, resource.mName, resource.mRevision, resource.mValue
  };
  meant.mValue.Set("status", std::move(aStatus));
  const auto written = platform::WriteSettled(
    mOptions.mPlatform, meant, resource.mRevision, resource.mValue);
  const bool isConflict = written.mState == platform::write_state::Conflict;
  // After a conflict the watch brings what stands there now.
  if (written.mState != platform::write_state::Done && !isConflict) {
    Log(log_level::Warning,
        "status",
        "Status not written: " + written.mLastReason);
    return false;
  }
  return true;
}

} // namespace lavender::configuration
