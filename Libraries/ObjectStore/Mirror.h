#pragma once

#include "Libraries/Core/Scheduler.h"
#include "Libraries/ObjectStore/ListAll.h"

#include <optional>

namespace lavender::objects {

struct mirror_options
{
  std::string mKind;
  /** Maximum time that the store holds a watch open without events. A shorter
   * wait costs more calls, which are charged; a longer one delays the detection
   * of a connection that was lost without a close. */
  milliseconds mWatchWait{ 500 };
  /** A watch without a response this long after its wait is abandoned. The
   * store responds within 0.4 s when it is a hundred times slower than usual.
   */
  milliseconds mWatchTimeoutMargin{ 600 };
  /** Delay of the next watch after events, so that one call returns several
   * changes made in quick succession. */
  milliseconds mGatherFor{ 0 };
  /** Delay after a listing that failed, and the minimum time between two
   * listings. */
  milliseconds mRetryDelay{ 300 };
  /** Returns false while calls would fail; calls are then deferred, because
   * each one is charged. */
  std::function<bool()> mMayCall;
};

struct mirror_events
{
  /** Called with all objects after a listing. */
  std::function<void(const object_map&)> mOnListed;
  std::function<void(const object_event&)> mOnEvent;
  /** Called after a successful response to a watch and after the calls for its
   * events. */
  std::function<void()> mOnProven;
};

/** Keeps a copy of all objects of one kind: lists the kind, then watches it
 * from the revision of the listing.
 *
 * Schedule a watch that failed, the kind is listed again: changes may have been
 * missed, and the store's history may no longer contain them. Until the listing
 * is complete, the copy stays available as it was. */
class mirror : public std::enable_shared_from_this<mirror>
{
public:
  mirror(scheduler aScheduler,
         const object_store& aStore,
         mirror_options aOptions,
         mirror_events aEvents);

  /** Does nothing after the first call. */
  void Start();
  void Stop();
  /** Lists the kind again; the response to the current call is ignored. */
  void ListAgain();
  const std::string& Kind() const { return mOptions.mKind; }
  bool HasListed() const { return mHasListed; }
  /** Time since which changes may have been missed; none unless a watch has
   * failed or ListAgain was called since the last complete listing. */
  std::optional<time_point> LostSince() const { return mLostSince; }
  /** Time up to which every change is known. */
  time_point VerifiedAt() const { return mVerifiedAt; }
  /** Revision up to which every change is known, except for changes missed
   * since LostSince. */
  revision_number Revision() const { return mRevision; }

private:
  void List();
  void ApplyList(listing aListing);
  void Watch();
  void HandleWatchResponse(watch_reply aReply);
  void ApplyEvents(const std::vector<object_event>& aEvents);
  void RecordLoss();
  /** Lists at once, or when the retry delay since the last listing has passed:
   * otherwise a store that ends each watch at once would cause a listing per
   * watch. */
  void ListAfterRetryDelay();
  void Schedule(milliseconds aDelay, void (mirror::*aAction)());
  bool MayCall() const { return !mOptions.mMayCall || mOptions.mMayCall(); }

  const scheduler mScheduler;
  const object_store& mStore;
  const mirror_options mOptions;
  const mirror_events mEvents;
  /** Timer of the next call, or of the timeout of the current watch. */
  planned_action mTimer;
  object_map mObjects;
  revision_number mRevision = 0;
  time_point mWatchStartedAt;
  time_point mListStartedAt;
  time_point mVerifiedAt;
  std::optional<time_point> mLostSince;
  time_point mLastListedAt;
  bool mIsStarted = false;
  bool mHasListed = false;
  bool mIsStopped = false;
  /** Number of the current call; responses to earlier, abandoned calls are
   * ignored. */
  std::uint64_t mCall = 0;
};

} // namespace lavender::objects
