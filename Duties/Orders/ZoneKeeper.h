#pragma once

#include "Duties/Configuration/ConfigurationStore.h"
#include "Duties/Leases/HeldLease.h"
#include "Duties/Membership/ServerDirectory.h"
#include "Duties/Orders/OrderChannel.h"
#include "Duties/Orders/Scale.h"

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace lavender::orders {

struct zone_autoscaler_options
{
  platform::client mPlatform;
  leases::lease_source mLeases;
  /** Called at Stop with the name of each lease that must expire instead of
   * being released, because an order sent under it may still be in transit. */
  std::function<void(const std::string&)> mLetExpire;
  /** Longest time in transit: a sent order has arrived or is lost after this.
   */
  milliseconds mMaximumTransitTime{ 3000 };
  /** Scaling policy; mMinimum and mMaximum are replaced by those of each pool.
   */
  scale_policy mPolicy;
  milliseconds mCheckInterval{ 300 };
  /** A stop whose server takes longer to drain is logged and deferred further,
   * since a planned stop must not abort requests. */
  milliseconds mDrainDeadline{ 60000 };
  metrics::registry* mMetrics = nullptr;
};

/** Starts and stops backend servers, from a background thread, in the zones
 * whose lease this process holds. */
class zone_autoscaler
{
public:
  zone_autoscaler(zone_autoscaler_options aOptions,
                  configuration::configuration_store& aConfiguration,
                  membership::server_directory& aDirectory);
  ~zone_autoscaler();
  zone_autoscaler(const zone_autoscaler&) = delete;
  zone_autoscaler& operator=(const zone_autoscaler&) = delete;

  void Start();
  void Stop();

private:
  struct zone
  {
    explicit zone(order_channel aChannel)
      : mChannel(std::move(aChannel))
    {
    }
    order_channel mChannel;
    /** By pool. */
    std::map<std::string, scale_state> mScaleStates;
    std::int64_t mFencing = 0;
    /** When the draining server was first seen without requests. */
    std::optional<time_point> mEmptySince;
    std::optional<time_point> mDrainingSince;
    /** Since when the directory hasn't held the draining server. */
    std::optional<time_point> mMissingSince;
    bool mIsDeferralLogged = false;
  };

  void Run();
  void UpdateZones();
  void UpdateZone(zone& aZone,
                  const std::string& aName,
                  const leases::held_lease& aLease);
  void ContinueOrder(zone& aZone, const leases::held_lease& aLease);
  /** Discards the stop of a server that has ended by itself. Nothing was sent
   * for it. */
  void GiveUpStop(zone& aZone, const leases::held_lease& aLease);
  void BeginOrderIfNeeded(zone& aZone,
                          const std::string& aName,
                          const leases::held_lease& aLease);
  bool IsDrained(zone& aZone, const leases::held_lease& aLease);
  std::vector<server_load> CollectLoads(const std::string& aZone,
                                        const std::string& aPool) const;

  const zone_autoscaler_options mOptions;
  configuration::configuration_store& mConfiguration;
  membership::server_directory& mDirectory;
  std::mutex mMutex;
  std::condition_variable mStopped;
  bool mIsStopping = false;
  std::map<std::string, zone> mZones;
  std::thread mThread;
};

} // namespace lavender::orders
