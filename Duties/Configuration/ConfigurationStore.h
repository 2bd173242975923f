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
  /** Folder that keeps the configuration for a start while the platform is
   * down; empty to keep nothing. Only hashes of keys are ever in it. */
  std::string mDataFolder;
};

/** Age of a proof that there never was one of. */
constexpr milliseconds kNeverProven{ std::int64_t{ 1 } << 40 };

/** Holds the configuration that is in force and keeps it up to date with a
 * watch on the Object API, in a thread of its own. All that may change it are
 * the functions over configuration_state, so the revision never goes back. */
class configuration_store
{
public:
  explicit configuration_store(store_options aOptions);
  ~configuration_store();
  configuration_store(const configuration_store&) = delete;
  configuration_store& operator=(const configuration_store&) = delete;

  /** Begins with the copy on the disk, if there is one, and watches. */
  void Start();
  void Stop();

  /** The configuration in force; never null, revision 0 before the first. */
  std::shared_ptr<const snapshot> Current() const;
  /** What this store tells others of its state. */
  state_digest Digest() const;
  /** Age of the last proof that the state was the newest. */
  milliseconds VerificationAge() const;
  /** True once a first state has come. */
  bool IsReady() const;

  /** Takes a peer's word; NeedsCopy asks for a copy through TakeCopy. */
  apply_outcome TakeDigest(const state_digest& aDigest);
  apply_outcome TakeCopy(whole_copy aCopy);
  whole_copy Copy() const;

  /** Objects of a kind with their revisions, for operators. */
  std::vector<platform::stored_object> Objects(const std::string& aKind) const;
  /** Waits for changes after the revision. */
  change_batch WaitForChanges(std::int64_t aFrom, milliseconds aWait) const;

private:
  void Load();
  void SaveIfChanged();
  void WatchLoop();
  bool LoadAll();
  bool WatchOnce();
  void Note(const char* aSource, apply_outcome aOutcome);
  void NoteFailure(const std::string& aSentence);
  void CountBreak();
  bool WaitOrStop(milliseconds aWait);

  const store_options mOptions;
  mutable std::mutex mMutex;
  mutable std::condition_variable mChanged;
  bool mIsStopping = false;
  configuration_state mState;
  /** Revision of the last change that is on the disk. */
  std::int64_t mSavedChanged = 0;
  /** Last failure that was logged; used by the watching thread alone. */
  std::string mLastFailure;
  std::thread mThread;
};

/** A copy as a message between processes or on the disk. */
wire::configuration_copy
ToMessage(const whole_copy& aCopy, time_point aNow);
/** @param aAskedAt when it was asked for; the proof is counted from then */
whole_copy
FromMessage(const wire::configuration_copy& aMessage, time_point aAskedAt);

/** Age of a proof in milliseconds. */
milliseconds
AgeOf(const std::optional<time_point>& aProvenAt, time_point aNow);
/** Time of a proof that had that age at the given time. */
std::optional<time_point>
ProofAt(milliseconds aAge, time_point aAt);

} // namespace lavender::configuration
