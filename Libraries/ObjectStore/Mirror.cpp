#include "Libraries/ObjectStore/Mirror.h"

namespace lavender::objects {

mirror::mirror(scheduler aScheduler,
               const object_store& aStore,
               mirror_options aOptions,
               mirror_events aEvents)
  : mScheduler(std::move(aScheduler))
  , mStore(aStore)
  , mOptions(std::move(aOptions))
  , mEvents(std::move(aEvents))
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
mirror::ListAgain()
{
  if (mIsStarted && !mIsStopped) {
    mPlanned.reset();
    NoteLoss();
    List({}, {});
  }
}

void
mirror::After(milliseconds aPause, void (mirror::*aAction)())
{
  mPlanned = mScheduler.mAfter(aPause, [weak = weak_from_this(), aAction] {
    if (const auto self = weak.lock(); self && !self->mIsStopped) {
      ((*self).*aAction)();
    }
  });
}

void
mirror::NoteLoss()
{
  if (mHasListed && !mLostSince) {
    mLostSince = mWatchesSince;
  }
}

void
mirror::List(const std::string& aAfter, object_map aGathered)
{
  if (!MayCall()) {
    After(mOptions.mRetryPause, &mirror::ListAgain);
    return;
  }
  if (aGathered.empty()) {
    mListsSince = mScheduler.mNow();
  }
  auto take = [self = shared_from_this(),
               gathered = std::move(aGathered),
               call = ++mCall](list_reply aReply) mutable {
    if (!self->mIsStopped && self->mCall == call) {
      self->ApplyList(std::move(aReply), std::move(gathered));
    }
  };
  mStore.mList(
    mOptions.mKind, aAfter, freshness::Linearizable, std::move(take));
}

void
mirror::ApplyList(list_reply aReply, object_map aGathered)
{
  if (aReply.mOutcome != store_outcome::Done) {
    After(mOptions.mRetryPause, &mirror::ListAgain);
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
  mObjects = std::move(aGathered);
  mRevision = mListedAt;
  mLastListing = mScheduler.mNow();
  mHasListed = true;
  mLostSince.reset();
  mVerifiedAt = mListsSince;
  if (mEvents.mOnListed) {
    mEvents.mOnListed(mObjects);
  }
  Watch();
}

void
mirror::Watch()
{
  if (mIsStopped) {
    return;
  }
  if (!MayCall()) {
    After(mOptions.mRetryPause, &mirror::Watch);
    return;
  }
  mWatchesSince = mScheduler.mNow();
  mStore.mWatch(
    mOptions.mKind,
    mRevision,
    mOptions.mWatchWait,
    [self = shared_from_this(), call = ++mCall](watch_reply aReply) {
      if (!self->mIsStopped && self->mCall == call) {
        self->TakeWatch(std::move(aReply));
      }
    });
  mPlanned = mScheduler.mAfter(mOptions.mWatchWait + mOptions.mWatchSlack,
                               [weak = weak_from_this(), call = mCall] {
                                 if (const auto self = weak.lock();
                                     self && self->mCall == call) {
                                   self->TakeWatch({});
                                 }
                               });
}

void
mirror::TakeWatch(watch_reply aReply)
{
  mPlanned.reset();
  switch (aReply.mOutcome) {
    case store_outcome::Done:
      break;
    case store_outcome::Refused:
      NoteLoss();
      After(mOptions.mRetryPause, &mirror::ListAgain);
      return;
    default:
      NoteLoss();
      ListSoon();
      return;
  }
  mRevision = std::max(mRevision, aReply.mStoreRevision);
  // Without events the store has waited the whole time before it answered.
  const auto waited =
    aReply.mEvents.empty() ? mOptions.mWatchWait : milliseconds(0);
  mVerifiedAt = mWatchesSince + waited;
  TakeEvents(aReply.mEvents);
  if (mEvents.mOnProven) {
    mEvents.mOnProven();
  }
  if (aReply.mEvents.empty() || mOptions.mGatherFor.count() == 0) {
    Watch();
  } else {
    After(mOptions.mGatherFor, &mirror::Watch);
  }
}

void
mirror::ListSoon()
{
  const auto earliest = mLastListing + mOptions.mRetryPause;
  if (const auto now = mScheduler.mNow(); now < earliest) {
    After(std::chrono::ceil<milliseconds>(earliest - now), &mirror::ListAgain);
  } else {
    List({}, {});
  }
}

void
mirror::TakeEvents(const std::vector<object_event>& aEvents)
{
  for (const auto& event : aEvents) {
    if (event.mIsDeleted) {
      mObjects.erase(event.mObject.mName);
    } else {
      mObjects[event.mObject.mName] = event.mObject;
    }
    if (mEvents.mOnEvent) {
      mEvents.mOnEvent(event);
    }
  }
}

} // namespace lavender::objects
