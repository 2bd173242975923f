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

/** An admitted request that is to run on a server. */
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
  /** Digest of what the caller sent; distinguishes a repeated request from a
   * different one with the same Idempotency-Key. */
  std::string mFingerprint;
  double mWeight = 1;
  std::int64_t mCostTokens = 1;
  int mPriority = 0;
  time_point mDeadline;
  /** Digest of the prompt's prefix, for affinity to a server that has cached
   * it; 0 for none. */
  std::int64_t mPrefix = 0;
  bool mIsRepeatable = true;
  /** For samples: oldest acceptable weight version; 0 accepts any. */
  std::int64_t mOldestWeightVersion = 0;
  /** Polled while the request waits; returns a reason to stop the request, or
   * an empty string. */
  std::function<std::string()> mStopReason;
  /** Like mStopReason, but polled only while the request is queued; a running
   * request isn't stopped for it. */
  std::function<std::string()> mQueuedStopReason;
  /** Called with the server's name before each attempt; may be empty. */
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
  /** Called when a call is repeated on another server, with the earlier attempt
   * if that may have run and its agent may still count it. */
  std::function<void(const attempt_ticket&)> mOnSuperseded;
};

/** Dispatches requests to the agents of servers and returns their outcomes.
 *
 * Each attempt has its own id. A call that may not be repeated is sent to
 * another server only after the agent has confirmed that the attempt did not
 * run and never will. */
class entry_dispatch
{
public:
  entry_dispatch(entry_dispatch_options aOptions,
                 membership::server_directory& aDirectory,
                 metrics::registry& aMetrics);

  /** Dispatches the call, retries it if allowed, and blocks until it ends. */
  call_outcome Run(const call& aCall);

  /** Selects a server of the pool; none when no server can take the call. */
  std::optional<membership::server_view> SelectServer(
    const std::string& aPool,
    const std::vector<std::string>& aExcluded,
    std::int64_t aPrefix = 0);

  /** Creates the ticket of an attempt on a server, issued now. */
  attempt_ticket Issue(const std::string& aAttemptId,
                       const membership::server_view& aServer) const;

  /** Dispatches the call once under the ticket and blocks until it ends. */
  call_outcome Attempt(const call& aCall, const attempt_ticket& aTicket);

  /** Blocks until another request's attempt ends, and returns its outcome.
   * Never sends the order, and cancels it only if it never arrived. */
  call_outcome Fetch(const call& aCall, const attempt_ticket& aTicket);

  /** A customer's requests in flight from all entries, by the agents' reports.
   */
  admission::customer_demand DemandOf(const std::string& aCustomer) const;

  /** Consumes one retry of the budget; false if the budget is used up. */
  bool TryConsumeRetry(const std::string& aReason);
  void CountFirstAttempt();
  int MaximumAttempts() const { return mOptions.mMaximumAttempts; }

private:
  void ApplyReport(const membership::server_view& aServer);
  void ApplyDemand(const membership::server_view& aServer);
  void ApplyRequestCount(const std::string& aPool,
                         const std::string& aServer,
                         const wire::load_figures& aLoad);
  void RecordAttemptEnd(const call& aCall,
                        const std::string& aServer,
                        time_point aSentAt,
                        const call_outcome& aOutcome);
  call_outcome FollowAttempt(const call& aCall,
                             const attempt_ticket& aTicket,
                             attempt_role aRole);
  attempt_event RunStep(const call& aCall,
                        const attempt_ticket& aTicket,
                        const attempt_decision& aDecision);

  const entry_dispatch_options mOptions;
  membership::server_directory& mDirectory;
  metrics::registry& mMetrics;
  mutable std::mutex mDemandMutex;
  admission::shared_demand mDemand;
  std::mutex mRoutingMutex;
  std::mt19937_64 mRandom;
  std::map<std::string, routing::pool_table> mRoutingTables;
  std::mutex mBudgetMutex;
  retry_budget mBudget;
};

} // namespace lavender::dispatch
