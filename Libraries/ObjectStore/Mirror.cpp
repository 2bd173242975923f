#include "Libraries/ObjectStore/Mirror.h"

namespace lavender::objects {

mirror::mirror(scheduler aScheduler,
               const object_store& aStore,
               mirror_options aOptions,
               mirror_events aEvents)
  : mStore(aStore)
  , mOptions(std::move(aOptions))
  , mEvents(std::move(aEvents))
  , mScheduler(std::move(aScheduler))
{
}

void
mirror::Start()
{
  if (mIsStarted) {
    return;
  }
  mIsStarted = true;
  List({}, {});
}

void
mirror::Stop()
{
  mIsStopped = true;
  mPlanned.reset();
}

void
mirror::WatchAgain()
{
  if (!mIsStarted || mIsStopped) {
    return;
  }
  mPlanned.reset();
  if (mHasListed) {
    Watch();
  } else {
    List({}, {});
  }
}

void
mirror::After(milliseconds aPause, std::function<void()> aAction)
{
  mPlanned = mScheduler.mAfter(
    aPause, [self = weak_from_this(), action = std::move(aAction)] {
      if (const auto mirror = self.lock(); mirror && !mirror->mIsStopped) {
        action();
      }
    });
}

void
mirror::SetReachable(bool aIsReachable)
{
  if (mIsReachable != aIsReachable) {
    mIsReachable = aIsReachable;
    if (mEvents.mOnContact) {
      mEvents.mOnContact(aIsReachable);
    }
  }
}

void
mirror::List(const std::string& aAfter,
             std::map<std::string, stored_object> aGathered)
{
  if (!MayCall()) {
    After(mOptions.mRetryPause, [this] { List({}, {}); });
    return;
  }
  const auto take = [self = shared_from_this(),
                     gathered = std::move(aGathered),
                     call = ++mCall](list_reply aReply) mutable {
    if (!self->mIsStopped && self->mCall == call) {
      self->TakeList(std::move(aReply), std::move(gathered));
    }
  };
  mStore.mList(
    mOptions.mKind, aAfter, freshness::Linearizable, std::move(take));
}

void
mirror::TakeList(list_reply aReply,
                 std::map<std::string, stored_object> aGathered)
{
  if (aReply.mOutcome != store_outcome::Done) {
    SetReachable(false);
    After(mOptions.mRetryPause, [this] { List({}, {}); });
    return;
  }
  if (aGathered.empty()) {
    mListedAt = aReply.mStoreRevision;
  }
  std::string last;
  for (auto& object : aReply.mObjects) {
    last = object.mName;
    aGathered[object.mName] = std::move(object);
  }
  if (aReply.mHasMore && !last.empty()) {
    List(last, std::move(aGathered));
    return;
  }
  SetReachable(true);
  mObjects = std::move(aGathered);
  mRevision = mListedAt;
  mHasListed = true;
  if (mEvents.mOnListed) {
    mEvents.mOnListed(mObjects);
  }
  Watch();
}

void
mirror::Watch()
{
  if (!MayCall()) {
    After(mOptions.mRetryPause, [this] { Watch(); });
    return;
  }
  mStore.mWatch(
    mOptions.mKind,
    mRevision,
    mOptions.mWatchWait,
    [self = shared_from_this(), call = ++mCall](watch_reply aReply) {
      if (!self->mIsStopped && self->mCall == call) {
        self->TakeWatch(std::move(aReply));
      }
    });
}

void
mirror::TakeWatch(watch_reply aReply)
{
  if (aReply.mOutcome == store_outcome::HistoryGone) {
    SetReachable(true);
    List({}, {});
    return;
  }
  if (aReply.mOutcome != store_outcome::Done) {
    SetReachable(false);
    After(mOptions.mRetryPause, [this] { Watch(); });
    return;
  }
  SetReachable(true);
  mRevision = std::max(mRevision, aReply.mStoreRevision);
  for (const auto& event : aReply.mEvents) {
    if (event.mIsDeleted) {
      mObjects.erase(event.mObject.mName);
    } else {
      mObjects[event.mObject.mName] = event.mObject;
    }
    if (mEvents.mOnEvent) {
      mEvents.mOnEvent(event);
    }
  }
  if (aReply.mEvents.empty() || mOptions.mGatherFor.count() == 0) {
    Watch();
  } else {
    After(mOptions.mGatherFor, [this] { Watch(); });
  }
}

} // namespace lavender::objects
