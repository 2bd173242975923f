#pragma once

#include "Libraries/Core/Scheduler.h"
#include "Libraries/ObjectStore/ObjectStore.h"

#include <map>
#include <optional>

namespace lavender::objects {

struct mirror_options
{
  std::string mKind;
  /** Longest wait of one watch. Each watch is a priced call, but one whose
   * connection has died without a sign is noticed only after this. */
  milliseconds mWatchWait{ 500 };
  /** A watch that hasn't answered this long after its wait is given up. The
   * store answers within 0.4 s when it is a hundred times slower than usual. */
  milliseconds mWatchSlack{ 600 };
  /** Pause after an event, so that changes that come together are one call. */
  milliseconds mGatherFor{ 0 };
  /** Pause after a listing that failed, and the least between two listings. */
  milliseconds mRetryPause{ 300 };
  /** False while calls would be in vain; they wait, as each is priced. */
  std::function<bool()> mMayCall;
};

struct mirror_events
{
  /** All objects, after a listing. */
  std::function<void(const std::map<std::string, stored_object>&)> mOnListed;
  std::function<void(const object_event&)> mOnEvent;
  /** A watch has been answered, after its events. */
  std::function<void()> mOnProven;
};

/** Keeps a copy of all objects of one kind: lists, then watches from there.
 *
 * After a watch that ended without an answer the kind is listed again: nobody
 * knows what was changed meanwhile, and whether the history still tells of it.
 * The copy goes on to serve: what was known isn't dropped. */
class mirror : public std::enable_shared_from_this<mirror>
{
public:
  mirror(scheduler aScheduler,
         const object_store& aStore,
         mirror_options aOptions,
         mirror_events aEvents);

  /** Does nothing when it was started before. */
  void Start();
  void Stop();
  /** Lists anew; answers to the present call are dropped. */
  void ListAgain();
  const std::string& Kind() const { return mOptions.mKind; }
  bool HasListed() const { return mHasListed; }
  /** Since when changes may have gone unheard; none while a watch is alive as
   * far as is known. */
  std::optional<time_point> LostSince() const { return mLostSince; }
  /** A time up to which every change is known. */
  time_point VerifiedAt() const { return mVerifiedAt; }
  /** Every change up to this one is known, but for those unheard. */
  revision_number Revision() const { return mRevision; }

private:
  using object_map = std::map<std::string, stored_object>;

  void List(const std::string& aAfter, object_map aGathered);
  void ApplyList(list_reply aReply, object_map aGathered);
  void Watch();
  void TakeWatch(watch_reply aReply);
  void TakeEvents(const std::vector<object_event>& aEvents);
  void NoteLoss();
  /** At once, but for a store that cuts each watch as soon as it begins. */
  void ListSoon();
  void After(milliseconds aPause, void (mirror::*aAction)());
  bool MayCall() const { return !mOptions.mMayCall || mOptions.mMayCall(); }

  const scheduler mScheduler;
  const object_store& mStore;
  const mirror_options mOptions;
  const mirror_events mEvents;
  /** The next call, or giving up the present watch. */
  planned_action mPlanned;
  object_map mObjects;
  revision_number mRevision = 0;
  /** Of a listing's first page: changes during the listing come again. */
  revision_number mListedAt = 0;
  /** When the present watch began. */
  time_point mWatchesSince;
  time_point mListsSince;
  time_point mVerifiedAt;
  std::optional<time_point> mLostSince;
  time_point mLastListing;
  bool mIsStarted = false;
  bool mHasListed = false;
  bool mIsStopped = false;
  /** Tells the answer of the present call from those of calls given up. */
  std::uint64_t mCall = 0;
};

} // namespace lavender::objects
