#include "Duties/Configuration/ResourceApi.h"
#include "Libraries/Core/Log.h"
#include "Libraries/Core/Memory.h"
#include "Libraries/Core/TerminationSignal.h"
#include "Libraries/EventLog/EventLog.h"
#include "Libraries/Http/Server.h"
#include "Libraries/Wire/SecuritySettings.h"
#include "Libraries/Wire/WireServer.h"
#include "Services/Entry/EntryDuties.h"
#include "Services/Entry/EntryHandler.h"
#include "Services/Entry/EntrySettings.h"
#include "Services/Entry/SiteEntry.h"
#include "Services/Entry/TraceCommand.h"

#include <algorithm>
#include <iostream>

using namespace lavender;
using namespace std::chrono_literals;

namespace {

/** Shows the connections of a listener that ended for others as metrics. */
std::function<void(const edge::listener_counts&)>
GaugesFor(const std::string& aListener, metrics::registry& aMetrics)
{
  return [aListener, &aMetrics](const edge::listener_counts& aCounts) {
    const auto set = [&](const char* aHow, std::uint64_t aCount) {
      aMetrics.SetGauge("lavender_connections_ended",
                        { { "listener", aListener }, { "how", aHow } },
                        static_cast<double>(aCount));
    };
    set("refused", aCounts.mRefused);
    set("reset", aCounts.mReset);
    set("closed", aCounts.mClosed);
    set("not_accepted", aCounts.mNotAccepted);
  };
}

/** @param aFlag of the address, NAME-listen
 * @param aShare part of the memory for requests, as one in so many */
http::server_options
ListenerFor(const settings::values& aValues,
            const std::string& aFlag,
            unsigned aThreads,
            std::size_t aShare,
            metrics::registry& aMetrics)
{
  const auto listen = http::ParseEndpoint(aValues.Text(aFlag));
  http::server_options options;
  options.mName = aFlag.substr(0, aFlag.find('-'));
  options.mOnConnectionsEnded = GaugesFor(options.mName, aMetrics);
  options.mMaximumHeldBytes =
    (static_cast<std::size_t>(aValues.Integer("request-memory")) << 20) /
    aShare;
  options.mAddress = listen->mAddress;
  options.mPort = listen->mPort;
  options.mMaximumThreads = aThreads;
  // The connections beyond the threads' number are idle or bring the next
  // requests.
  options.mMaximumConnections =
    std::max<std::size_t>(options.mMaximumConnections, 2 * aThreads);
  options.mMaximumBodyBytes =
    static_cast<std::size_t>(aValues.Integer("maximum-body"));
  return options;
}

http::router
MakeHealthRoutes(entry::entry_duties& aDuties,
                 const std::atomic<bool>& aIsDraining)
{
  http::router routes;
  routes.Add("GET", "/healthz", [](const auto&, const auto&) {
    return http::response{ 200, "text/plain", {}, "ok\n" };
  });
  routes.Add("GET", "/readyz", [&](const auto&, const auto&) {
    const auto freshness = aDuties.mKeyGate.Check();
    if (aIsDraining || !keys::IsFreshEnough(freshness)) {
      return http::response{ 503,
                             "text/plain",
                             {},
                             std::string("not ready ") +
                               keys::ToString(freshness) + "\n" };
    }
    return http::response{ 200, "text/plain", {}, "ready\n" };
  });
  routes.Add("GET", "/metrics", [&aDuties](const auto&, const auto&) {
    return http::response{ 200, "text/plain", {}, aDuties.MetricsText() };
  });
  return routes;
}

/** Time from the last answers to the end of the drain: a call that waits at an
 * agent notices the end within half a second, and is taken back there. */
constexpr milliseconds kLastAnswerMargin = 800ms;

/** Logs what the stop has cost the callers. */
void
LogStop(const entry::caller_api& aCallers)
{
  const auto counts = aCallers.StopCounts();
  Log(log_level::Info,
      "entry",
      "Drained served=" + std::to_string(counts.mServed) +
        " refused=" + std::to_string(counts.mRefused) +
        " given_up=" + std::to_string(counts.mGivenUp) +
        " left=" + std::to_string(aCallers.PendingRequestCount()));
}

/** Keeps serving until the balancer has seen that this instance is leaving,
 * then waits for the requests in flight. */
void
Drain(entry::caller_api& aCallers,
      termination_signal& aTermination,
      milliseconds aDeadline)
{
  constexpr milliseconds kMinimumDrainTime = 500ms;
  const auto start = boot_clock::now();
  aCallers.StartStopping(start + aDeadline -
                         std::min(kLastAnswerMargin, aDeadline / 2));
  while (aCallers.PendingRequestCount() > 0 ||
         boot_clock::now() - start < kMinimumDrainTime) {
    if (boot_clock::now() - start > aDeadline || aTermination.WaitFor(50ms)) {
      Log(log_level::Warning,
          "entry",
          "Drain ended early by its deadline or a second signal "
          "requests_left=" +
            std::to_string(aCallers.PendingRequestCount()));
      return;
    }
  }
}

/** Part of the memory for requests that operators and health checks have each,
 * as one in so many. */
constexpr std::size_t kOtherShare = 8;

int
Run(const settings::values& aValues, termination_signal& aTermination)
{
  entry::entry_duties duties(aValues);
  duties.Start();
  std::atomic<bool> isDraining{ false };
  const auto healthRoutes = MakeHealthRoutes(duties, isDraining);
  http::router operatorRoutes;
  configuration::AddResourceRoutes(
    operatorRoutes, duties.mConfiguration, duties.mPlatform);

  // The threads beyond the maximum of admitted requests send refusals when that
  // maximum is reached.
  const auto callerThreads =
    static_cast<unsigned>(aValues.Integer("maximum-requests")) + 64;
  http::server callerServer(
    ListenerFor(aValues, "caller-listen", callerThreads, 1, duties.mMetrics),
    [&](const http::request& aRequest) {
      return duties.mCallers.Serve(aRequest);
    });
  http::server operatorServer(
    ListenerFor(aValues, "operator-listen", 64, kOtherShare, duties.mMetrics),
    [&](const http::request& aRequest) {
      return configuration::ServeOperatorRequest(
        operatorRoutes, aValues.Text("operator-key-hash"), aRequest);
    });
  http::server healthServer(
    ListenerFor(aValues, "health-listen", 16, kOtherShare, duties.mMetrics),
    [&](const http::request& aRequest) {
      return http::Serve(healthRoutes, aRequest);
    });
  const auto wireListen = http::ParseEndpoint(aValues.Text("wire-listen"));
  wire::wire_server wireServer(
    wireListen->mAddress,
    wireListen->mPort,
    std::make_shared<wire::entry_serviceProcessor>(
      std::make_shared<entry::entry_handler>(
        entry::entry_identity{ aValues.Text("name"), duties.mIncarnation },
        duties.mConfiguration,
        duties.mAccount)));
  std::cout << "ready callers=" << callerServer.Port()
            << " operators=" << operatorServer.Port()
            << " health=" << healthServer.Port()
            << " wire=" << wireServer.Port() << std::endl;
  Log(log_level::Info, "entry", "Serving incarnation=" + duties.mIncarnation);

  while (!aTermination.WaitFor(1s)) {
  }
  isDraining = true;
  callerServer.AskClientsToClose();
  Drain(duties.mCallers, aTermination, aValues.Milliseconds("drain-deadline"));
  callerServer.Stop();
  LogStop(duties.mCallers);
  duties.StopSamplesAndWeights();
  operatorServer.Stop();
  wireServer.Stop();
  duties.Stop();
  healthServer.Stop();
  Log(log_level::Info, "entry", "Stopped");
  return 0;
}

/** Runs an entry on the users' platform. The command line is "site", then
 * flags. */
int
RunOnSite(int aCount, char** aArguments)
{
  auto parsed = settings::Read(
    "lavender-entry site", entry::DeclareSiteSettings(), aCount, aArguments);
  const auto siteSettings =
    entry::ReadSiteSettings(parsed.mValues, parsed.mFindings);
  if (!parsed.mFindings.IsEmpty()) {
    settings::Report(parsed.mFindings);
    return settings::kBadSettingsStatus;
  }
  if (parsed.mIsCheckOnly) {
    return 0;
  }
  events::StartEventLog({ siteSettings.mName });
  const int status = entry::site_entry(siteSettings).Run();
  events::StopEventLog();
  return status;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  ReturnLargeBlocks();
  if (aCount > 1 && std::string(aArguments[1]) == "trace") {
    return entry::RunTrace({ aArguments + 2, aArguments + aCount }, std::cout);
  }
  if (aCount > 1 && std::string(aArguments[1]) == "site") {
    return RunOnSite(aCount - 1, aArguments + 1);
  }
  termination_signal termination;
  auto parsed = settings::Read(
    "lavender-entry", entry::DeclareSettings(), aCount, aArguments);
  wire::CheckSecurity(parsed.mValues, parsed.mFindings);
  entry::CheckSettings(parsed.mValues, parsed.mFindings);
  if (!parsed.mFindings.IsEmpty()) {
    settings::Report(parsed.mFindings);
    return settings::kBadSettingsStatus;
  }
  if (parsed.mIsCheckOnly) {
    return 0;
  }
  StartLog(ParseLogLevel(parsed.mValues.Text("log-level")));
  try {
    wire::UseSecurity(wire::ReadSecurity(parsed.mValues));
    return Run(parsed.mValues, termination);
  } catch (const std::exception& error) {
    Log(log_level::Error,
        "entry",
        std::string("Terminating after an unexpected error: ") + error.what());
    return 1;
  }
}
