#include "Libraries/Core/Identity.h"
#include "Libraries/Core/Log.h"
#include "Libraries/Core/Memory.h"
#include "Libraries/Core/TerminationSignal.h"
#include "Libraries/EventLog/EventLog.h"
#include "Libraries/Http/Router.h"
#include "Libraries/Http/Server.h"
#include "Libraries/Wire/SecuritySettings.h"
#include "Libraries/Wire/WireServer.h"
#include "Services/Agent/AgentHandler.h"
#include "Services/Agent/AgentSettings.h"
#include "Services/Agent/SiteAgent.h"

#include <iostream>

using namespace lavender;
using namespace std::chrono_literals;

namespace {

/** Keeps reporting the drain to entries, then waits for the requests in flight.
 * @return false when the deadline or a second signal came first */
bool
Drain(dispatch::agent_dispatch& aDispatch,
      termination_signal& aTermination,
      milliseconds aDeadline)
{
  // Covers the next poll of each entry, after which none sends new requests.
  constexpr milliseconds kMinimumDrainTime = 1500ms;
  const auto start = boot_clock::now();
  aDispatch.StartDrain();
  while (aDispatch.PendingRequestCount() > 0 ||
         boot_clock::now() - start < kMinimumDrainTime) {
    if (boot_clock::now() - start > aDeadline || aTermination.WaitFor(50ms)) {
      Log(log_level::Warning,
          "agent",
          "Drain ended early by its deadline or a second signal "
          "requests_left=" +
            std::to_string(aDispatch.PendingRequestCount()));
      return false;
    }
  }
  return true;
}

/** Maximum memory of the connections and requests at the health address. */
constexpr std::size_t kHealthBytes = 16 << 20;

http::router
MakeHealthRoutes(const metrics::registry& aMetrics,
                 const dispatch::agent_dispatch& aDispatch)
{
  http::router routes;
  routes.Add("GET", "/healthz", [](const auto&, const auto&) {
    return http::response{ 200, "text/plain", {}, "ok\n" };
  });
  routes.Add("GET", "/readyz", [&](const auto&, const auto&) {
    return aDispatch.IsDraining()
             ? http::response{ 503, "text/plain", {}, "draining\n" }
             : http::response{ 200, "text/plain", {}, "ready\n" };
  });
  routes.Add("GET", "/metrics", [&](const auto&, const auto&) {
    return http::response{ 200, "text/plain", {}, aMetrics.Write() };
  });
  return routes;
}

int
Run(const settings::values& aValues, termination_signal& aTermination)
{
  const auto server = http::ParseEndpoint(aValues.Text("server"));
  const auto wireListen = http::ParseEndpoint(aValues.Text("wire-listen"));
  const auto healthListen = http::ParseEndpoint(aValues.Text("health-listen"));
  const std::chrono::seconds window(aValues.Integer("usage-window"));
  const std::string incarnation = MakeRandomName();
  const dispatch::backend_server backend{ aValues.Text("server-kind") ==
                                              "engine"
                                            ? dispatch::backend_kind::Engine
                                            : dispatch::backend_kind::Service,
                                          *server };
  dispatch::ledger_limits limits;
  limits.mSlots = static_cast<std::size_t>(aValues.Integer("slots"));
  limits.mMaximumQueued = static_cast<std::size_t>(aValues.Integer("queue"));

  limits.mMaximumDelay = aValues.Milliseconds("queue-delay");
  limits.mPolicy = aValues.Text("queue-policy") == "fair"
                     ? admission::queue_policy::Fair
                     : admission::queue_policy::FirstComeFirstServed;

  metrics::registry metrics;
  usage::usage_account account;
  weights::tracker_limits weightLimits;
  weightLimits.mSwapTimeout = aValues.Milliseconds("weight-settle");
  weights::versioned_backend weightGate(
    backend, incarnation, weightLimits, metrics);
  dispatch::agent_dispatch dispatcher(
    incarnation,
    limits,
    backend,
    [&](const wire::dispatch_order& aOrder, wire::run_result& aResult) {
      aResult.usage_window = account.CountRun(
        incarnation,
        aOrder.entry_incarnation,
        usage::WindowOf(std::chrono::system_clock::now(), window),
        { aOrder.request_id,
          aOrder.customer,
          aResult.prompt_tokens,
          aResult.completion_tokens });
    },
    [&](const wire::dispatch_order& aOrder, milliseconds aTimeout) {
      return weightGate.Run(aOrder, aTimeout);
    });
  auto handler = std::make_shared<agent::agent_handler>(
    agent::identity{ aValues.Text("name"),
                     aValues.Text("zone"),
                     aValues.Text("pool"),
                     incarnation,
                     window },
    backend,
    dispatcher,
    weightGate,
    account,
    metrics);
  wire::wire_server wireServer(
    wireListen->mAddress,
    wireListen->mPort,
    std::make_shared<wire::agent_serviceProcessor>(handler));
  const auto healthRoutes = MakeHealthRoutes(metrics, dispatcher);
  http::server_options healthOptions;
  healthOptions.mAddress = healthListen->mAddress;
  healthOptions.mPort = healthListen->mPort;
  healthOptions.mMaximumThreads = 16;
  healthOptions.mName = "health";
  healthOptions.mMaximumHeldBytes = kHealthBytes;
  http::server health(healthOptions, [&](const http::request& aRequest) {
    return http::Serve(healthRoutes, aRequest);
  });
  std::cout << "ready wire=" << wireServer.Port() << " health=" << health.Port()
            << std::endl;
  Log(log_level::Info, "agent", "Serving incarnation=" + incarnation);

  while (!aTermination.WaitFor(1s)) {
  }
  Drain(dispatcher, aTermination, aValues.Milliseconds("drain-deadline"));
  dispatcher.Stop();
  handler->Stop();
  weightGate.Stop();
  wireServer.Stop();
  health.Stop();
  Log(log_level::Info, "agent", "Stopped");
  return 0;
}

/** Runs an agent on the users' platform. The command line is "site", then
 * flags. */
int
RunOnSite(int aCount, char** aArguments)
{
  auto parsed = settings::Read(
    "lavender-agent site", agent::DeclareSiteSettings(), aCount, aArguments);
  const auto siteSettings =
    agent::ReadSiteSettings(parsed.mValues, parsed.mFindings);
  if (!parsed.mFindings.IsEmpty()) {
    settings::Report(parsed.mFindings);
    return settings::kBadSettingsStatus;
  }
  if (parsed.mIsCheckOnly) {
    return 0;
  }
  events::StartEventLog({ siteSettings.mName });
  const int status = agent::site_agent(siteSettings).Run();
  events::StopEventLog();
  return status;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  ReturnLargeBlocks();
  if (aCount > 1 && std::string(aArguments[1]) == "site") {
    return RunOnSite(aCount - 1, aArguments + 1);
  }
  termination_signal termination;
  auto parsed = settings::Read(
    "lavender-agent", agent::DeclareSettings(), aCount, aArguments);
  wire::CheckSecurity(parsed.mValues, parsed.mFindings);
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
        "agent",
        std::string("Terminating after an unexpected error: ") + error.what());
    return 1;
  }
}
