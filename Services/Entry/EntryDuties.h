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

/** All duties of one entry, declared in the order of their dependencies. */
struct entry_duties
{
  explicit entry_duties(const settings::values& aValues);
  entry_duties(const entry_duties&) = delete;
  entry_duties& operator=(const entry_duties&) = delete;

  void Start();
  /** Stops samples and weight orders. Call it after the last caller has got its
   * response. */
  void StopSamplesAndWeights();
  /** Stops the remaining duties and writes the usage counts that are not yet
   * reported to the platform. */
  void Stop();
  /** Metrics in the Prometheus text format, with current gauge values. */
  std::string MetricsText();

  const std::string mIncarnation;
  /** Maximum time for writing the remaining usage counts at shutdown. */
  const milliseconds mUsageWriteTimeout;
  metrics::registry mMetrics;
  const platform::client mPlatform;
  configuration::configuration_store mConfiguration;
  membership::server_directory mDirectory;
  configuration::peer_exchange mPeers;
  configuration::status_duty mStatus;
  keys::key_gate mKeyGate;
  leases::lease_manager mLeases;
  orders::zone_autoscaler mAutoscaler;
  dispatch::entry_dispatch mDispatch;
  usage::usage_account mAccount;
  reports::usage_reporter mReporter;
  samples::sample_duty mSamples;
  weights::roll_out_duty mRollOut;
  caller_api mCallers;
};

} // namespace lavender::entry
