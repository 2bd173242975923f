#pragma once

#include "Duties/Dispatch/CallOutcome.h"
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
};

struct entry_dispatch_options
{
  std::string mEntryIncarnation;
  std::string mOwnZone;
  /** How long one message to an agent waits for the request's end. */
  milliseconds mWaitSlice{ 500 };
  /** Silence after which a connection counts as dead. */
  milliseconds mSilence{ 1500 };
  /** How long an agent that gives no word is asked before the outcome is
   * called unknown. */
  milliseconds mGiveUpAfter{ 5000 };
  int mMaximumAttempts = 3;
  routing::table_limits mRouting;
};

/** Brings one request to one server and its answer back.
 *
 * Each attempt has an id of its own. The request goes elsewhere only after
 * the agent's word that the attempt did not run and never will. */
class entry_dispatch
{
public:
  entry_dispatch(entry_dispatch_options aOptions,
                 membership::server_directory& aDirectory,
                 metrics::registry& aMetrics);

  /** Runs the call to its end. */
  call_outcome Run(const call& aCall);

  /** Fetches the end of a request that another process sent to a server.
   * Never sends it anew. */
  call_outcome Fetch(const std::string& aRequestId,
                     const std::string& aServerName,
                     const std::string& aServerIncarnation,
                     time_point aDeadline);

  /** Picks a server for the pool; none when no server can take the call. */
  std::optional<membership::server_view> Pick(
    const std::string& aPool,
    const std::vector<std::string>& aExcluded,
    std::int64_t aPrefix = 0);

  /** One attempt on one server. */
  call_outcome Attempt(const call& aCall,
                       const std::string& aAttemptId,
                       const membership::server_view& aServer);

private:
  void TakeReport(const membership::server_view& aServer);
  void TakeEvidence(const call& aCall,
                    const std::string& aServer,
                    time_point aSentAt,
                    const call_outcome& aOutcome);
  call_outcome Follow(const call* aCall,
                      const std::string& aAttemptId,
                      const membership::server_view& aServer,
                      time_point aDeadline,
                      wire::wire_result<wire::dispatch_reply> aFirst);
  call_outcome Settle(const std::string& aAttemptId,
                      const membership::server_view& aServer,
                      const std::string& aReason);

  const entry_dispatch_options mOptions;
  membership::server_directory& mDirectory;
  metrics::registry& mMetrics;
  std::mutex mRoutesMutex;
  std::mt19937_64 mRandom;
  std::map<std::string, routing::pool_table> mRoutes;
};

} // namespace lavender::dispatch
