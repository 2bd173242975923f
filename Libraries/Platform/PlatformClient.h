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

/** The one module that speaks to the platform. */
namespace lavender::platform {

/** An object of the Object API. */
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
  /** The condition didn't hold; mCurrent tells what stands there. */
  Conflict,
  /** Certainly not carried out, for another reason. */
  Refused,
  /** It may have taken effect; read back before relying on either. */
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
  /** No answer: nothing is known. */
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
  /** Revision of the whole store that the list shows. */
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
  /** Next watch resumes from here. */
  std::int64_t mRevision = 0;
  std::vector<object_event> mEvents;
  /** The revision asked for is no longer kept: list anew. */
  bool mIsTooOld = false;
};

/** One line of the platform's lagging instance list. */
struct instance
{
  std::string mName;
  std::string mAvailabilityZone;
  std::string mPool;
  /** "backend" or "entry". */
  std::string mRole;
  /** Wire address of the system's process there. */
  http::endpoint mEndpoint;
  bool mIsLeaving = false;
};

struct client
{
  http::endpoint mEndpoint;
  /** Name of this instance, shown to the platform with each call. */
  std::string mCaller;
  std::chrono::milliseconds mTimeout{ 2000 };
  /** Counts each call by its kind; may be null. */
  metrics::registry* mMetrics = nullptr;
  /** Refuses calls over this process's rate at once; null for no limit. */
  std::shared_ptr<call_budget> mBudget = nullptr;
};

read_result
Read(const client& aClient, const std::string& aKind, const std::string& aName);

/** Objects of a kind, or of all kinds when the kind is empty. */
result<object_list>
List(const client& aClient, const std::string& aKind);

/** Conditional write.
 * @param aExpected revision that the object must still have; 0 for create */
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

/** Waits until something changed after the revision, or the wait is over. */
result<watch_batch>
Watch(const client& aClient,
      std::int64_t aFrom,
      std::chrono::milliseconds aWait);

result<std::vector<instance>>
ListInstances(const client& aClient);

/** Posts a document to one of the platform's other interfaces, such as
 * "/v1/zones/ZONE/orders" or "/v1/usage/WINDOW". */
http::call_result
Post(const client& aClient, const std::string& aPath, const json::value& aBody);

http::call_result
Get(const client& aClient, const std::string& aPath);

} // namespace lavender::platform
