#include "Duties/Configuration/PeerExchange.h"
#include "Duties/Configuration/ResourceApi.h"
#include "Duties/Configuration/StatusDuty.h"
#include "Duties/Keys/KeyGate.h"
#include "Duties/Leases/LeaseKeeper.h"
#include "Duties/Orders/ZoneKeeper.h"
#include "Duties/Reports/Remainder.h"
#include "Duties/Reports/UsageReporter.h"
#include "Duties/Weights/RollOutDuty.h"
#include "Libraries/Core/Identity.h"
#include "Libraries/Core/Log.h"
#include "Libraries/Core/TerminationSignal.h"
#include "Libraries/Http/Server.h"
#include "Libraries/Wire/SecuritySettings.h"
#include "Libraries/Wire/WireServer.h"
#include "Services/Entry/CallerApi.h"
#include "Services/Entry/EntryHandler.h"
#include "Services/Entry/EntrySettings.h"

#include <iostream>

using namespace lavender;
using namespace std::chrono_literals;

namespace {

http::server_options
ListenerFor(const settings::values& aValues,
            const char* aFlag,
            unsigned aThreads)
{
  const auto listen = http::ParseEndpoint(aValues.Text(aFlag));
  http::server_options options;
  options.mAddress = listen->mAddress;
  options.mPort = listen->mPort;
  options.mMaximumThreads = aThreads;
  options.mMaximumBodyBytes =
    static_cast<std::size_t>(aValues.Integer("maximum-body"));
  return options;
}

/** What peers and agents together tell of the configuration. */
keys::witness_summary
Summarize(const configuration::peer_report& aPeers,
          const membership::witness_report& aAgents)
{
  keys::witness_summary summary;
  if (aAgents.mKnown) {
    summary.mKnown = *aAgents.mKnown + aPeers.mKnown;
  }
  summary.mAsked = aAgents.mAsked + aPeers.mAsked;
  summary.mAudible = aAgents.mAudible + aPeers.mAudible;
  summary.mHighestChanged =
    std::max(aAgents.mHighestChanged, aPeers.mHighestChanged);
  summary.mLatestProof = std::max(aAgents.mLatestProof, aPeers.mLatestProof);
  return summary;
}

/** What the status of resources is made from. */
configuration::status_facts
GatherFacts(const configuration::peer_report& aPeers,
            const std::vector<membership::server_view>& aServers)
{
  configuration::status_facts facts;
  facts.mEverywhere = aPeers.mLowestKnown;
  facts.mEntries = static_cast<std::int64_t>(aPeers.mKnown) + 1;
  const auto now = boot_clock::now();
  for (const auto& server : aServers) {
    auto& pool = facts.mPools[server.mInstance.mPool];
    const auto state = membership::StateOf(server, {}, now);
    ++pool.mServers[membership::WordFor(state)];
    if (state == membership::server_state::Live) {
      ++pool.mHolding[server.mWeightVersion];
    }
  }
  return facts;
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
    return GatherFacts(aPeers.Report(), aDirectory.Servers());
  };
  return options;
}

/** Sets the gauges whose values are only known when somebody reads them. */
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
                    static_cast<double>(digest.mKnownUpTo));
  aMetrics.SetGauge("lavender_configuration_changed_revision",
                    {},
                    static_cast<double>(digest.mChanged));
  aMetrics.SetGauge(
    "lavender_configuration_proof_age_seconds",
    {},
    std::chrono::duration<double>(aConfiguration.FreshAge()).count());
  aMetrics.SetGauge(
    "lavender_peers", { { "state", "known" } }, double(peers.mKnown));
  aMetrics.SetGauge(
    "lavender_peers", { { "state", "audible" } }, double(peers.mAudible));
  aDirectory.WriteGauges(aMetrics);
}

http::router
MakeHealthRoutes(const std::function<std::string()>& aMetricsText,
                 keys::key_gate& aKeyGate,
                 const std::atomic<bool>& aIsDraining)
{
  http::router routes;
  routes.Add("GET", "/healthz", [](const auto&, const auto&) {
    return http::response{ 200, "text/plain", {}, "ok\n" };
  });
  routes.Add("GET", "/readyz", [&](const auto&, const auto&) {
    const auto freshness = aKeyGate.Check();
    if (aIsDraining || !keys::IsFreshEnough(freshness)) {
      return http::response{ 503,
                             "text/plain",
                             {},
                             std::string("not ready ") +
                               keys::WordFor(freshness) + "\n" };
    }
    return http::response{ 200, "text/plain", {}, "ready\n" };
  });
  routes.Add("GET", "/metrics", [aMetricsText](const auto&, const auto&) {
    return http::response{ 200, "text/plain", {}, aMetricsText() };
  });
  return routes;
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

/** What each pool with a training run is to hold: the accepted version. */
std::vector<weights::pool_target>
FindTargets(const configuration::configuration_store& aConfiguration)
{
  const auto current = aConfiguration.Current();
  std::map<std::string, weights::pool_target> targets;
  for (const auto& [name, run] : current->mRuns) {
    if (run.mAcceptedVersion > 0) {
      // Of several runs on one pool the first by name decides the model.
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

/** Goes on serving while the balancer learns that this instance leaves, then
 * waits for the requests under way. */
void
Drain(const entry::caller_api& aCallers,
      termination_signal& aTermination,
      milliseconds aDeadline)
{
  constexpr milliseconds kAnnounceFor = 500ms;
  const auto start = boot_clock::now();
  while (aCallers.RequestsLeft() > 0 ||
         boot_clock::now() - start < kAnnounceFor) {
    if (boot_clock::now() - start > aDeadline || aTermination.WaitFor(50ms)) {
      Log(log_level::Warning,
          "entry",
          "Drain cut short requests_left=" +
            std::to_string(aCallers.RequestsLeft()));
      return;
    }
  }
}

/** The keeper prefers the entries of the directory's list. */
leases::keeper_options
KeeperOptions(const settings::values& aValues,
              const platform::client& aPlatform,
              const std::string& aIncarnation,
              const membership::server_directory& aDirectory,
              metrics::registry& aMetrics)
{
  leases::keeper_options options;
  options.mPlatform = aPlatform;
  options.mName = aValues.Text("name");
  options.mIncarnation = aIncarnation;
  options.mSettings.mDuration = aValues.Milliseconds("lease-duration");
  options.mSettings.mHandicap = options.mSettings.mDuration / 6;
  options.mSettings.mLateBytes = aValues.Milliseconds("lease-late-bytes");
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
                leases::lease_keeper& aLeases,
                metrics::registry& aMetrics)
{
  reports::reporter_options options;
  options.mPlatform = aPlatform;
  options.mLeases = aLeases.Source();
  options.mLetExpire = [&aLeases](const std::string& aName) {
    aLeases.LetExpire(aName);
  };
  options.mLateBytes = aValues.Milliseconds("lease-late-bytes");
  options.mEntryName = aValues.Text("name");
  options.mWindow = std::chrono::seconds(aValues.Integer("usage-window"));
  options.mMetrics = &aMetrics;
  return options;
}

int
Run(const settings::values& aValues, termination_signal& aTermination)
{
  const std::string incarnation = MakeRandomName();
  metrics::registry metrics;
  platform::client platformClient;
  platformClient.mEndpoint = *http::ParseEndpoint(aValues.Text("platform"));
  platformClient.mCaller = aValues.Text("name");
  platformClient.mMetrics = &metrics;
  platformClient.mBudget = std::make_shared<platform::call_budget>(
    static_cast<double>(aValues.Integer("platform-reads")),
    static_cast<double>(aValues.Integer("platform-writes")));

  configuration::configuration_store configuration(
    { platformClient, aValues.Text("data-folder") });
  membership::directory_options directoryOptions;
  directoryOptions.mPlatform = platformClient;
  directoryOptions.mEntryIncarnation = incarnation;
  directoryOptions.mPollEvery = aValues.Milliseconds("load-poll");
  directoryOptions.mDigest = [&] {
    return membership::own_digest{ configuration.Digest().mChanged,
                                   configuration.FreshAge() };
  };
  directoryOptions.mDataFolder = aValues.Text("data-folder");
  directoryOptions.mMetrics = &metrics;
  membership::server_directory directory(directoryOptions);
  configuration::peer_options peerOptions;
  peerOptions.mOwnName = aValues.Text("name");
  peerOptions.mOwnIncarnation = incarnation;
  peerOptions.mEntries = [&] { return directory.Entries(); };
  peerOptions.mMetrics = &metrics;
  configuration::peer_exchange peers(peerOptions, configuration);
  configuration::status_duty statusDuty(
    StatusOptions(aValues, platformClient, peers, directory), configuration);
  keys::key_gate_options gateOptions;
  gateOptions.mOwn = [&] {
    const auto digest = configuration.Digest();
    return keys::own_freshness{ digest.mKnownUpTo, digest.mProvenAt };
  };
  gateOptions.mWitnesses = [&] {
    return Summarize(peers.Report(), directory.Witnesses());
  };
  gateOptions.mMetrics = &metrics;
  keys::key_gate keyGate(gateOptions);
  leases::lease_keeper leaseKeeper(
    KeeperOptions(aValues, platformClient, incarnation, directory, metrics));
  orders::zone_keeper_options zoneOptions;
  zoneOptions.mPlatform = platformClient;
  zoneOptions.mLeases = leaseKeeper.Source();
  zoneOptions.mLetExpire = [&leaseKeeper](const std::string& aName) {
    leaseKeeper.LetExpire(aName);
  };
  zoneOptions.mLateBytes = aValues.Milliseconds("lease-late-bytes");
  zoneOptions.mPolicy.mStartTime = aValues.Milliseconds("server-start-time");
  zoneOptions.mPolicy.mIdleFor = aValues.Milliseconds("server-idle-time");
  zoneOptions.mLookEvery =
    std::min(zoneOptions.mLookEvery, zoneOptions.mPolicy.mStartTime);
  zoneOptions.mMetrics = &metrics;
  orders::zone_keeper zoneKeeper(zoneOptions, configuration, directory);
  dispatch::entry_dispatch_options dispatchOptions;
  dispatchOptions.mEntryIncarnation = incarnation;
  dispatchOptions.mOwnZone = aValues.Text("zone");
  dispatchOptions.mRouting = RoutingLimits(aValues);
  dispatch::entry_dispatch dispatcher(dispatchOptions, directory, metrics);
  usage::usage_account account;
  reports::usage_reporter usageReporter(
    ReporterOptions(aValues, platformClient, leaseKeeper, metrics),
    directory,
    account);
  samples::sample_duty_options sampleOptions;
  sampleOptions.mPlatform = platformClient;
  sampleOptions.mSideBySide =
    static_cast<int>(aValues.Integer("samples-side-by-side"));
  sampleOptions.mTakeOverAfter = aValues.Milliseconds("batch-take-over");
  samples::sample_duty sampleDuty(
    sampleOptions,
    [&](const dispatch::call& aCall) { return dispatcher.Run(aCall); },
    [&](const std::string& aRun) { return FindRun(configuration, aRun); },
    [&](const dispatch::call& aCall, const dispatch::call_outcome& aOutcome) {
      account.Count(aOutcome.mServerIncarnation,
                    incarnation,
                    aCall.mCustomer,
                    aOutcome.mResult.usage_window,
                    aOutcome.mResult.prompt_tokens,
                    aOutcome.mResult.completion_tokens);
    },
    metrics);
  weights::roll_out_options rollOutOptions;
  rollOutOptions.mHolder = aValues.Text("name");
  rollOutOptions.mLimits.mSideBySide =
    static_cast<std::size_t>(aValues.Integer("swaps-side-by-side"));
  weights::roll_out_duty rollOut(
    rollOutOptions,
    directory,
    [&] { return FindTargets(configuration); },
    leaseKeeper.Source(),
    [&](const weights::roll_out_progress& aProgress) {
      const metrics::labels pool{ { "pool", aProgress.mTarget.mPool } };
      metrics.SetGauge("lavender_weights_servers_holding",
                       pool,
                       static_cast<double>(aProgress.mHolding));
      metrics.SetGauge("lavender_weights_servers",
                       pool,
                       static_cast<double>(aProgress.mServers));
    },
    metrics);
  entry::caller_api_options callerOptions;
  callerOptions.mEntryIncarnation = incarnation;
  callerOptions.mMaximumRequests = aValues.Integer("maximum-requests");
  callerOptions.mDefaultDeadline = aValues.Milliseconds("default-deadline");
  callerOptions.mPlatform = platformClient;
  callerOptions.mKeyGate = &keyGate;
  callerOptions.mCallRecordKeep =
    std::chrono::seconds(aValues.Integer("call-record-keep"));
  entry::caller_api callers(callerOptions,
                            configuration,
                            directory,
                            dispatcher,
                            sampleDuty,
                            account,
                            metrics);

  configuration.Start();
  directory.Start();
  zoneKeeper.Start();
  usageReporter.Start();
  peers.Start();
  statusDuty.Start();
  sampleDuty.Start();
  rollOut.Start();
  std::atomic<bool> isDraining{ false };
  const auto healthRoutes = MakeHealthRoutes(
    [&] {
      WriteGauges(metrics, configuration, peers, directory);
      return metrics.Write();
    },
    keyGate,
    isDraining);
  http::router operatorRoutes;
  configuration::AddResourceRoutes(
    operatorRoutes, configuration, platformClient);

  // Threads beyond the admitted requests answer refusals while it is full.
  const auto callerThreads =
    static_cast<unsigned>(aValues.Integer("maximum-requests")) + 64;
  http::server callerServer(
    ListenerFor(aValues, "caller-listen", callerThreads),
    [&](const http::request& aRequest) { return callers.Serve(aRequest); });
  http::server operatorServer(
    ListenerFor(aValues, "operator-listen", 64),
    [&](const http::request& aRequest) {
      return configuration::ServeOperators(
        operatorRoutes, aValues.Text("operator-key-hash"), aRequest);
    });
  http::server healthServer(ListenerFor(aValues, "health-listen", 16),
                            [&](const http::request& aRequest) {
                              return http::Serve(healthRoutes, aRequest);
                            });
  const auto wireListen = http::ParseEndpoint(aValues.Text("wire-listen"));
  wire::wire_server wireServer(
    wireListen->mAddress,
    wireListen->mPort,
    std::make_shared<wire::entry_serviceProcessor>(
      std::make_shared<entry::entry_handler>(
        entry::entry_identity{ aValues.Text("name"), incarnation },
        configuration,
        account)));
  std::cout << "ready callers=" << callerServer.Port()
            << " operators=" << operatorServer.Port()
            << " health=" << healthServer.Port()
            << " wire=" << wireServer.Port() << std::endl;
  Log(log_level::Info, "entry", "Serving incarnation=" + incarnation);

  while (!aTermination.WaitFor(1s)) {
  }
  isDraining = true;
  callerServer.AskClientsToClose();
  Drain(callers, aTermination, aValues.Milliseconds("drain-deadline"));
  callerServer.Stop();
  sampleDuty.Stop();
  rollOut.Stop();
  operatorServer.Stop();
  wireServer.Stop();
  zoneKeeper.Stop();
  usageReporter.Stop();
  reports::WriteRemainder(platformClient,
                          incarnation,
                          account,
                          boot_clock::now() +
                            aValues.Milliseconds("drain-deadline") / 4);
  statusDuty.Stop();
  peers.Stop();
  leaseKeeper.Stop();
  directory.Stop();
  configuration.Stop();
  healthServer.Stop();
  Log(log_level::Info, "entry", "Stopped");
  return 0;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  termination_signal termination;
  auto reading = settings::Read(
    "lavender-entry", entry::DeclareSettings(), aCount, aArguments);
  wire::CheckSecurity(reading.mValues, reading.mFindings);
  entry::CheckSettings(reading.mValues, reading.mFindings);
  if (!reading.mFindings.IsEmpty()) {
    settings::Report(reading.mFindings);
    return settings::kBadSettingsStatus;
  }
  if (reading.mIsCheckOnly) {
    return 0;
  }
  StartLog(ParseLogLevel(reading.mValues.Text("log-level")));
  try {
    wire::UseSecurity(wire::ReadSecurity(reading.mValues));
    return Run(reading.mValues, termination);
  } catch (const std::exception& error) {
    Log(log_level::Error, "entry", std::string("Can't go on: ") + error.what());
    return 1;
  }
}
