#include "Duties/Configuration/ResourceApi.h"
#include "Duties/Leases/LeaseKeeper.h"
#include "Duties/Orders/ZoneKeeper.h"
#include "Duties/Reports/UsageReporter.h"
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
  options.mCertificateFile = aValues.Text("certificate");
  options.mPrivateKeyFile = aValues.Text("private-key");
  return options;
}

http::router
MakeHealthRoutes(const metrics::registry& aMetrics,
                 const configuration::configuration_store& aConfiguration,
                 const std::atomic<bool>& aIsDraining)
{
  http::router routes;
  routes.Add("GET", "/healthz", [](const auto&, const auto&) {
    return http::response{ 200, "text/plain", {}, "ok\n" };
  });
  routes.Add("GET", "/readyz", [&](const auto&, const auto&) {
    if (aIsDraining || !aConfiguration.IsReady()) {
      return http::response{ 503, "text/plain", {}, "not ready\n" };
    }
    return http::response{ 200, "text/plain", {}, "ready\n" };
  });
  routes.Add("GET", "/metrics", [&](const auto&, const auto&) {
    return http::response{ 200, "text/plain", {}, aMetrics.Write() };
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
  platformClient.mEndpoint.mAuthority = aValues.Text("platform-authority");
  platformClient.mCaller = aValues.Text("name");
  platformClient.mMetrics = &metrics;

  configuration::configuration_store configuration(platformClient);
  membership::directory_options directoryOptions;
  directoryOptions.mPlatform = platformClient;
  directoryOptions.mEntryIncarnation = incarnation;
  directoryOptions.mPollEvery = aValues.Milliseconds("load-poll");
  directoryOptions.mDigest = [&] {
    return membership::own_digest{ configuration.Current()->mRevision,
                                   configuration.FreshAge() };
  };
  membership::server_directory directory(directoryOptions);
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
  entry::caller_api_options callerOptions;
  callerOptions.mEntryIncarnation = incarnation;
  callerOptions.mMaximumRequests = aValues.Integer("maximum-requests");
  callerOptions.mDefaultDeadline = aValues.Milliseconds("default-deadline");
  callerOptions.mPlatform = platformClient;
  callerOptions.mCallRecordKeep =
    std::chrono::seconds(aValues.Integer("call-record-keep"));
  entry::caller_api callers(
    callerOptions, configuration, directory, dispatcher, account, metrics);

  configuration.Start();
  directory.Start();
  zoneKeeper.Start();
  usageReporter.Start();
  std::atomic<bool> isDraining{ false };
  const auto healthRoutes =
    MakeHealthRoutes(metrics, configuration, isDraining);
  http::router operatorRoutes;
  configuration::AddResourceRoutes(
    operatorRoutes, configuration, platformClient);

  // Threads beyond the admitted requests answer refusals while it is full.
  const auto callerThreads =
    static_cast<unsigned>(aValues.Integer("maximum-requests")) + 64;
  http::server callerServer(
    ListenerFor(aValues, "caller-listen", callerThreads),
    [&](const http::request& aRequest) { return callers.Serve(aRequest); });
  http::server operatorServer(ListenerFor(aValues, "operator-listen", 64),
                              [&](const http::request& aRequest) {
                                return http::Serve(operatorRoutes, aRequest);
                              });
  http::server healthServer(ListenerFor(aValues, "health-listen", 16),
                            [&](const http::request& aRequest) {
                              return http::Serve(healthRoutes, aRequest);
                            });
  const auto wireListen = http::ParseEndpoint(aValues.Text("wire-listen"));
  wire::wire_server wireServer(wireListen->mAddress,
                               wireListen->mPort,
                               std::make_shared<wire::entry_serviceProcessor>(
                                 std::make_shared<entry::entry_handler>(
                                   incarnation, configuration, account)));
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
  operatorServer.Stop();
  wireServer.Stop();
  zoneKeeper.Stop();
  usageReporter.Stop();
  reports::WriteRemainder(platformClient,
                          incarnation,
                          account,
                          boot_clock::now() +
                            aValues.Milliseconds("drain-deadline") / 4);
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
