#pragma once

#include "Duties/Configuration/Snapshot.h"
#include "Libraries/Core/Clock.h"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace lavender::configuration {

/** Changes after a revision, for a resumed watch. */
struct change_batch
{
  std::int64_t mRevision = 0;
  std::vector<platform::object_event> mEvents;
  bool mIsTooOld = false;
};

/** Holds the snapshot that is in force and keeps it up to date with a watch
 * on the Object API. The revision never goes back. */
class configuration_store
{
public:
  explicit configuration_store(platform::client aPlatform);
  ~configuration_store();
  configuration_store(const configuration_store&) = delete;
  configuration_store& operator=(const configuration_store&) = delete;

  void Start();
  void Stop();

  /** The configuration in force; never null, revision 0 before the first. */
  std::shared_ptr<const snapshot> Current() const;
  /** Age of the last proof that the snapshot was the newest. */
  milliseconds FreshAge() const;
  /** True once a first snapshot has come. */
  bool IsReady() const;

  /** Objects of a kind with their revisions, for operators. */
  std::vector<platform::stored_object> Objects(const std::string& aKind) const;
  /** All objects with the revision that they stand for. */
  std::pair<std::int64_t, std::vector<platform::stored_object>> AllObjects()
    const;
  /** Waits for changes after the revision. */
  change_batch WaitForChanges(std::int64_t aFrom, milliseconds aWait) const;

private:
  void WatchLoop();
  bool LoadAll();
  void Take(const platform::watch_batch& aBatch, time_point aAskedAt);
  bool WaitOrStop(milliseconds aWait);

  const platform::client mPlatform;
  mutable std::mutex mMutex;
  mutable std::condition_variable mChanged;
  bool mIsStopping = false;
  object_map mObjects;
  std::vector<platform::object_event> mRecent;
  std::int64_t mOldestRecent = 0;
  std::shared_ptr<const snapshot> mCurrent;
  time_point mFreshAt;
  std::thread mThread;
};

} // namespace lavender::configuration
