#pragma once

#include "Duties/Dispatch/AgentDispatch.h"
#include "Duties/Usage/UsageAccount.h"
#include "Duties/Weights/WeightGate.h"
#include "Libraries/Metrics/Metrics.h"
#include "Libraries/Wire/Generated/agent_service.h"

#include <mutex>
#include <string>
#include <thread>

namespace lavender::agent {

struct identity
{
  std::string mName;
  std::string mAvailabilityZone;
  std::string mPool;
  std::string mIncarnation;
  std::chrono::seconds mUsageWindow{ 60 };
};

/** Serves the wire calls of entries by passing each to the duty concerned, and
 * polls the backend server's load and weights. */
class agent_handler : public wire::agent_serviceIf
{
public:
  agent_handler(identity aIdentity,
                dispatch::backend_server aServer,
                dispatch::agent_dispatch& aDispatch,
                weights::versioned_backend& aWeights,
                usage::usage_account& aUsage,
                metrics::registry& aMetrics);
  ~agent_handler() override;

  void Dispatch(wire::dispatch_reply& aReply,
                const wire::dispatch_order& aOrder,
                const std::int32_t aWait) override;
  void Await(wire::dispatch_reply& aReply,
             const std::string& aId,
             const std::string& aIncarnation,
             const std::int32_t aWait) override;
  void Cancel(wire::dispatch_reply& aReply,
              const std::string& aId,
              const std::string& aIncarnation,
              const std::int64_t aIssuedAt) override;
  void Report(wire::agent_report& aReport,
              const wire::entry_digest& aDigest) override;
  void Swap(wire::swap_reply& aReply, const wire::swap_order& aOrder) override;
  void CollectUsage(wire::usage_reply& aReply,
                    const wire::usage_query& aQuery) override;
  void Drain(wire::drain_reply& aReply,
             const wire::drain_order& aOrder) override;

  /** Stops polling the server's load and weights. */
  void Stop();

private:
  struct server_state
  {
    dispatch::server_load mLoad;
    weights::weight_version mWeights;
    time_point mReadAt;
  };

  /** Newest configuration that an entry has reported to this agent. */
  struct witnessed_configuration
  {
    std::int64_t mRevision = 0;
    time_point mVerifiedAt;
  };

  void PollServer();
  bool RefuseOtherIncarnation(wire::dispatch_reply& aReply,
                              const std::string& aId,
                              const std::string& aIncarnation);

  const identity mIdentity;
  const dispatch::backend_server mServer;
  dispatch::agent_dispatch& mDispatch;
  weights::versioned_backend& mWeights;
  usage::usage_account& mUsage;
  metrics::registry& mMetrics;
  std::mutex mMutex;
  std::condition_variable mStopped;
  bool mIsStopping = false;
  server_state mState;
  witnessed_configuration mWitnessed;
  /** Highest fencing number of a drain order. Weight orders have a lease and
   * fencing numbers of their own. */
  std::int64_t mHighestDrainFencing = 0;
  std::thread mPollThread;
};

} // namespace lavender::agent
