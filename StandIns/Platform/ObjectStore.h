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

struct stored_object
{
  std::int64_t mRevision = 0;
  json::value mValue;
};

struct stored_event
{
  std::int64_t mRevision = 0;
  bool mIsDeletion = false;
  std::string mKind;
  std::string mName;
  json::value mValue;
};

struct write_result
{
  bool mIsApplied = false;
  std::int64_t mRevision = 0;
  /** The stored object that caused a conflict. */
  std::optional<stored_object> mCurrent;
};

/** Versioned objects with conditional updates and watches. */
class object_store
{
public:
  std::optional<stored_object> Read(const std::string& aKind,
                                    const std::string& aName) const;
  /** Writes when the object has the expected revision: 0 for absent, -1 for
   * any. */
  write_result Write(const std::string& aKind,
                     const std::string& aName,
                     std::int64_t aExpected,
                     json::value aValue);
  write_result Delete(const std::string& aKind,
                      const std::string& aName,
                      std::int64_t aExpected);
  /** Returns the store's revision and the objects of a kind, or all objects if
   * the kind is empty. */
  std::pair<std::int64_t, json::array> List(const std::string& aKind) const;
  /** Returns the events after a revision and waits for the first one. Returns
   * nothing if the events after that revision have been compacted. */
  std::optional<std::pair<std::int64_t, json::array>> Watch(
    std::int64_t aFrom,
    std::chrono::milliseconds aWait);
  /** Drops all events, so that watches from older revisions fail. */
  void Compact();
  /** Saves the current state as the snapshot for callers that read stale data.
   */
  void SaveSnapshot();
  /** Returns the snapshot in the form that List() returns. */
  std::pair<std::int64_t, json::array> ListSnapshot() const;

private:
  void Append(stored_event aEvent);

  mutable std::mutex mMutex;
  std::condition_variable mChanged;
  std::map<std::pair<std::string, std::string>, stored_object> mObjects;
  std::deque<stored_event> mEvents;
  std::pair<std::int64_t, json::array> mSnapshot;
  std::int64_t mRevision = 1;
  std::int64_t mOldestRetained = 1;
};

/** Encodes an object in the form that all interfaces return. */
json::value
ToJson(const std::string& aKind,
       const std::string& aName,
       const stored_object& aObject);

} // namespace lavender::standin
