#pragma once

#include "Duties/Dispatch/EntryDispatch.h"
#include "Duties/Dispatch/IdempotentDecision.h"
#include "Libraries/Core/BoundedRing.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>

namespace lavender::dispatch {

struct idempotent_call_options
{
  platform::client mPlatform;
  /** How long a key is remembered. Afterwards its record is removed, and the
   * key counts as a new one. */
  std::chrono::milliseconds mKeep{ 3600000 };
  /** Records that one entry removes in a second at most. */
  int mRemovalsPerSecond = 20;
};

/** Runs calls that may not be repeated and carry an Idempotency-Key: one
 * conditional create in the Object API decides which attempt may run, whatever
 * entries the caller asks.
 *
 * A thread removes the records that this entry wrote once they are old, and
 * those that dead entries left behind. */
class idempotent_calls
{
public:
  idempotent_calls(idempotent_call_options aOptions,
                   entry_dispatch& aDispatch,
                   metrics::registry& aMetrics);
  ~idempotent_calls();
  idempotent_calls(const idempotent_calls&) = delete;
  idempotent_calls& operator=(const idempotent_calls&) = delete;

  /** @param aName name of the key's record */
  call_outcome Run(const std::string& aName, const call& aCall);

  void Stop();

private:
  struct old_record
  {
    std::string mName;
    std::int64_t mRevision = 0;
  };

  record_step TakeStep(record_step aStep,
                       idempotent_state& aState,
                       const std::string& aName,
                       const call& aCall);
  record_step WriteNew(idempotent_state& aState,
                       const std::string& aName,
                       const call& aCall);
  record_step WriteOwn(idempotent_state& aState,
                       const std::string& aName,
                       const call& aCall);
  record_step ReadBack(idempotent_state& aState,
                       const std::string& aName,
                       const call& aCall);
  platform::client ClientFor(const call& aCall) const;
  bool IsPlatformSilent();
  void NotePlatform(bool aIsAnswering);
  void RemoveLoop();
  /** Takes over the records that dead entries should have removed. */
  void AdoptLeftRecords();
  void RemoveOldRecords();

  const idempotent_call_options mOptions;
  entry_dispatch& mDispatch;
  metrics::registry& mMetrics;
  std::mutex mMutex;
  /** Until then requests are refused without asking the platform. */
  time_point mPlatformSilentUntil;
  /** Records to remove, by the time until which they stay. */
  std::multimap<std::chrono::system_clock::time_point, old_record> mRecords;
  bool mIsStopping = false;
  std::condition_variable mStopped;
  std::thread mRemover;
};

} // namespace lavender::dispatch
