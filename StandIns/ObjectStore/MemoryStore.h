#pragma once

#include "Libraries/Core/Scheduler.h"
#include "Libraries/ObjectStore/ObjectStore.h"

#include <deque>
#include <map>
#include <memory>
#include <string>

/** Stand-in of the platform's store of objects, in memory on the test's loop,
 * with the faults of the real one as switches. */
namespace lavender::standin {

/** What the store does with the calls that come while it is set. */
enum class store_fault
{
  None,
  /** Answers that it did nothing. */
  Refuse,
  /** Does nothing and never answers; the caller sees an unknown outcome. */
  Silent,
  /** Carries writes out and loses the answers. */
  LoseAnswers,
  /** Loses the answer of a write and carries it out later, if its condition
   * still holds then. */
  Late
};

struct memory_store_state
{
  std::map<std::string, std::map<std::string, objects::stored_object>> mKinds;
  /** Changes so far, by kind, for watches. */
  std::map<std::string, std::deque<objects::object_event>> mHistory;
  /** Watches from before this revision learn that history is gone. */
  objects::revision_number mForgottenBefore = 0;
  objects::revision_number mRevision = 100;
  store_fault mFault = store_fault::None;
  /** Answers take this long. */
  milliseconds mLatency{ 1 };
  /** A silent call's caller learns of it after this. */
  milliseconds mSilence{ 30 };
  milliseconds mLateness{ 60 };
  /** How often a watch that waits looks for a change. */
  milliseconds mLookEach{ 2 };
  /** Watches that wait hear of no change, nor end. */
  bool mAreWatchesDeaf = false;
  int mCalls = 0;
  /** Of these, reads that may be stale: the platform charges a tenth. */
  int mStaleReads = 0;
};

/** A store whose state the test owns and may change at any time.
 * @param aState outlives the store */
objects::object_store
MakeMemoryStore(const scheduler& aScheduler, memory_store_state& aState);

/** Writes as an operator would, past all faults. */
void
PutDirectly(memory_store_state& aState,
            const std::string& aKind,
            const std::string& aName,
            const std::string& aSpecJson);

} // namespace lavender::standin
