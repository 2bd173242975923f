#pragma once

#include "Duties/Configuration/PeerExchange.h"
#include "Duties/Configuration/StatusDuty.h"
#include "Duties/Keys/KeyGate.h"
#include "Duties/Leases/LeaseKeeper.h"
#include "Duties/Orders/ZoneKeeper.h"
#include "Duties/Reports/UsageReporter.h"
#include "Duties/Weights/RollOutDuty.h"
#include "Libraries/Settings/Settings.h"
#include "Services/Entry/CallerApi.h"

#include <string>

namespace lavender::entry {

/** All duties of one entry, in the order in which they need each other. */
struct entry_duties
{
  explicit entry_duties(const settings::values& aValues);
  entry_duties(const entry_duties&) = delete;
  entry_duties& operator=(const entry_duties&) = delete;

  void Start();
  /** No new samples and weight orders; callers are answered before. */
  void StopSampling();
  /** Hands usage counts over, then stops all other duties. */
  void Stop();
  /** Prometheus text, with the gauges as they are now. */
  std::string MetricsText();

  const std::string mIncarnation;
  /** Longest time that writing the usage counts may take at the end. */
  const milliseconds mHandOverWithin;
  metrics::registry mMetrics;
  const platform::client mPlatform;
  configuration::configuration_store mConfiguration;
  membership::server_directory mDirectory;
  configuration::peer_exchange mPeers;
  configuration::status_duty mStatus;
  keys::key_gate mKeyGate;
  leases::lease_manager mLeases;
  orders::zone_autoscaler mZones;
  dispatch::entry_dispatch mDispatch;
  usage::usage_account mAccount;
  reports::usage_reporter mReporter;
  samples::sample_duty mSamples;
  weights::roll_out_duty mRollOut;
  caller_api mCallers;
};

} // namespace lavender::entry
