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
  List();
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
    List();
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
mirror::List()
{
  if (!MayCall()) {
    Schedule(mOptions.mRetryDelay, &mirror::ListAgain);
    return;
  }
  mListStartedAt = mScheduler.mNow();
  const auto isAwaited = [self = shared_from_this(), call = ++mCall] {
    return !self->mIsStopped && self->mCall == call;
  };
  ListAll(mStore,
          { mOptions.mKind,
            freshness::Linearizable,
            [this, isAwaited] { return isAwaited() && MayCall(); } },
          [this, isAwaited](listing aListing) {
            if (isAwaited()) {
              ApplyList(std::move(aListing));
            }
          });
}

void
mirror::ApplyList(listing aListing)
{
  if (!aListing.mIsComplete) {
    Schedule(mOptions.mRetryDelay, &mirror::ListAgain);
    return;
  }
  mObjects = std::move(aListing.mObjects);
  // The watch begins at the revision of the first page, so that it also returns
  // the changes made during the listing.
  mRevision = aListing.mStoreRevision;
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
    List();
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
