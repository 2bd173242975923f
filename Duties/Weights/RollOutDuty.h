#pragma once

#include "Duties/Leases/HeldLease.h"
#include "Duties/Membership/ServerDirectory.h"
#include "Duties/Weights/RollOut.h"
#include "Libraries/Core/BoundedRing.h"
#include "Libraries/Metrics/Metrics.h"

#include <atomic>
#include <functional>
#include <memory>
#include <thread>

namespace lavender::weights {

/** A pool and the weights that it is to hold. */
struct pool_target
{
  std::string mPool;
  weight_version mTarget;
};

/** Tells how far a version's roll-out is. */
struct roll_out_progress
{
  pool_target mTarget;
  std::size_t mHolding = 0;
  std::size_t mServers = 0;
};

struct roll_out_options
{
  roll_out_limits mLimits;
  std::string mHolder;
  milliseconds mCheckInterval{ 200 };
  /** Orders that are on the wire side by side. */
  int mSenders = 8;
  milliseconds mOrderTimeout{ 3000 };
};

/** Brings accepted versions to the servers of each pool, while this process
 * holds the pool's lease. One lease for each pool and not for each run: two
 * runs on one pool would otherwise give their orders under two unrelated
 * rows of fencing numbers, which an agent can't compare. */
class roll_out_duty
{
public:
  using target_source = std::function<std::vector<pool_target>()>;
  using progress_observer = std::function<void(const roll_out_progress&)>;

  roll_out_duty(roll_out_options aOptions,
                membership::server_directory& aDirectory,
                target_source aTargets,
                leases::lease_source aLeases,
                progress_observer aObserver,
                metrics::registry& aMetrics);
  ~roll_out_duty();
  roll_out_duty(const roll_out_duty&) = delete;
  roll_out_duty& operator=(const roll_out_duty&) = delete;

  void Start();
  void Stop();

private:
  struct ordered_swap
  {
    server_weights mServer;
    std::string mPool;
    weight_version mTarget;
    std::shared_ptr<membership::agent_pool> mConnections;
  };

  void LookLoop();
  void SendLoop();
  void LookAt(const pool_target& aTarget,
              const std::vector<membership::server_view>& aServers);
  void Send(const ordered_swap& aOrder);

  const roll_out_options mOptions;
  membership::server_directory& mDirectory;
  const target_source mTargets;
  const leases::lease_source mLeases;
  const progress_observer mObserver;
  metrics::registry& mMetrics;
  std::map<std::string, roll_out_state> mStates;
  bounded_ring<ordered_swap> mOrders{ 4096 };
  bounded_ring<int> mStopSign{ 1 };
  std::atomic<bool> mIsStopping{ false };
  std::thread mLooker;
  std::vector<std::thread> mSenders;
};

} // namespace lavender::weights
