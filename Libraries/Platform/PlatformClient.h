#pragma once

#include "Libraries/Core/Result.h"
#include "Libraries/Http/Client.h"
#include "Libraries/Json/Value.h"
#include "Libraries/Metrics/Metrics.h"
#include "Libraries/Platform/CallBudget.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/** Client of the platform's HTTP API. No other module calls the platform. */
namespace lavender::platform {

/** Object of the platform's Object API. */
struct stored_object
{
  std::string mKind;
  std::string mName;
  /** Revision of the last change to this object. */
  std::int64_t mRevision = 0;
  json::value mValue;
};

enum class write_state
{
  Done,
  /** The object didn't have the expected revision; mCurrent is the object as
   * stored, or none when it is absent. */
  Conflict,
  /** Not carried out, for another reason than a conflict. */
  Refused,
  /** The write may have taken effect; read the object to find out. */
  Unknown
};

struct write_result
{
  write_state mState = write_state::Refused;
  std::int64_t mRevision = 0;
  std::optional<stored_object> mCurrent;
  std::string mLastReason;
};

enum class read_state
{
  Found,
  Absent,
  /** The read failed; the object may or may not exist. */
  Failed
};

struct read_result
{
  read_state mState = read_state::Failed;
  stored_object mObject;
  std::string mLastReason;
};

struct object_list
{
  /** Revision of the whole store at which the list was taken. */
  std::int64_t mRevision = 0;
  std::vector<stored_object> mObjects;
};

struct object_event
{
  bool mIsDeletion = false;
  stored_object mObject;
};

struct watch_batch
{
  /** Revision from which the next watch resumes. */
  std::int64_t mRevision = 0;
  std::vector<object_event> mEvents;
  /** The platform no longer keeps the requested revision; the caller has to
   * list all objects again. */
  bool mIsTooOld = false;
};

/** Entry of the platform's instance list, which may be out of date. */
struct instance
{
  std::string mName;
  std::string mAvailabilityZone;
  std::string mPool;
  /** "backend" or "entry". */
  std::string mRole;
  /** Wire endpoint of the system's process on the instance. */
  http::endpoint mEndpoint;
  bool mIsLeaving = false;
};

struct client
{
  http::endpoint mEndpoint;
  /** Name of this instance, sent with each call in the X-Caller header. */
  std::string mCaller;
  std::chrono::milliseconds mTimeout{ 2000 };
  /** Counts calls by kind and result; may be null. */
  metrics::registry* mMetrics = nullptr;
  /** Limits the call rate; a call over the rate fails without being sent. Null
   * for no limit. */
  std::shared_ptr<call_budget> mBudget = nullptr;
};

read_result
Read(const client& aClient, const std::string& aKind, const std::string& aName);

/** Lists the objects of a kind, or of all kinds when the kind is empty. */
result<object_list>
List(const client& aClient, const std::string& aKind);

/** Writes an object on condition of its current revision.
 * @param aExpected revision that the object must have; 0 to create it */
write_result
Write(const client& aClient,
      const std::string& aKind,
      const std::string& aName,
      std::int64_t aExpected,
      const json::value& aValue);

write_result
Delete(const client& aClient,
       const std::string& aKind,
       const std::string& aName,
       std::int64_t aExpected);

/** Waits for changes after a revision; returns them, or no events when the wait
 * ends first.
 * @param aFrom revision after which changes are returned */
result<watch_batch>
Watch(const client& aClient,
      std::int64_t aFrom,
      std::chrono::milliseconds aWait);

result<std::vector<instance>>
ListInstances(const client& aClient);

/** Posts a document to a platform API other than the Object API, such as
 * "/v1/zones/ZONE/orders" or "/v1/usage/WINDOW". */
http::call_result
Post(const client& aClient, const std::string& aPath, const json::value& aBody);

http::call_result
Get(const client& aClient, const std::string& aPath);

} // namespace lavender::platform
