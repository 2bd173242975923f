#include "Bench/Experiments.h"
#include "Duties/Configuration/ConfigurationState.h"
#include "Duties/Membership/DirectoryState.h"
#include "Libraries/Core/Identity.h"

#include <fstream>
#include <iostream>
#include <malloc.h>
#include <unistd.h>

namespace lavender::bench {
namespace {

double
ResidentMegabytes()
{
  std::ifstream input("/proc/self/statm");
  long total = 0;
  long resident = 0;
  input >> total >> resident;
  return static_cast<double>(resident * sysconf(_SC_PAGESIZE)) / 1e6;
}

platform::stored_object
MakeObject(const std::string& aKind,
           const std::string& aName,
           std::int64_t aRevision,
           json::value aSpec)
{
  json::value status;
  status.Set("observed_generation", 1);
  status.Set("in_force_revision", aRevision);
  status.Set("entries", 360);
  json::value stored;
  stored.Set("spec", std::move(aSpec));
  stored.Set("generation", 1);
  stored.Set("status", std::move(status));
  stored.Set("nonce", MakeRandomName());
  stored.Set("replaces", MakeRandomName());
  return { aKind, aName, aRevision, std::move(stored) };
}

/** Makes a watch response that contains the complete configuration. */
platform::watch_batch
MakeConfiguration(int aCustomers, int aKeys)
{
  platform::watch_batch batch;
  for (int i = 0; i < aCustomers; ++i) {
    json::value spec;
    spec.Set("weight", 1.0);
    spec.Set("max_concurrent", 100);
    batch.mEvents.push_back({ false,
                              MakeObject("Customer",
                                         "customer-" + std::to_string(i),
                                         ++batch.mRevision,
                                         spec) });
  }
  for (int i = 0; i < aKeys; ++i) {
    json::value spec;
    spec.Set("customer", "customer-" + std::to_string(i % aCustomers));
    spec.Set("hash", HashKey(std::to_string(i)));
    batch.mEvents.push_back(
      { false,
        MakeObject(
          "Key", "key-" + std::to_string(i), ++batch.mRevision, spec) });
  }
  return batch;
}

void
AddServers(membership::directory_state& aState, int aServers)
{
  std::vector<platform::instance> list;
  for (int i = 0; i < aServers; ++i) {
    list.push_back({ "engine-" + std::to_string(i),
                     "hall-malmo",
                     "modellflotta",
                     "backend",
                     { "10.0.0.1", static_cast<std::uint16_t>(1000 + i) },
                     false });
  }
  const time_point now{ std::chrono::seconds(1000) };
  membership::ApplyList(
    aState,
    list,
    {},
    [](const http::endpoint& aEndpoint) {
      return std::make_shared<membership::agent_pool>(aEndpoint,
                                                      milliseconds(1000));
    },
    now);
  for (const auto& instance : list) {
    wire::agent_report report;
    report.server_name = instance.mName;
    report.agent_incarnation = MakeRandomName();
    report.load.cached_prefixes.assign(64, 1);
    membership::ApplyReport(aState,
                            instance.mName,
                            report,
                            aState.mServers.at(instance.mName).mConnections,
                            now,
                            now);
  }
}

void
Measure(int aServers, int aCustomers, int aKeys)
{
  malloc_trim(0);
  const double before = ResidentMegabytes();
  configuration::configuration_state state;
  membership::directory_state directory;
  constexpr int kPart = 500;
  {
    // Applied in parts, as the watch delivers it, so that the state never
    // receives the whole tree in one batch.
    const auto all = MakeConfiguration(aCustomers, aKeys);
    platform::watch_batch part;
    for (const auto& event : all.mEvents) {
      part.mEvents.push_back(event);
      part.mRevision = event.mObject.mRevision;
      if (part.mEvents.size() == kPart) {
        ApplyWatchBatch(state, part, time_point{ std::chrono::seconds(1) });
        part = {};
      }
    }
    if (!part.mEvents.empty()) {
      ApplyWatchBatch(state, part, time_point{ std::chrono::seconds(1) });
    }
  }
  AddServers(directory, aServers);
  malloc_trim(0);
  std::cout << aServers << "," << aCustomers << "," << aKeys << ","
            << ResidentMegabytes() - before << "," << ResidentMegabytes()
            << std::endl;
}

} // namespace

void
RunStateMemory(const experiment_options&)
{
  std::cout << "servers,customers,keys,state_mb,process_mb" << std::endl;
  // The largest size must come first: later measurements would reuse memory
  // that earlier ones freed.
  Measure(1200, 1000, 10000);
}

} // namespace lavender::bench
