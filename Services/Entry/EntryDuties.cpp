#include "Services/Entry/EntryDuties.h"
#include "Libraries/Core/Log.h"

#include "Duties/Reports/Remainder.h"
#include "Libraries/Core/Identity.h"

#include <algorithm>

namespace lavender::entry {
namespace {

/** Combines what peers and agents report about the configuration's
 * freshness. */
keys::remote_freshness
CombineFreshness(const configuration::peer_report& aPeers,
                 const membership::agent_freshness& aAgents)
{
  keys::remote_freshness summary;
  if (aAgents.mKnown) {
    summary.mKnown = *aAgents.mKnown + aPeers.mKnown;
  }
  summary.mPolled = aAgents.mPolled + aPeers.mPolled;
  summary.mReachableSince = aAgents.mReachableSince;
  summary.mReachableSince.insert(summary.mReachableSince.end(),
                                 aPeers.mReachableSince.begin(),
                                 aPeers.mReachableSince.end());
  summary.mHighestChangedRevision =
    std::max(aAgents.mHighestChangedRevision, aPeers.mHighestChangedRevision);
  summary.mLatestVerifiedAt =
    std::max(aAgents.mLatestVerifiedAt, aPeers.mLatestVerifiedAt);
  return summary;
}

/** Collects the inputs from which the status of resources is computed. */
configuration::status_inputs
CollectStatusInputs(const configuration::peer_report& aPeers,
                    const std::vector<membership::server_view>& aServers)
{
  configuration::status_inputs inputs;
  inputs.mRevisionOnAllEntries = aPeers.mLowestKnownRevision;
  inputs.mEntries = static_cast<std::int64_t>(aPeers.mKnown) + 1;
  const auto now = boot_clock::now();
  for (const auto& server : aServers) {
    auto& pool = inputs.mPools[server.mInstance.mPool];
    const auto state = membership::StateOf(server, {}, now);
    ++pool.mServers[membership::ToString(state)];
    if (state == membership::server_state::Live) {
      ++pool.mHolding[server.mWeightVersion];
    }
  }
  return inputs;
}

configuration::status_options
StatusOptions(const settings::values& aValues,
              const platform::client& aPlatform,
              const configuration::peer_exchange& aPeers,
              const membership::server_directory& aDirectory)
{
  configuration::status_options options;
  options.mPlatform = aPlatform;
  options.mOwnName = aValues.Text("name");
  options.mEntries = [&, name = options.mOwnName] {
    auto entries = aPeers.Report().mNames;
    entries.push_back(name);
    return entries;
  };
  options.mFacts = [&] {
    return CollectStatusInputs(aPeers.Report(), aDirectory.Servers());
  };
  return options;
}

/** Sets the gauges that are computed on each read of the metrics. */
void
WriteGauges(metrics::registry& aMetrics,
            const configuration::configuration_store& aConfiguration,
            const configuration::peer_exchange& aPeers,
            const membership::server_directory& aDirectory)
{
  const auto digest = aConfiguration.Digest();
  const auto peers = aPeers.Report();
  aMetrics.SetGauge("lavender_configuration_revision",
                    {},
                    static_cast<double>(digest.mKnownRevision));
  aMetrics.SetGauge("lavender_configuration_changed_revision",
                    {},
                    static_cast<double>(digest.mChangedRevision));
  aMetrics.SetGauge(
    "lavender_configuration_proof_age_seconds",
    {},
    std::chrono::duration<double>(aConfiguration.VerificationAge()).count());
  aMetrics.SetGauge(
    "lavender_peers", { { "state", "known" } }, double(peers.mKnown));
  aMetrics.SetGauge(
    "lavender_peers", { { "state", "audible" } }, double(peers.mReachable));
  aDirectory.WriteGauges(aMetrics);
}

routing::table_limits
RoutingLimits(const settings::values& aValues)
{
  routing::table_limits limits;
  const auto& policy = aValues.Text("routing-policy");
  if (policy == "random") {
    limits.mPolicy = routing::routing_policy::Random;
  } else if (policy == "round-robin") {
    limits.mPolicy = routing::routing_policy::RoundRobin;
  }
  return limits;
}

/** Target of each pool with a training run: the run's accepted version. */
std::vector<weights::pool_target>
FindTargets(const configuration::configuration_store& aConfiguration)
{
  const auto current = aConfiguration.Current();
  std::map<std::string, weights::pool_target> targets;
  for (const auto& [name, run] : current->mRuns) {
    if (run.mAcceptedVersion > 0) {
      // If several runs share a pool, the first run by name determines the
      // model.
      targets.try_emplace(run.mPool,
                          weights::pool_target{
                            run.mPool, { run.mModel, run.mAcceptedVersion } });
    }
  }
  std::vector<weights::pool_target> listed;
  for (const auto& [pool, target] : targets) {
    listed.push_back(target);
  }
  return listed;
}

std::optional<configuration::training_run>
FindRun(const configuration::configuration_store& aConfiguration,
        const std::string& aRun)
{
  const auto current = aConfiguration.Current();
  const auto found = current->mRuns.find(aRun);
  return found == current->mRuns.end() ? std::nullopt
                                       : std::optional(found->second);
}

/** Options of the lease manager, which ranks the entries in the directory that
 * are not leaving. */
leases::lease_manager_options
LeaseOptions(const settings::values& aValues,
             const platform::client& aPlatform,
             const std::string& aIncarnation,
             const membership::server_directory& aDirectory,
             metrics::registry& aMetrics)
{
  leases::lease_manager_options options;
  options.mPlatform = aPlatform;
  options.mName = aValues.Text("name");
  options.mIncarnation = aIncarnation;
  options.mSettings.mDuration = aValues.Milliseconds("lease-duration");
  options.mSettings.mDelayPerRank = options.mSettings.mDuration / 6;
  options.mSettings.mMaximumTransitTime =
    aValues.Milliseconds("lease-late-bytes");
  options.mMetrics = &aMetrics;
  options.mEntries = [&aDirectory] {
    std::vector<std::string> names;
    for (const auto& entry : aDirectory.Entries()) {
      if (!entry.mIsLeaving) {
        names.push_back(entry.mName);
      }
    }
    return names;
  };
  return options;
}

reports::reporter_options
ReporterOptions(const settings::values& aValues,
                const platform::client& aPlatform,
                leases::lease_manager& aLeases,
                metrics::registry& aMetrics)
{
  reports::reporter_options options;
  options.mPlatform = aPlatform;
  options.mLeases = aLeases.Source();
  options.mLetExpire = [&aLeases](const std::string& aName) {
    aLeases.LetExpire(aName);
  };
  options.mMaximumTransitTime = aValues.Milliseconds("lease-late-bytes");
  options.mEntryName = aValues.Text("name");
  options.mWindow = std::chrono::seconds(aValues.Integer("usage-window"));
  options.mMetrics = &aMetrics;
  return options;
}

platform::client
PlatformClient(const settings::values& aValues, metrics::registry& aMetrics)
{
  platform::client client;
  client.mEndpoint = *http::ParseEndpoint(aValues.Text("platform"));
  client.mCaller = aValues.Text("name");
  client.mMetrics = &aMetrics;
  client.mBudget = std::make_shared<platform::call_budget>(
    static_cast<double>(aValues.Integer("platform-reads")),
    static_cast<double>(aValues.Integer("platform-writes")));
  return client;
}

membership::directory_options
DirectoryOptions(const settings::values& aValues,
                 const platform::client& aPlatform,
                 const std::string& aIncarnation,
                 const configuration::configuration_store& aConfiguration,
                 metrics::registry& aMetrics)
{
  membership::directory_options options;
  options.mPlatform = aPlatform;
  options.mEntryIncarnation = aIncarnation;
  options.mPollInterval = aValues.Milliseconds("load-poll");
  options.mDigest = [&aConfiguration] {
    return membership::configuration_digest{
      aConfiguration.Digest().mChangedRevision, aConfiguration.VerificationAge()
    };
  };
  options.mDataFolder = aValues.Text("data-folder");
  options.mMetrics = &aMetrics;
  return options;
}

configuration::peer_options
PeerOptions(const settings::values& aValues,
            const std::string& aIncarnation,
            const membership::server_directory& aDirectory,
            metrics::registry& aMetrics)
{
  configuration::peer_options options;
  options.mOwnName = aValues.Text("name");
  options.mOwnIncarnation = aIncarnation;
  options.mEntries = [&aDirectory] { return aDirectory.Entries(); };
  options.mMetrics = &aMetrics;
  return options;
}

keys::key_gate_options
GateOptions(const configuration::configuration_store& aConfiguration,
            const configuration::peer_exchange& aPeers,
            const membership::server_directory& aDirectory,
            metrics::registry& aMetrics)
{
  keys::key_gate_options options;
  options.mLocal = [&aConfiguration] {
    const auto digest = aConfiguration.Digest();
    return keys::local_freshness{ digest.mKnownRevision, digest.mVerifiedAt };
  };
  options.mRemote = [&aPeers, &aDirectory] {
    return CombineFreshness(aPeers.Report(), aDirectory.AgentFreshness());
  };
  options.mMetrics = &aMetrics;
  return options;
}

orders::zone_autoscaler_options
AutoscalerOptions(const settings::values& aValues,
                  const platform::client& aPlatform,
                  leases::lease_manager& aLeases,
                  metrics::registry& aMetrics)
{
  orders::zone_autoscaler_options options;
  options.mPlatform = aPlatform;
  options.mLeases = aLeases.Source();
  options.mLetExpire = [&aLeases](const std::string& aName) {
    aLeases.LetExpire(aName);
  };
  options.mMaximumTransitTime = aValues.Milliseconds("lease-late-bytes");
  options.mPolicy.mStartupDuration = aValues.Milliseconds("server-start-time");
  options.mPolicy.mScaleDownDelay = aValues.Milliseconds("server-idle-time");
  options.mCheckInterval =
    std::min(options.mCheckInterval, options.mPolicy.mStartupDuration);
  options.mMetrics = &aMetrics;
  return options;
}

dispatch::entry_dispatch_options
DispatchOptions(const settings::values& aValues,
                const std::string& aIncarnation,
                usage::usage_account& aAccount)
{
  dispatch::entry_dispatch_options options;
  options.mEntryIncarnation = aIncarnation;
  options.mLocalZone = aValues.Text("zone");
  options.mRouting = RoutingLimits(aValues);
  options.mOnSuperseded = [&aAccount](const dispatch::attempt_ticket& aTicket) {
    wire::superseded_run run;
    run.agent_incarnation = aTicket.mIncarnation;
    run.request_id = aTicket.mId;
    aAccount.RecordSuperseded(run);
    Log(log_level::Info,
        "usage",
        "Request was repeated on another server, superseded run is not "
        "billed run=" +
          aTicket.mId + " server=" + aTicket.mServerName);
  };
  return options;
}

samples::sample_duty_options
SampleOptions(const settings::values& aValues,
              const platform::client& aPlatform)
{
  samples::sample_duty_options options;
  options.mPlatform = aPlatform;
  options.mMaximumConcurrency =
    static_cast<int>(aValues.Integer("samples-side-by-side"));
  options.mTakeOverAfter = aValues.Milliseconds("batch-take-over");
  return options;
}

weights::roll_out_options
RollOutOptions(const settings::values& aValues)
{
  weights::roll_out_options options;
  options.mHolder = aValues.Text("name");
  options.mLimits.mMaximumConcurrency =
    static_cast<std::size_t>(aValues.Integer("swaps-side-by-side"));
  return options;
}

caller_api_options
CallerOptions(const settings::values& aValues,
              const platform::client& aPlatform,
              const std::string& aIncarnation,
              keys::key_gate& aKeyGate)
{
  caller_api_options options;
  options.mEntryIncarnation = aIncarnation;
  options.mMaximumRequests = aValues.Integer("maximum-requests");
  options.mDefaultDeadline = aValues.Milliseconds("default-deadline");
  options.mPlatform = aPlatform;
  options.mKeyGate = &aKeyGate;
  options.mCallRecordRetention =
    std::chrono::seconds(aValues.Integer("call-record-keep"));
  return options;
}

void
SetRollOutGauges(metrics::registry& aMetrics,
                 const weights::roll_out_progress& aProgress)
{
  const metrics::labels pool{ { "pool", aProgress.mTarget.mPool } };
  aMetrics.SetGauge("lavender_weights_servers_holding",
                    pool,
                    static_cast<double>(aProgress.mHolding));
  aMetrics.SetGauge(
    "lavender_weights_servers", pool, static_cast<double>(aProgress.mServers));
}

} // namespace

entry_duties::entry_duties(const settings::values& aValues)
  : mIncarnation(MakeRandomName())
  , mUsageWriteTimeout(aValues.Milliseconds("drain-deadline") / 4)
  , mPlatform(PlatformClient(aValues, mMetrics))
  , mConfiguration({ mPlatform, aValues.Text("data-folder") })
  , mDirectory(DirectoryOptions(aValues,
                                mPlatform,
                                mIncarnation,
                                mConfiguration,
                                mMetrics))
  , mPeers(PeerOptions(aValues, mIncarnation, mDirectory, mMetrics),
           mConfiguration)
  , mStatus(StatusOptions(aValues, mPlatform, mPeers, mDirectory),
            mConfiguration)
  , mKeyGate(GateOptions(mConfiguration, mPeers, mDirectory, mMetrics))
  , mLeases(
      LeaseOptions(aValues, mPlatform, mIncarnation, mDirectory, mMetrics))
  , mAutoscaler(AutoscalerOptions(aValues, mPlatform, mLeases, mMetrics),
                mConfiguration,
                mDirectory)
  , mDispatch(DispatchOptions(aValues, mIncarnation, mAccount),
              mDirectory,
              mMetrics)
  , mReporter(ReporterOptions(aValues, mPlatform, mLeases, mMetrics),
              mDirectory,
              mAccount)
  , mSamples(
      SampleOptions(aValues, mPlatform),
      [this](const dispatch::call& aCall) { return mDispatch.Run(aCall); },
      [this](const std::string& aRun) { return FindRun(mConfiguration, aRun); },
      [this](const dispatch::call& aCall,
             const dispatch::call_outcome& aOutcome) {
        mAccount.Count(aOutcome.mServerIncarnation,
                       mIncarnation,
                       aCall.mCustomer,
                       aOutcome.mResult.usage_window,
                       aOutcome.mResult.prompt_tokens,
                       aOutcome.mResult.completion_tokens);
      },
      mMetrics)
  , mRollOut(
      RollOutOptions(aValues),
      mDirectory,
      [this] { return FindTargets(mConfiguration); },
      mLeases.Source(),
      [this](const weights::roll_out_progress& aProgress) {
        SetRollOutGauges(mMetrics, aProgress);
      },
      mMetrics)
  , mCallers(CallerOptions(aValues, mPlatform, mIncarnation, mKeyGate),
             mConfiguration,
             mDirectory,
             mDispatch,
             mSamples,
             mAccount,
             mMetrics)
{
}

void
entry_duties::Start()
{
  mConfiguration.Start();
  mDirectory.Start();
  mAutoscaler.Start();
  mReporter.Start();
  mPeers.Start();
  mStatus.Start();
  mSamples.Start();
  mRollOut.Start();
}

void
entry_duties::StopSamplesAndWeights()
{
  mSamples.Stop();
  mRollOut.Stop();
}

void
entry_duties::Stop()
{
  mAutoscaler.Stop();
  mReporter.Stop();
  reports::WriteRemainder(
    mPlatform, mIncarnation, mAccount, boot_clock::now() + mUsageWriteTimeout);
  mStatus.Stop();
  mPeers.Stop();
  mLeases.Stop();
  mDirectory.Stop();
  mConfiguration.Stop();
}

std::string
entry_duties::MetricsText()
{
  WriteGauges(mMetrics, mConfiguration, mPeers, mDirectory);
  return mMetrics.Write();
}

} // namespace lavender::entry
