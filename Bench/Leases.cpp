#include "Bench/Experiments.h"
#include "Bench/Results.h"
#include "Duties/Leases/LeaseKeeper.h"
#include "Duties/Usage/WindowReport.h"
#include "Libraries/Core/Identity.h"
#include "Libraries/Http/Server.h"
#include "StandIns/Platform/Platform.h"

#include <iostream>
#include <memory>
#include <thread>

namespace lavender::bench {
namespace {

using namespace std::chrono_literals;

/** Total calls that the Object API has counted. */
struct call_count
{
  double mReads = 0;
  double mWrites = 0;
};

call_count
Count(standin::platform& aPlatform)
{
  http::request request;
  request.mPath = "/control/calls";
  const auto body = json::Parse(aPlatform.Serve(request).mBody);
  return { static_cast<double>(json::IntegerAt(*body, "GET", 0)),
           static_cast<double>(json::IntegerAt(*body, "PUT", 0)) };
}

/** Measures Object API calls while aEntries lease managers in this process all
 * compete for aLeases leases. */
void
MeasureLeases(csv_file& aFile,
              int aEntries,
              int aLeases,
              std::chrono::seconds aDuration)
{
  standin::platform platform;
  http::server_options listen;
  listen.mAddress = "127.0.0.1";
  listen.mMaximumThreads = 128;
  http::server server(listen, [&](const http::request& aRequest) {
    return platform.Serve(aRequest);
  });
  std::vector<std::string> names;
  for (int i = 0; i < aEntries; ++i) {
    names.push_back("entry-" + std::to_string(i));
  }
  std::vector<std::unique_ptr<leases::lease_manager>> managers;
  for (const auto& name : names) {
    leases::lease_manager_options options;
    options.mPlatform.mEndpoint = { "127.0.0.1", server.Port() };
    options.mPlatform.mCaller = name;
    options.mName = name;
    options.mIncarnation = MakeRandomName();
    options.mEntries = [names] { return names; };
    managers.push_back(std::make_unique<leases::lease_manager>(options));
    for (int lease = 0; lease < aLeases; ++lease) {
      managers.back()->StartAcquiring("lease-" + std::to_string(lease));
    }
  }
  // Wait until the preferred entries hold the leases and the others poll at
  // their steady rate.
  std::this_thread::sleep_for(6s);
  const auto before = Count(platform);
  std::this_thread::sleep_for(aDuration);
  const auto after = Count(platform);
  int maximumHeld = 0;
  for (const auto& manager : managers) {
    int held = 0;
    for (int lease = 0; lease < aLeases; ++lease) {
      held += manager->Held("lease-" + std::to_string(lease)).has_value();
    }
    maximumHeld = std::max(maximumHeld, held);
  }
  const auto seconds = static_cast<double>(aDuration.count());
  aFile.WriteRow({ std::to_string(aEntries),
                   std::to_string(aLeases),
                   Format((after.mReads - before.mReads) / seconds / aLeases),
                   Format((after.mWrites - before.mWrites) / seconds / aLeases),
                   std::to_string(maximumHeld) });
}

/** Writes the stored size in bytes of one usage window. */
void
MeasureWindow(csv_file& aFile, int aCustomers, int aAgents)
{
  usage::window_report report;
  report.mWindow = 29000000;
  for (int i = 0; i < aCustomers; ++i) {
    auto& row = report.mRows["customer-" + std::to_string(i)];
    row.customer = "customer-" + std::to_string(i);
    row.requests = 246;
    row.prompt_tokens = 250000;
    row.completion_tokens = 108000;
  }
  for (int i = 0; i < aAgents; ++i) {
    report.mMarks.mAgents[MakeRandomName()] = report.mWindow;
  }
  aFile.WriteRow({ std::to_string(aCustomers),
                   std::to_string(aAgents),
                   std::to_string(json::Write(usage::ToJson(report)).size()) });
}

} // namespace

void
RunLeases(const experiment_options& aOptions)
{
  csv_file calls(aOptions.mFolder + "/lease-calls.csv",
                 { "entries",
                   "leases",
                   "reads_per_second_per_lease",
                   "writes_per_second_per_lease",
                   "most_held_by_one" });
  for (const auto& [entries, leases] :
       { std::pair{ 2, 6 }, { 8, 6 }, { 40, 6 }, { 8, 34 } }) {
    MeasureLeases(calls, entries, leases, aOptions.mDuration);
  }
  csv_file windows(aOptions.mFolder + "/usage-windows.csv",
                   { "customers", "agents", "bytes" });
  for (const auto& [customers, agents] : { std::pair{ 8, 9 },
                                           { 100, 300 },
                                           { 1000, 1200 },
                                           { 1000, 1200 + 7 * 310 } }) {
    MeasureWindow(windows, customers, agents);
  }
}

} // namespace lavender::bench
