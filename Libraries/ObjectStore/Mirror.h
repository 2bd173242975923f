#pragma once

#include "Libraries/Core/Scheduler.h"
#include "Libraries/ObjectStore/ObjectStore.h"

#include <map>
#include <memory>

namespace lavender::objects {

struct mirror_options
{
  std::string mKind;
  /** Longest wait of one watch. A watch is a priced call; probes find a dead
   * connection sooner. */
  milliseconds mWatchWait{ 25000 };
  /** Pause after an event, so that changes that come together are one call. */
  milliseconds mGatherFor{ 0 };
  /** Pause after a call that failed. */
  milliseconds mRetryPause{ 300 };
  /** False while calls would be in vain; they wait, as each is priced. */
  std::function<bool()> mMayCall;
};

struct mirror_events
{
  /** All objects, after a listing. */
  std::function<void(const std::map<std::string, stored_object>&)> mOnListed;
  std::function<void(const object_event&)> mOnEvent;
  /** Contact with the store was lost, or is back. */
  std::function<void(bool aIsReachable)> mOnContact;
};

/** Keeps a copy of all objects of one kind: lists, then watches from there.
 *
 * When the store has forgotten the history, the kind is listed again while the
 * copy goes on to serve: what was known isn't dropped meanwhile. */
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
  /** Watches anew from what is known; an answer to the present watch is
   * dropped. For a watch whose answer was lost with its connection alive. */
  void WatchAgain();
  const std::string& Kind() const { return mOptions.mKind; }
  bool HasListed() const { return mHasListed; }
  bool IsReachable() const { return mIsReachable; }

private:
  void List(const std::string& aAfter,
            std::map<std::string, stored_object> aGathered);
  void TakeList(list_reply aReply,
                std::map<std::string, stored_object> aGathered);
  void Watch();
  void TakeWatch(watch_reply aReply);
  void After(milliseconds aPause, std::function<void()> aAction);
  void SetReachable(bool aIsReachable);
  bool MayCall() const { return !mOptions.mMayCall || mOptions.mMayCall(); }

  const object_store& mStore;
  const mirror_options mOptions;
  const mirror_events mEvents;
  const scheduler mScheduler;
  planned_action mPlanned;
  std::map<std::string, stored_object> mObjects;
  revision_number mRevision = 0;
  /** Of a listing's first page: changes during the listing come again. */
  revision_number mListedAt = 0;
  bool mIsStarted = false;
  bool mHasListed = false;
  bool mIsReachable = true;
  bool mIsStopped = false;
  /** Tells the answer of the present call from those of calls given up. */
  std::uint64_t mCall = 0;
};

} // namespace lavender::objects
