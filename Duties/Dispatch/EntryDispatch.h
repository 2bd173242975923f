#pragma once

#include "Duties/Admission/SharedDemand.h"
#include "Duties/Dispatch/AttemptDecision.h"
#include "Duties/Dispatch/AttemptTicket.h"
#include "Duties/Dispatch/CallOutcome.h"
#include "Duties/Dispatch/RetryBudget.h"
#include "Duties/Membership/ServerDirectory.h"
#include "Duties/Routing/PoolTable.h"
#include "Libraries/Metrics/Metrics.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

namespace lavender::dispatch {

/** A request that has been admitted and wants a server. */
struct call
{
  std::string mRequestId;
  std::string mCustomer;
  std::string mKeyId;
  std::string mPool;
  std::string mOperation;
  std::string mMethod;
  std::string mPath;
  std::string mPayload;
  /** Digest of what the caller sent; tells a repeated request from another
   * one under the same Idempotency-Key. */
  std::string mFingerprint;
  double mWeight = 1;
  std::int64_t mCostTokens = 1;
  int mPriority = 0;
  time_point mDeadline;
  /** Of the prompt, for affinity to a server that cached it; 0 for none. */
  std::int64_t mPrefix = 0;
  bool mIsRepeatable = true;
  /** For samples: oldest acceptable weight version, 0 for none. */
  std::int64_t mOldestWeightVersion = 0;
  /** Asked while the request waits: a reason to stop it, or empty. */
  std::function<std::string()> mStopReason;
  /** The same, asked only while the request is queued: work that already runs
   * isn't stopped for it. */
  std::function<std::string()> mQueuedStopReason;
  /** Told the server's name before each attempt; may be empty. */
  std::function<void(const std::string&)> mOnAttempt;
};

struct entry_dispatch_options
{
  std::string mEntryIncarnation;
  std::string mLocalZone;
  attempt_limits mLimits;
  int mMaximumAttempts = 3;
  retry_budget_limits mRetryBudget;
  routing::table_limits mRouting;
  /** Told of an attempt that may have run, and may yet be counted by its
   * agent, when the call is repeated at another. */
  std::function<void(const attempt_ticket&)> mOnSuperseded;
};

/** Brings one request to one server and its answer back.
 *
 * Each attempt has an id of its own. A call that may not be repeated goes
 * elsewhere only after the agent's word that the attempt did not run and
 * never will. */
class entry_dispatch
{
public:
  entry_dispatch(entry_dispatch_options aOptions,
                 membership::server_directory& aDirectory,
                 metrics::registry& aMetrics);

  /** Runs the call to its end. */
  call_outcome Run(const call& aCall);

  /** Picks a server for the pool; none when no server can take the call. */
  std::optional<membership::server_view> SelectServer(
    const std::string& aPool,
    const std::vector<std::string>& aExcluded,
    std::int64_t aPrefix = 0);

  /** Names an attempt on a server as issued now. */
  attempt_ticket Issue(const std::string& aAttemptId,
                       const membership::server_view& aServer) const;

  /** Sends the call once under the ticket and follows it to its end. */
  call_outcome Attempt(const call& aCall, const attempt_ticket& aTicket);

  /** Fetches the end of an attempt that another request made. Never sends it
   * anew, and takes it back only when its order never arrived. */
  call_outcome Fetch(const call& aCall, const attempt_ticket& aTicket);

  /** A customer's requests in flight over all entries, by the agents' reports.
   */
  admission::demand DemandOf(const std::string& aCustomer) const;

  /** Whether the retry budget lets one more attempt be made. */
  bool TakeRetry(const std::string& aReason);
  void CountFirstAttempt();
  int MaximumAttempts() const { return mOptions.mMaximumAttempts; }

private:
  void ApplyReport(const membership::server_view& aServer);
  void TakeDemand(const membership::server_view& aServer);
  void TakeCount(const std::string& aPool,
                 const std::string& aServer,
                 const wire::load_figures& aLoad);
  void TakeEvidence(const call& aCall,
                    const std::string& aServer,
                    time_point aSentAt,
                    const call_outcome& aOutcome);
  call_outcome Follow(const call& aCall,
                      const attempt_ticket& aTicket,
                      attempt_role aRole);
  attempt_event TakeStep(const call& aCall,
                         const attempt_ticket& aTicket,
                         const attempt_decision& aDecision);

  const entry_dispatch_options mOptions;
  membership::server_directory& mDirectory;
  metrics::registry& mMetrics;
  mutable std::mutex mDemandMutex;
  admission::shared_demand mDemand;
  std::mutex mRoutesMutex;
  std::mt19937_64 mRandom;
  std::map<std::string, routing::pool_table> mRoutes;
  std::mutex mBudgetMutex;
  retry_budget mBudget;
};

} // namespace lavender::dispatch
