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
  mTimer.reset();
}

void
mirror::ListAgain()
{
  if (mIsStarted && !mIsStopped) {
    mTimer.reset();
    RecordLoss();
    List({}, {});
  }
}

void
mirror::Schedule(milliseconds aDelay, void (mirror::*aAction)())
{
  mTimer = mScheduler.mAfter(aDelay, [weak = weak_from_this(), aAction] {
    if (const auto self = weak.lock(); self && !self->mIsStopped) {
      ((*self).*aAction)();
    }
  });
}

void
mirror::RecordLoss()
{
  if (mHasListed && !mLostSince) {
    mLostSince = mWatchStartedAt;
  }
}

void
mirror::List(const std::string& aAfter, object_map aCollected)
{
  if (!MayCall()) {
    Schedule(mOptions.mRetryDelay, &mirror::ListAgain);
    return;
  }
  if (aCollected.empty()) {
    mListStartedAt = mScheduler.mNow();
  }
  auto handle = [self = shared_from_this(),
                 collected = std::move(aCollected),
                 call = ++mCall](list_reply aReply) mutable {
    if (!self->mIsStopped && self->mCall == call) {
      self->ApplyList(std::move(aReply), std::move(collected));
    }
  };
  mStore.mList(
    mOptions.mKind, aAfter, freshness::Linearizable, std::move(handle));
}

void
mirror::ApplyList(list_reply aReply, object_map aCollected)
{
  if (aReply.mOutcome != store_outcome::Done) {
    Schedule(mOptions.mRetryDelay, &mirror::ListAgain);
    return;
  }
  if (aCollected.empty()) {
    mListedRevision = aReply.mStoreRevision;
  }
  std::string last;
  for (auto& object : aReply.mObjects) {
    last = object.mName;
    aCollected[object.mName] = std::move(object);
  }
  if (aReply.mHasMore && !last.empty()) {
    List(last, std::move(aCollected));
    return;
  }
  mObjects = std::move(aCollected);
  mRevision = mListedRevision;
  mLastListedAt = mScheduler.mNow();
  mHasListed = true;
  mLostSince.reset();
  mVerifiedAt = mListStartedAt;
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
    Schedule(mOptions.mRetryDelay, &mirror::Watch);
    return;
  }
  mWatchStartedAt = mScheduler.mNow();
  mStore.mWatch(
    mOptions.mKind,
    mRevision,
    mOptions.mWatchWait,
    [self = shared_from_this(), call = ++mCall](watch_reply aReply) {
      if (!self->mIsStopped && self->mCall == call) {
        self->HandleWatchResponse(std::move(aReply));
      }
    });
  mTimer = mScheduler.mAfter(mOptions.mWatchWait + mOptions.mWatchTimeoutMargin,
                             [weak = weak_from_this(), call = mCall] {
                               if (const auto self = weak.lock();
                                   self && self->mCall == call) {
                                 self->HandleWatchResponse({});
                               }
                             });
}

void
mirror::HandleWatchResponse(watch_reply aReply)
{
  mTimer.reset();
  switch (aReply.mOutcome) {
    case store_outcome::Done:
      break;
    case store_outcome::Refused:
      RecordLoss();
      Schedule(mOptions.mRetryDelay, &mirror::ListAgain);
      return;
    default:
      RecordLoss();
      ListAfterRetryDelay();
      return;
  }
  mRevision = std::max(mRevision, aReply.mStoreRevision);
  // A response without events is sent only after the whole wait, so every
  // change up to that time is known.
  const auto waited =
    aReply.mEvents.empty() ? mOptions.mWatchWait : milliseconds(0);
  mVerifiedAt = mWatchStartedAt + waited;
  ApplyEvents(aReply.mEvents);
  if (mEvents.mOnProven) {
    mEvents.mOnProven();
  }
  if (aReply.mEvents.empty() || mOptions.mGatherFor.count() == 0) {
    Watch();
  } else {
    Schedule(mOptions.mGatherFor, &mirror::Watch);
  }
}

void
mirror::ListAfterRetryDelay()
{
  const auto earliest = mLastListedAt + mOptions.mRetryDelay;
  if (const auto now = mScheduler.mNow(); now < earliest) {
    Schedule(std::chrono::ceil<milliseconds>(earliest - now),
             &mirror::ListAgain);
  } else {
    List({}, {});
  }
}

void
mirror::ApplyEvents(const std::vector<object_event>& aEvents)
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
