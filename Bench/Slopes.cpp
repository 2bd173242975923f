#include "Bench/Experiments.h"
#include "Bench/ProcessCost.h"
#include "Bench/Results.h"
#include "Libraries/Core/Clock.h"
#include "Libraries/Wire/ConnectionPool.h"
#include "Libraries/Wire/Generated/agent_service.h"
#include "Tests/Support/Fleet.h"

#include <thread>
#include <thrift/transport/TBufferTransports.h>

namespace lavender::bench {
namespace {

using namespace std::chrono_literals;
using seconds = std::chrono::duration<double>;

constexpr const char* kPool = "model-pool";
constexpr int kCustomers = 8;
constexpr int kChanges = 20;

/** Returns the size in bytes of a serialised message. */
template<typename Message>
std::uint32_t
SizeOf(const Message& aMessage)
{
  auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
  apache::thrift::protocol::TBinaryProtocol protocol(buffer);
  return aMessage.write(&protocol);
}

/** Entries, and agents that share one engine stand-in. */
struct light_fleet
{
  test::fleet mFleet;
  std::vector<std::string> mAgents;
  std::vector<std::string> mEntries;
  std::string mKey;

  light_fleet(int aAgents, int aEntries)
  {
    auto& first = mFleet.AddBackend("agent-0", "zone-0", kPool, "engine");
    mAgents.push_back("agent-0");
    for (int i = 1; i < aAgents; ++i) {
      mAgents.push_back("agent-" + std::to_string(i));
      auto& made = mFleet.Backends()[mAgents.back()];
      made.mName = mAgents.back();
      made.mAvailabilityZone = "zone-" + std::to_string(i % 3);
      made.mPool = kPool;
      made.mKind = "engine";
      made.mServer = first.mServer;
      mFleet.StartAgent(made);
    }
    for (int i = 0; i < aEntries; ++i) {
      mEntries.push_back("entry-" + std::to_string(i));
      mFleet.AddEntry(mEntries.back(), "zone-" + std::to_string(i % 3));
    }
    mFleet.PublishInstances();
    json::value pool;
    pool.Set("model", "reports");
    mFleet.Put("BackendPool", kPool, pool);
    for (int i = 0; i < kCustomers; ++i) {
      mKey = mFleet.AddCustomer("customer-" + std::to_string(i));
    }
    if (!mFleet.WaitUntilServing(mKey, "reports")) {
      throw std::runtime_error(
        "the fleet didn't start to serve the model \"reports\"");
    }
    std::this_thread::sleep_for(3s);
  }

  pid_t AgentId(std::size_t aIndex)
  {
    return mFleet.Backends().at(mAgents[aIndex]).mAgent->Id();
  }
  pid_t EntryId(std::size_t aIndex)
  {
    return mFleet.Entries().at(mEntries[aIndex]).mProcess->Id();
  }
  std::int64_t PlatformCalls()
  {
    const auto calls =
      test::Send(mFleet.PlatformPort(), "GET", "/control/calls").mBody;
    std::int64_t total = 0;
    for (const char* method : { "GET", "PUT", "POST", "DELETE" }) {
      total += json::IntegerAt(calls, method, 0);
    }
    return total;
  }
};

/** Measures CPU time and memory of a set of processes. */
struct usage_meter
{
  std::vector<pid_t> mIds;
  std::chrono::nanoseconds mBefore{ 0 };

  std::chrono::nanoseconds Now() const
  {
    std::chrono::nanoseconds sum{ 0 };
    for (const auto id : mIds) {
      sum += ReadCost(id).mCpuTime;
    }
    return sum;
  }
  void Start() { mBefore = Now(); }
  /** Returns the mean share of one core that a process used since Start. */
  double Share(seconds aDuration) const
  {
    return seconds(Now() - mBefore) / aDuration /
           static_cast<double>(mIds.size());
  }
  double MeanKilobytes() const
  {
    double sum = 0;
    for (const auto id : mIds) {
      sum += static_cast<double>(ReadCost(id).mResidentKilobytes);
    }
    return sum / static_cast<double>(mIds.size());
  }
};

void
MeasureIdle(csv_file& aFile,
            int aAgents,
            int aEntries,
            std::chrono::seconds aDuration)
{
  light_fleet fleet(aAgents, aEntries);
  usage_meter agents;
  usage_meter entries;
  for (std::size_t i = 0; i < fleet.mAgents.size(); ++i) {
    agents.mIds.push_back(fleet.AgentId(i));
  }
  for (std::size_t i = 0; i < fleet.mEntries.size(); ++i) {
    entries.mIds.push_back(fleet.EntryId(i));
  }
  const auto calls = fleet.PlatformCalls();
  agents.Start();
  entries.Start();
  std::this_thread::sleep_for(aDuration);
  const double agentShare = agents.Share(aDuration);
  const double entryShare = entries.Share(aDuration);
  const auto called = fleet.PlatformCalls() - calls;
  aFile.WriteRow({ std::to_string(aAgents),
                   std::to_string(aEntries),
                   Format(entryShare * 100),
                   Format(entries.MeanKilobytes() / 1024),
                   std::to_string(ReadCost(entries.mIds[0]).mThreads),
                   Format(agentShare * 100),
                   Format(agents.MeanKilobytes() / 1024),
                   std::to_string(ReadCost(agents.mIds[0]).mThreads),
                   Format(static_cast<double>(called) / aEntries /
                          static_cast<double>(aDuration.count())) });
}

/** Writes the sizes of the messages between entries and a running agent. */
void
MeasureMessages(const experiment_options& aOptions)
{
  csv_file file(aOptions.mFolder + "/messages.csv", { "message", "bytes" });
  light_fleet fleet(1, 1);
  const auto entryPort = fleet.mFleet.Entries().begin()->second.Callers();
  for (int i = 0; i < 100; ++i) {
    test::Complete(entryPort,
                   fleet.mKey,
                   "reports",
                   "document " + std::to_string(i) + std::string(64, 'd'),
                   1);
  }
  std::this_thread::sleep_for(1s);
  wire::connection_pool<wire::agent_serviceClient> agent(
    { "127.0.0.1",
      fleet.mFleet.Backends().begin()->second.mAgent->Port("wire") },
    1s);
  wire::entry_digest digest;
  digest.echo = "agent-0";
  digest.entry_incarnation = std::string(32, 'e');
  const auto report = agent.Run<wire::agent_report>(
    2s, digest.echo, [&](auto& aClient, auto& aReply) {
      aClient.Report(aReply, digest);
    });
  file.WriteRow({ "poll", std::to_string(SizeOf(digest)) });
  file.WriteRow({ "report with 64 cached prefixes",
                  std::to_string(SizeOf(report.mReply)) });
  auto bare = report.mReply;
  bare.load.cached_prefixes.clear();
  file.WriteRow({ "report without", std::to_string(SizeOf(bare)) });
  wire::usage_query query;
  query.echo = "usage";
  query.through_window = INT64_MAX;
  const auto usage = agent.Run<wire::usage_reply>(
    2s, query.echo, [&](auto& aClient, auto& aReply) {
      aClient.CollectUsage(aReply, query);
    });
  file.WriteRow({ "usage of one entry and customer in a window",
                  std::to_string(SizeOf(usage.mReply)) });
  wire::dispatch_order order;
  order.request_id = std::string(32, 'e') + "-1.1";
  order.agent_incarnation = std::string(32, 'a');
  order.entry_incarnation = std::string(32, 'e');
  file.WriteRow(
    { "dispatch besides its payload", std::to_string(SizeOf(order)) });
  wire::dispatch_reply reply;
  reply.echo = order.request_id;
  reply.agent_incarnation = order.agent_incarnation;
  file.WriteRow({ "reply besides its answer", std::to_string(SizeOf(reply)) });
}

/** Measures the CPU time and platform calls of entries per configuration
 * change. */
void
MeasureChanges(const experiment_options& aOptions, int aEntries)
{
  csv_file file(
    aOptions.mFolder + "/changes-" + std::to_string(aEntries) + ".csv",
    { "entries", "changes", "entry_ms_per_change", "calls_per_change" });
  light_fleet fleet(1, aEntries);
  usage_meter entries;
  for (std::size_t i = 0; i < fleet.mEntries.size(); ++i) {
    entries.mIds.push_back(fleet.EntryId(i));
  }
  constexpr auto kIdleTime = 4s;
  entries.Start();
  auto calls = fleet.PlatformCalls();
  std::this_thread::sleep_for(kIdleTime);
  const double idleShare = entries.Share(kIdleTime);
  const double idleCalls =
    static_cast<double>(fleet.PlatformCalls() - calls) / kIdleTime.count();
  entries.Start();
  calls = fleet.PlatformCalls();
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < kChanges; ++i) {
    json::value customer;
    customer.Set("weight", 1.0 + i);
    fleet.mFleet.Put("Customer", "customer-0", customer);
    std::this_thread::sleep_for(150ms);
  }
  const seconds took = std::chrono::steady_clock::now() - start;
  const double busy = entries.Share(took) - idleShare;
  const double called = static_cast<double>(fleet.PlatformCalls() - calls) -
                        idleCalls * took.count();
  file.WriteRow({ std::to_string(aEntries),
                  std::to_string(kChanges),
                  Format(busy * took.count() * 1000 / kChanges),
                  Format(called / kChanges) });
}

} // namespace

void
RunSlopes(const experiment_options& aOptions)
{
  csv_file file(aOptions.mFolder + "/slopes.csv",
                { "agents",
                  "entries",
                  "entry_core_percent",
                  "entry_megabytes",
                  "entry_threads",
                  "agent_core_percent",
                  "agent_megabytes",
                  "agent_threads",
                  "platform_calls_per_entry_second" });
  for (const int agents : aOptions.mSizes) {
    MeasureIdle(file, agents, 1, aOptions.mDuration);
  }
  for (const int entries : { 1, 3, 9, 27 }) {
    MeasureIdle(file, 3, entries, aOptions.mDuration);
  }
  MeasureMessages(aOptions);
  for (const int entries : { 1, 4, 16 }) {
    MeasureChanges(aOptions, entries);
  }
}

} // namespace lavender::bench
