#pragma once

#include "Duties/Leases/Lease.h"
#include "Libraries/Metrics/Metrics.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace lavender::leases {

struct lease_manager_options
{
  platform::client mPlatform;
  /** Name of this entry in the platform's instance list. */
  std::string mName;
  std::string mIncarnation;
  lease_settings mSettings;
  /** Returns the names of live entries. */
  std::function<std::vector<std::string>()> mEntries;
  metrics::registry* mMetrics = nullptr;
};

/** Acquires and renews the leases that this process requests. Each lease has a
 * thread, so that a slow response for one lease doesn't delay another. */
class lease_manager
{
public:
  explicit lease_manager(lease_manager_options aOptions);
  ~lease_manager();
  lease_manager(const lease_manager&) = delete;
  lease_manager& operator=(const lease_manager&) = delete;

  /** Starts to acquire that lease and to renew it once held. */
  void StartAcquiring(const std::string& aName);
  /** Stops acquiring that lease, and releases it when it is held. */
  void Relinquish(const std::string& aName);
  /** Makes Stop leave that lease to expire instead of releasing it, because a
   * request sent under the lease may still be in transit and a successor has to
   * wait for it. */
  void LetExpire(const std::string& aName);
  /** Returns the lease while this process holds it. Never blocks on the object
   * store. */
  std::optional<held_lease> Held(const std::string& aName) const;
  /** Returns a lease_source that starts to acquire a lease on its first use. */
  lease_source Source();
  /** Releases all leases, so that successors needn't wait, and joins the
   * threads. Must be called after all work under the leases has stopped. */
  void Stop();

private:
  struct managed_lease
  {
    lease_state mState;
    bool mIsWanted = true;
    bool mReleasesOnStop = true;
    std::thread mThread;
  };

  void Run(managed_lease& aLease);
  void RunStep(managed_lease& aLease, std::unique_lock<std::mutex>& aLock);
  void SendWrite(managed_lease& aLease,
                 const lease_step& aStep,
                 std::unique_lock<std::mutex>& aLock);
  void ReleaseIfHeld(managed_lease& aLease,
                     std::unique_lock<std::mutex>& aLock);
  candidate MakeCandidate(const std::string& aLease) const;
  void UpdateMetrics(const managed_lease& aLease) const;

  const lease_manager_options mOptions;
  mutable std::mutex mMutex;
  std::condition_variable mChanged;
  bool mIsStopping = false;
  std::map<std::string, std::unique_ptr<managed_lease>> mLeases;
};

} // namespace lavender::leases
