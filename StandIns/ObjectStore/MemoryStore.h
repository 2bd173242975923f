#pragma once

#include "Libraries/Core/Scheduler.h"
#include "Libraries/ObjectStore/ObjectStore.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>

/** Simulates the platform's object store in memory on the test's event loop,
 * with faults that a test can set. */
namespace lavender::standin {

/** How the store handles calls while the fault is set. */
enum class store_fault
{
  None,
  /** Responds that the call had no effect. */
  Refuse,
  /** Has no effect and sends no response; the caller gets an unknown outcome.
   */
  Silent,
  /** Applies writes and loses the responses. */
  LoseAnswers,
  /** Loses the response to a write and applies the write later, if its
   * condition still holds then. */
  Late
};

struct memory_store_state
{
  std::map<std::string, std::map<std::string, objects::stored_object>> mKinds;
  /** Changes so far, by kind, for watches. */
  std::map<std::string, std::deque<objects::object_event>> mHistory;
  /** Watches from earlier revisions fail with HistoryGone. */
  objects::revision_number mForgottenBefore = 0;
  objects::revision_number mRevision = 100;
  /** Specs that no JSON value holds, by the string that stands for them as an
   * object's spec. The store's listener sends them as they are. */
  std::map<std::string, std::string> mRawSpecs;
  /** Names at which a page of a listing ends if an object follows. */
  std::set<std::string> mPageEnds;
  /** Largest object, with its name, in bytes. */
  std::size_t mMaximumObjectBytes = 1 << 20;
  /** Writes that were refused since the object would have been larger. */
  int mTooLarge = 0;
  store_fault mFault = store_fault::None;
  /** Delay of a response. */
  milliseconds mLatency{ 1 };
  /** Delay until the caller of an unanswered call gets an unknown outcome. */
  milliseconds mTimeoutDelay{ 30 };
  milliseconds mLateWriteDelay{ 60 };
  /** Interval at which a waiting watch checks for changes. */
  milliseconds mLookEach{ 2 };
  /** Watches get no events and don't end. */
  bool mAreWatchesDeaf = false;
  int mCalls = 0;
  /** Pages of listings among mCalls. */
  int mListCalls = 0;
  /** Reads among mCalls that may be stale; the platform charges a tenth for
   * them. */
  int mStaleReads = 0;
};

/** A store whose state the test owns and may change at any time.
 * @param aState outlives the store */
objects::object_store
MakeMemoryStore(const scheduler& aScheduler, memory_store_state& aState);

/** Writes an object directly, unaffected by the current fault. */
void
PutDirectly(memory_store_state& aState,
            const std::string& aKind,
            const std::string& aName,
            const std::string& aSpecJson);

/** Removes an object directly, unaffected by the current fault. */
void
RemoveDirectly(memory_store_state& aState,
               const std::string& aKind,
               const std::string& aName);

} // namespace lavender::standin
