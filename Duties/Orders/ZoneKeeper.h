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
  /** Told of leases that must not be released at the end, since an order under
   * them may still be on its way. */
  std::function<void(const std::string&)> mLetExpire;
  /** Within this a sent order has arrived or is lost. */
  milliseconds mMaximumTransitTime{ 3000 };
  /** Bounds come from each pool; the rest from here. */
  scale_policy mPolicy;
  milliseconds mCheckInterval{ 300 };
  /** A stop whose drain lasts longer is told in the log; it is deferred on,
   * since a planned stop cuts no request. */
  milliseconds mDrainDeadline{ 60000 };
  metrics::registry* mMetrics = nullptr;
};

/** Starts and stops backend servers in the zones whose lease this process
 * holds, with a thread of its own. */
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
    std::map<std::string, scale_state> mScale;
    std::int64_t mFencing = 0;
    /** When the draining server was first seen empty. */
    std::optional<time_point> mEmptySince;
    std::optional<time_point> mDrainingSince;
    bool mIsStuckTold = false;
  };

  void Run();
  void LookAtAll();
  void LookAt(zone& aZone,
              const std::string& aName,
              const leases::held_lease& aLease);
  void GoOn(zone& aZone, const leases::held_lease& aLease);
  void Decide(zone& aZone,
              const std::string& aName,
              const leases::held_lease& aLease);
  bool IsDrained(zone& aZone, const leases::held_lease& aLease);
  std::vector<server_load> Loads(const std::string& aZone,
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
