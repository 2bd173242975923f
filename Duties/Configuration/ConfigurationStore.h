#pragma once

#include "Duties/Configuration/ConfigurationState.h"
#include "Libraries/Core/Clock.h"
#include "Libraries/Wire/Generated/lavender_types.h"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace lavender::configuration {

struct store_options
{
  platform::client mPlatform;
  /** Folder in which the configuration is saved, for a start while the platform
   * is down; empty to save nothing. It holds only hashes of keys. */
  std::string mDataFolder;
};

/** Age that stands for a state that was never verified. */
constexpr milliseconds kNeverVerified{ std::int64_t{ 1 } << 40 };

/** Holds the configuration that is in force. A background thread keeps it up to
 * date with a watch on the Object API. Only the functions that modify
 * configuration_state change it, so its revision never decreases. */
class configuration_store
{
public:
  explicit configuration_store(store_options aOptions);
  ~configuration_store();
  configuration_store(const configuration_store&) = delete;
  configuration_store& operator=(const configuration_store&) = delete;

  /** Loads the copy on the disk, if there is one, and starts the watch. */
  void Start();
  void Stop();

  /** Returns the configuration in force. Never null; its revision is 0 before
   * the first state. */
  std::shared_ptr<const snapshot> Current() const;
  /** Returns the summary of the state that other processes receive. */
  state_digest Digest() const;
  /** Returns the time since the state was last verified as the newest. */
  milliseconds VerificationAge() const;
  /** True once a first state has been loaded or received. */
  bool IsReady() const;

  /** Applies a peer's digest. On NeedsFullCopy the caller should fetch the
   * peer's full copy and pass it to ApplyCopy. */
  apply_outcome ApplyDigest(const state_digest& aDigest);
  apply_outcome ApplyCopy(full_copy aCopy);
  full_copy Copy() const;

  /** Returns all objects of a kind with their revisions. */
  std::vector<platform::stored_object> Objects(const std::string& aKind) const;
  /** Waits for at most aWait until there are changes after aFrom, and returns
   * them. */
  change_batch WaitForChanges(std::int64_t aFrom, milliseconds aWait) const;

private:
  void LoadSavedCopy();
  void SaveCopyIfChanged();
  void WatchLoop();
  bool LoadFromPlatform();
  bool PollWatch();
  void CountOutcome(const char* aSource, apply_outcome aOutcome);
  void LogNewFailure(const std::string& aText);
  void CountWatchFailure();
  bool WaitOrStop(milliseconds aWait);

  const store_options mOptions;
  mutable std::mutex mMutex;
  mutable std::condition_variable mStateChanged;
  bool mIsStopping = false;
  configuration_state mState;
  /** Revision of the last change that was saved to disk. */
  std::int64_t mSavedChangedRevision = 0;
  /** Last failure that was logged; used by the watch thread only. */
  std::string mLastFailure;
  std::thread mThread;
};

/** Converts a copy to the message that is sent or saved to disk. */
wire::configuration_copy
ToMessage(const full_copy& aCopy, time_point aNow);
/** @param aRequestedAt when the copy was requested; the age of its verification
 * is subtracted from this time */
full_copy
FromMessage(const wire::configuration_copy& aMessage, time_point aRequestedAt);

/** Returns the time since aVerifiedAt, or kNeverVerified when there is none. */
milliseconds
AgeOf(const std::optional<time_point>& aVerifiedAt, time_point aNow);
/** Returns the verification time that had the given age at aAt; none for
 * kNeverVerified. */
std::optional<time_point>
VerificationTime(milliseconds aAge, time_point aAt);

} // namespace lavender::configuration
