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
  /** How long the record of a key is kept. After its removal, the key counts as
   * new. */
  std::chrono::milliseconds mRetention{ 3600000 };
  /** Maximum number of records that one entry removes per second. */
  int mRemovalsPerSecond = 20;
};

/** Runs calls that may not be repeated and carry an Idempotency-Key. A
 * conditional create in the Object API decides which attempt may run, even if
 * the caller sends the request to several entries.
 *
 * A thread removes expired records, both those that this entry wrote and those
 * of entries that no longer run. */
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
  struct expiring_record
  {
    std::string mName;
    std::int64_t mRevision = 0;
  };

  record_step RunStep(record_step aStep,
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
  bool IsPlatformUnresponsive();
  void RecordPlatformState(bool aIsResponding);
  void RunRemovalLoop();
  /** Schedules the removal of records that entries which no longer run should
   * have removed. */
  void AdoptOrphanedRecords();
  void RemoveExpiredRecords();

  const idempotent_call_options mOptions;
  entry_dispatch& mDispatch;
  metrics::registry& mMetrics;
  std::mutex mMutex;
  /** Until this time requests are refused without a call to the platform. */
  time_point mPlatformPausedUntil;
  /** Records to remove, by their expiry time. */
  std::multimap<std::chrono::system_clock::time_point, expiring_record>
    mExpiringRecords;
  bool mIsStopping = false;
  std::condition_variable mStopped;
  std::thread mRemovalThread;
};

} // namespace lavender::dispatch
