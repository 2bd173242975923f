#pragma once

#include "Libraries/Core/Clock.h"
#include "Libraries/Json/Value.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

/** Interface of the platform's store of versioned objects: asynchronous calls
 * whose outcomes state what is known about a write. */
namespace lavender::objects {

/** Number of a change, counted over the whole store. An object has the revision
 * of its last change. */
using revision_number = std::int64_t;

struct stored_object
{
  std::string mName;
  revision_number mRevision = 0;
  /** Revision of the object's creation. It differs for an object that was
   * deleted and created again under the same name. */
  revision_number mCreatedAt = 0;
  json::value mSpec;
  json::value mStatus;
};

/** Objects by their name. */
using object_map = std::map<std::string, stored_object>;

enum class store_outcome
{
  Done,
  /** The condition didn't hold; the reply contains the current object. */
  Conflict,
  NotFound,
  /** The store did nothing: it refused the call, or the call was not sent. */
  Refused,
  /** The store did nothing: the object is larger than it takes. */
  TooLarge,
  /** The store no longer has the history since the requested revision; the kind
   * must be listed again. */
  HistoryGone,
  /** No valid response: the write may have happened or may still happen. */
  Unknown
};

const char*
ToString(store_outcome aOutcome);

/** Why a listing can't go on behind a page although the store has more. */
enum class listing_fault
{
  /** The page names no object. */
  NoName,
  /** The page ends at a name that an earlier page had. */
  NotForward
};

const char*
ToString(listing_fault aFault);

struct object_reply
{
  store_outcome mOutcome = store_outcome::Unknown;
  stored_object mObject;
  /** The store has answered with an object whose contents can't be read; the
   * object has the name and the revision alone. */
  bool mIsUnreadable = false;
};

struct list_reply
{
  store_outcome mOutcome = store_outcome::Unknown;
  std::vector<stored_object> mObjects;
  bool mHasMore = false;
  /** Bytes of the name of the page's last object if the object was left out
   * because its name isn't text; else empty. */
  std::string mLeftOutName;
  /** Revision of the store that the listing shows; a watch continues from it.
   */
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

/** How current a read must be. A stale read costs a tenth of a linearizable one
 * and may lag by seconds. */
enum class freshness
{
  Linearizable,
  MayBeStale
};

using object_done = std::function<void(object_reply)>;
using list_done = std::function<void(list_reply)>;
using watch_done = std::function<void(watch_reply)>;

/** The store's operations, as functions that an adapter or a test sets. Each
 * operation invokes its callback exactly once, on the loop's thread. Content is
 * passed as JSON text, so that large parts are encoded only once. */
struct object_store
{
  std::function<void(const std::string& aKind,
                     const std::string& aName,
                     freshness,
                     object_done)>
    mGet;
  /** Lists a page of the objects whose names sort after aAfter; an empty
   * aAfter asks for the first page. */
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
  /** Creates an object; a Conflict when the name is in use. */
  std::function<void(const std::string& aKind,
                     const std::string& aName,
                     std::string aSpecJson,
                     object_done)>
    mCreate;
  /** Replaces the content if the object is still at revision aExpected; 0
   * replaces it unconditionally. */
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
  /** Called when a listing ends incomplete because a page led no further.
   * aAfter is the name from which that page was asked. May be null. */
  std::function<
    void(const std::string& aKind, const std::string& aAfter, listing_fault)>
    mOnListingFault{};
};

} // namespace lavender::objects
