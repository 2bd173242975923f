#pragma once

#include "Duties/Leases/HeldLease.h"
#include "Duties/Membership/ServerDirectory.h"
#include "Duties/Reports/WindowStore.h"
#include "Duties/Usage/UsageAccount.h"
#include "Duties/Usage/WindowReport.h"
#include "Libraries/Wire/Generated/entry_service.h"

#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

/** Reports usage windows to the platform, from one process at a time. Separate
 * from the counting in Duties/Usage, which agents need too. */
namespace lavender::reports {

struct reporter_options
{
  platform::client mPlatform;
  leases::lease_source mLeases;
  /** Called with the name of a lease that must expire instead of being released
   * when this process stops, because a report sent under it may still be in
   * transit. */
  std::function<void(const std::string&)> mLetExpire;
  milliseconds mMaximumTransitTime{ 3000 };
  std::string mEntryName;
  std::chrono::seconds mWindow{ 60 };
  milliseconds mCheckInterval{ 500 };
  metrics::registry* mMetrics = nullptr;
};

/** Stores the report of each window, sends it, and tells the agents and entries
 * which buckets they can remove. Uses a background thread. */
class usage_reporter
{
public:
  usage_reporter(reporter_options aOptions,
                 membership::server_directory& aDirectory,
                 usage::usage_account& aOwnAccount);
  ~usage_reporter();
  usage_reporter(const usage_reporter&) = delete;
  usage_reporter& operator=(const usage_reporter&) = delete;

  void Start();
  void Stop();

private:
  using entry_pool = wire::connection_pool<wire::entry_serviceClient>;

  /** All responses of agents and entries to one usage query. */
  struct collection
  {
    std::vector<usage::agent_usage> mAgents;
    std::vector<wire::usage_bucket> mFromEntries;
    /** Runs that the entries superseded, for the agents to remove. */
    std::vector<wire::superseded_run> mSuperseded;
  };

  void Run();
  void CheckWindows(const leases::held_lease& aLease);
  void StoreNext(std::int64_t aWindow);
  bool SendNewest(const leases::held_lease& aLease);
  collection Collect(std::int64_t aThrough);
  void CollectAgents(std::int64_t aThrough, collection& aAll);
  void CollectDrainingAgents();
  void CollectEntries(std::int64_t aThrough, collection& aAll);
  void CollectRemainders(collection& aAll);
  void Settle();
  bool HasTerminated(const std::string& aAgentIncarnation);
  /** Returns the connection pools of all entries except this one. */
  std::vector<entry_pool*> OtherEntries();
  bool IsStopping();

  const reporter_options mOptions;
  membership::server_directory& mDirectory;
  usage::usage_account& mOwnAccount;
  window_store mStore;
  std::int64_t mFencing = 0;
  std::optional<time_point> mLastUnansweredAt;
  /** Last response of each draining agent, until a stored report includes it.
   */
  std::map<std::string, usage::agent_usage> mDrainingAgents;
  /** When an agent, named by an entry's counts, was first found unresponsive.
   */
  std::map<std::string, time_point> mUnansweredSince;
  std::map<std::string, std::unique_ptr<entry_pool>> mPools;
  std::mutex mMutex;
  std::condition_variable mStopped;
  bool mIsStopping = false;
  std::thread mThread;
};

} // namespace lavender::reports
