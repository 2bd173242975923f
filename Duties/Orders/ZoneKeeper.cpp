#include "Duties/Orders/ZoneKeeper.h"

#include "Libraries/Core/HasLasted.h"
#include "Libraries/Core/Identity.h"
#include "Libraries/Core/Log.h"

#include <algorithm>
#include <set>

namespace lavender::orders {
namespace {

using namespace std::chrono_literals;

/** An older load report is ignored. */
constexpr milliseconds kMaximumReportAge = 5000ms;
constexpr milliseconds kDrainTimeout = 1000ms;
/** A draining server that the directory hasn't held for this time is gone. At
 * its start a process needs a moment to fill its directory. */
constexpr milliseconds kMissingTime = 5000ms;
/** Time for entries to fetch the last responses of a drained server. */
constexpr milliseconds kResponseFetchTime = 2500ms;

} // namespace

zone_autoscaler::zone_autoscaler(
  zone_autoscaler_options aOptions,
  configuration::configuration_store& aConfiguration,
  membership::server_directory& aDirectory)
  : mOptions(std::move(aOptions))
  , mConfiguration(aConfiguration)
  , mDirectory(aDirectory)
{
}

zone_autoscaler::~zone_autoscaler()
{
  Stop();
}

void
zone_autoscaler::Start()
{
  mThread = std::thread([this] { Run(); });
}

void
zone_autoscaler::Stop()
{
  {
    std::lock_guard lock(mMutex);
    mIsStopping = true;
  }
  mStopped.notify_all();
  if (mThread.joinable()) {
    mThread.join();
  }
  for (const auto& [name, zone] : mZones) {
    const auto unanswered = zone.mChannel.UnansweredAt();
    if (mOptions.mLetExpire && unanswered &&
        boot_clock::now() - *unanswered < mOptions.mMaximumTransitTime) {
      mOptions.mLetExpire(LeaseName(name));
    }
  }
}

void
zone_autoscaler::Run()
{
  std::unique_lock lock(mMutex);
  while (!mIsStopping) {
    lock.unlock();
    UpdateZones();
    lock.lock();
    mStopped.wait_for(
      lock, mOptions.mCheckInterval, [this] { return mIsStopping; });
  }
}

void
zone_autoscaler::UpdateZones()
{
  const auto snapshot = mConfiguration.Current();
  const bool isScalingEnabled = std::any_of(
    snapshot->mPools.begin(), snapshot->mPools.end(), [](const auto& aPool) {
      return aPool.second.mMaximumPerZone > 0;
    });
  if (!isScalingEnabled) {
    return;
  }
  std::set<std::string> names;
  for (const auto& server : mDirectory.Servers()) {
    names.insert(server.mInstance.mAvailabilityZone);
  }
  for (const auto& entry : mDirectory.Entries()) {
    names.insert(entry.mAvailabilityZone);
  }
  for (const auto& name : names) {
    if (const auto lease = mOptions.mLeases(LeaseName(name))) {
      auto& zone =
        mZones.try_emplace(name, order_channel(name, mOptions.mPlatform))
          .first->second;
      UpdateZone(zone, name, *lease);
    }
  }
}

void
zone_autoscaler::UpdateZone(zone& aZone,
                            const std::string& aName,
                            const leases::held_lease& aLease)
{
  if (!aZone.mChannel.TakeOver(aLease)) {
    return;
  }
  if (aZone.mFencing != aLease.mFencing) {
    // A server started by the previous holder may not report yet, so each pool
    // waits as after a change, even one below its minimum.
    aZone.mFencing = aLease.mFencing;
    aZone.mScaleStates.clear();
    for (const auto& [pool, spec] : mConfiguration.Current()->mPools) {
      aZone.mScaleStates[pool].mChangedAt = boot_clock::now();
    }
    aZone.mEmptySince.reset();
    aZone.mDrainingSince.reset();
    aZone.mMissingSince.reset();
  }
  if (aZone.mChannel.Current().mStage == order_stage::Settled) {
    BeginOrderIfNeeded(aZone, aName, aLease);
  }
  if (aZone.mChannel.Current().mStage != order_stage::Settled) {
    ContinueOrder(aZone, aLease);
  }
}

void
zone_autoscaler::BeginOrderIfNeeded(zone& aZone,
                                    const std::string& aName,
                                    const leases::held_lease& aLease)
{
  for (const auto& [name, pool] : mConfiguration.Current()->mPools) {
    auto policy = mOptions.mPolicy;
    policy.mMinimum = pool.mMinimumPerZone;
    policy.mMaximum = pool.mMaximumPerZone;
    const auto decision = DecideScale(aZone.mScaleStates[name],
                                      policy,
                                      CollectLoads(aName, name),
                                      boot_clock::now());
    if (decision.mAction == scale_action::None) {
      continue;
    }
    const bool isStart = decision.mAction == scale_action::Start;
    order_record record;
    record.mId = MakeRandomName();
    record.mAction = isStart ? "start" : "stop";
    record.mPool = name;
    record.mServer = decision.mServer;
    record.mStage = isStart ? order_stage::Sent : order_stage::Draining;
    Log(log_level::Info,
        "orders",
        "Scaling decided action=" + record.mAction + " zone=" + aName +
          " pool=" + name + " server=" + record.mServer +
          " reason=" + decision.mReason);
    aZone.mChannel.Begin(std::move(record), aLease);
    return;
  }
}

void
zone_autoscaler::ContinueOrder(zone& aZone, const leases::held_lease& aLease)
{
  const auto& order = aZone.mChannel.Current();
  if (order.mStage == order_stage::Draining) {
    if (HasLasted(aZone.mMissingSince,
                  !mDirectory.Find(order.mServer),
                  kMissingTime,
                  boot_clock::now())) {
      GiveUpStop(aZone, aLease);
      return;
    }
    if (!IsDrained(aZone, aLease)) {
      return;
    }
  }
  aZone.mChannel.Send(aLease);
  aZone.mEmptySince.reset();
  aZone.mDrainingSince.reset();
  aZone.mIsDeferralLogged = false;
}

void
zone_autoscaler::GiveUpStop(zone& aZone, const leases::held_lease& aLease)
{
  Log(log_level::Info,
      "orders",
      "Stop given up, server is gone server=" +
        aZone.mChannel.Current().mServer);
  if (aZone.mChannel.Cancel(aLease)) {
    aZone.mMissingSince.reset();
    aZone.mEmptySince.reset();
    aZone.mDrainingSince.reset();
    aZone.mIsDeferralLogged = false;
  }
}

bool
zone_autoscaler::IsDrained(zone& aZone, const leases::held_lease& aLease)
{
  const auto& order = aZone.mChannel.Current();
  const auto server = mDirectory.Find(order.mServer);
  if (!server) {
    return false;
  }
  const auto now = boot_clock::now();
  if (!aZone.mDrainingSince) {
    aZone.mDrainingSince = now;
  }
  wire::drain_order message;
  message.echo = order.mId;
  message.fencing = aLease.mFencing;
  message.reason = "planned stop";
  const auto response = server->mConnections->Run<wire::drain_reply>(
    kDrainTimeout, order.mId, [&](auto& aClient, auto& aReply) {
      aClient.Drain(aReply, message);
    });
  const bool isEmpty = response.mState == wire::wire_state::Answered &&
                       response.mReply.draining &&
                       response.mReply.requests_left == 0;
  if (!isEmpty) {
    aZone.mEmptySince.reset();
    if (now - *aZone.mDrainingSince > mOptions.mDrainDeadline &&
        !aZone.mIsDeferralLogged) {
      aZone.mIsDeferralLogged = true;
      Log(log_level::Warning,
          "orders",
          "Stop deferred, server still draining server=" + order.mServer +
            " requests_left=" + std::to_string(response.mReply.requests_left));
      if (mOptions.mMetrics) {
        mOptions.mMetrics->Count("lavender_stops_deferred_total", {});
      }
    }
    return false;
  }
  if (!aZone.mEmptySince) {
    aZone.mEmptySince = now;
  }
  return now - *aZone.mEmptySince >= kResponseFetchTime;
}

std::vector<server_load>
zone_autoscaler::CollectLoads(const std::string& aZone,
                              const std::string& aPool) const
{
  const auto now = boot_clock::now();
  std::vector<server_load> loads;
  for (const auto& view : mDirectory.Servers()) {
    if (view.mInstance.mAvailabilityZone != aZone ||
        view.mInstance.mPool != aPool) {
      continue;
    }
    server_load load;
    load.mName = view.mInstance.mName;
    load.mQueued = view.mLoad.queued;
    load.mRunning = view.mLoad.running;
    load.mSlots = view.mLoad.slots;
    load.mQueueDelay =
      milliseconds(static_cast<std::int64_t>(view.mLoad.queue_delay_ms));
    load.mIsLeaving = view.mIsLeaving;
    load.mIsReporting = view.mIsServerReachable && view.mLastResponseAt &&
                        now - *view.mLastResponseAt < kMaximumReportAge;
    loads.push_back(std::move(load));
  }
  return loads;
}

} // namespace lavender::orders
