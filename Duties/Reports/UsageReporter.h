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

/** Reports usage windows to the platform, from one process at a time. Apart
 * from the counting itself, which agents need too. */
namespace lavender::reports {

struct reporter_options
{
  platform::client mPlatform;
  leases::lease_source mLeases;
  /** Told of the lease that must not be released at the end, since a report
   * under it may still be on its way. */
  std::function<void(const std::string&)> mLetExpire;
  milliseconds mMaximumTransitTime{ 3000 };
  std::string mEntryName;
  std::chrono::seconds mWindow{ 60 };
  milliseconds mCheckInterval{ 500 };
  metrics::registry* mMetrics = nullptr;
};

/** Fixes each window's figures, reports them, and lets the witnesses forget
 * what is fixed, with a thread of its own. */
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

  /** All that the witnesses told in one round. */
  struct collection
  {
    std::vector<usage::agent_offer> mAgents;
    std::vector<wire::usage_bucket> mFromEntries;
    /** Told by the entries, for the agents to take out. */
    std::vector<wire::superseded_run> mSuperseded;
  };

  void Run();
  void Look(const leases::held_lease& aLease);
  void FixNext(std::int64_t aWindow);
  bool Report(const leases::held_lease& aLease);
  collection Collect(std::int64_t aThrough);
  void CollectAgents(std::int64_t aThrough, collection& aAll);
  void CollectDrained();
  void CollectEntries(std::int64_t aThrough, collection& aAll);
  void CollectRemainders(collection& aAll);
  void Settle();
  bool IsGone(const std::string& aAgentIncarnation);
  /** Connections to all entries but this one. */
  std::vector<entry_pool*> OtherEntries();
  bool IsStopping();

  const reporter_options mOptions;
  membership::server_directory& mDirectory;
  usage::usage_account& mOwnAccount;
  window_store mStore;
  std::int64_t mFencing = 0;
  std::optional<time_point> mUnansweredAt;
  /** Last words of agents that left, until they are fixed. */
  std::map<std::string, usage::agent_offer> mDrained;
  /** Since when an agent that an entry counted for didn't answer. */
  std::map<std::string, time_point> mMissingSince;
  std::map<std::string, std::unique_ptr<entry_pool>> mPools;
  std::mutex mMutex;
  std::condition_variable mStopped;
  bool mIsStopping = false;
  std::thread mThread;
};

} // namespace lavender::reports
