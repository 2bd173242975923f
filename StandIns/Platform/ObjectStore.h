#pragma once

#include "Libraries/Json/Value.h"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lavender::standin {

struct kept_object
{
  std::int64_t mRevision = 0;
  json::value mValue;
};

struct kept_event
{
  std::int64_t mRevision = 0;
  bool mIsDeletion = false;
  std::string mKind;
  std::string mName;
  json::value mValue;
};

struct store_outcome
{
  bool mIsDone = false;
  std::int64_t mRevision = 0;
  /** What stands there after a conflict. */
  std::optional<kept_object> mCurrent;
};

/** Versioned objects with conditional updates and watches. */
class object_store
{
public:
  std::optional<kept_object> Read(const std::string& aKind,
                                  const std::string& aName) const;
  /** Writes when the object has the expected revision: 0 for absent, -1 for
   * any. */
  store_outcome Write(const std::string& aKind,
                      const std::string& aName,
                      std::int64_t aExpected,
                      json::value aValue);
  store_outcome Delete(const std::string& aKind,
                       const std::string& aName,
                       std::int64_t aExpected);
  /** Revision of the store, and the objects of a kind (all when empty). */
  std::pair<std::int64_t, json::array> List(const std::string& aKind) const;
  /** Events after the revision, waiting for the first; none when the
   * revision is no longer kept. */
  std::optional<std::pair<std::int64_t, json::array>> Watch(
    std::int64_t aFrom,
    std::chrono::milliseconds aWait);
  /** Forgets old events, so that watches from before fail. */
  void Compact();
  /** Keeps the present state as the old copy. */
  void KeepOldCopy();
  /** The old copy as a list shows it. */
  std::pair<std::int64_t, json::array> ListOldCopy() const;

private:
  void Append(kept_event aEvent);

  mutable std::mutex mMutex;
  std::condition_variable mChanged;
  std::map<std::pair<std::string, std::string>, kept_object> mObjects;
  std::deque<kept_event> mEvents;
  std::pair<std::int64_t, json::array> mOldCopy;
  std::int64_t mRevision = 1;
  std::int64_t mOldestKept = 1;
};

/** The JSON form of one object, as all interfaces show it. */
json::value
DescribeObject(const std::string& aKind,
               const std::string& aName,
               const kept_object& aObject);

} // namespace lavender::standin
