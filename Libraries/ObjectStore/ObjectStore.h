#pragma once

#include "Libraries/Core/Clock.h"
#include "Libraries/Json/Value.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

/** The platform's store of versioned objects, as the duties see it: calls that
 * answer later, with outcomes that say what is known about a write. */
namespace lavender::objects {

/** Counts changes of the whole store; an object bears that of its last one. */
using revision_number = std::int64_t;

struct stored_object
{
  std::string mName;
  revision_number mRevision = 0;
  /** Of its creation: another one under the same name differs here. */
  revision_number mCreatedAt = 0;
  json::value mSpec;
  json::value mStatus;
};

enum class store_outcome
{
  Done,
  /** The condition didn't hold; the object as it is comes along. */
  Conflict,
  NotFound,
  /** The store said that it did nothing. */
  Refused,
  /** The asked history is gone: list again. */
  HistoryGone,
  /** No answer: the write may have happened, or may yet. */
  Unknown
};

const char*
ToString(store_outcome aOutcome);

struct object_reply
{
  store_outcome mOutcome = store_outcome::Unknown;
  stored_object mObject;
};

struct list_reply
{
  store_outcome mOutcome = store_outcome::Unknown;
  std::vector<stored_object> mObjects;
  bool mHasMore = false;
  /** Revision that the listing shows; a watch goes on from it. */
  revision_number mStoreRevision = 0;
};

struct object_event
{
  stored_object mObject;
  bool mIsDeleted = false;
};

struct watch_reply
{
  store_outcome mOutcome = store_outcome::Unknown;
  std::vector<object_event> mEvents;
  revision_number mStoreRevision = 0;
};

/** How fresh a read must be: a stale one costs a tenth and may lag by
 * seconds. */
enum class freshness
{
  Linearizable,
  MayBeStale
};

using object_done = std::function<void(object_reply)>;
using list_done = std::function<void(list_reply)>;
using watch_done = std::function<void(watch_reply)>;

/** The calls, as functions that an adapter or a test fills in. Each calls back
 * exactly once, on the loop's thread. Content to write comes as JSON text, so
 * that large parts are encoded once. */
struct object_store
{
  std::function<void(const std::string& aKind,
                     const std::string& aName,
                     freshness,
                     object_done)>
    mGet;
  /** Objects with names after the given one. */
  std::function<void(const std::string& aKind,
                     const std::string& aAfter,
                     freshness,
                     list_done)>
    mList;
  std::function<void(const std::string& aKind,
                     revision_number aSince,
                     milliseconds aWait,
                     watch_done)>
    mWatch;
  /** Creates under a name that must be free. */
  std::function<void(const std::string& aKind,
                     const std::string& aName,
                     std::string aSpecJson,
                     object_done)>
    mCreate;
  /** Replaces the content if the object is still at that revision; 0 replaces
   * in any case. */
  std::function<void(const std::string& aKind,
                     const std::string& aName,
                     revision_number aExpected,
                     std::string aSpecJson,
                     object_done)>
    mReplace;
  std::function<void(const std::string& aKind,
                     const std::string& aName,
                     revision_number aExpected,
                     std::string aStatusJson,
                     object_done)>
    mReplaceStatus;
  std::function<
    void(const std::string& aKind, const std::string& aName, object_done)>
    mDelete;
};

} // namespace lavender::objects
