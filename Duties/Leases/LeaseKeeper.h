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
  /** Name of this entry in the platform's list. */
  std::string mName;
  std::string mIncarnation;
  lease_settings mSettings;
  /** Names of live entries. */
  std::function<std::vector<std::string>()> mEntries;
  metrics::registry* mMetrics = nullptr;
};

/** Wins and renews the leases that this process asks for, with a thread for
 * each, so that a slow answer about one delays no other. */
class lease_manager
{
public:
  explicit lease_manager(lease_manager_options aOptions);
  ~lease_manager();
  lease_manager(const lease_manager&) = delete;
  lease_manager& operator=(const lease_manager&) = delete;

  /** From now on tries to hold that lease. */
  void StartAcquiring(const std::string& aName);
  /** Gives the lease up, when held, and no longer tries. */
  void Relinquish(const std::string& aName);
  /** At Stop, doesn't release that lease: something sent under it may still be
   * on its way, which a successor has to wait out. */
  void LetExpire(const std::string& aName);
  /** The lease, while this process holds it. Never waits for the store. */
  std::optional<held_lease> Held(const std::string& aName) const;
  /** The same for duties that take a lease_source: asks on first use. */
  lease_source Source();
  /** Releases all leases, so that successors need not wait, and ends. Call it
   * after the duties have stopped acting. */
  void Stop();

private:
  struct kept_lease
  {
    lease_state mState;
    bool mIsWanted = true;
    bool mMayRelease = true;
    std::thread mThread;
  };

  void Run(kept_lease& aLease);
  void Step(kept_lease& aLease, std::unique_lock<std::mutex>& aLock);
  void WriteOut(kept_lease& aLease,
                const lease_step& aStep,
                std::unique_lock<std::mutex>& aLock);
  void GiveUp(kept_lease& aLease, std::unique_lock<std::mutex>& aLock);
  candidate Self(const std::string& aLease) const;
  void ShowState(const kept_lease& aLease) const;

  const lease_manager_options mOptions;
  mutable std::mutex mMutex;
  std::condition_variable mChanged;
  bool mIsStopping = false;
  std::map<std::string, std::unique_ptr<kept_lease>> mLeases;
};

} // namespace lavender::leases
