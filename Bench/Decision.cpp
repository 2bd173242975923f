#include "Bench/Experiments.h"
#include "Bench/Results.h"
#include "Duties/Routing/PoolTable.h"
#include "Duties/Routing/Subset.h"

#include <algorithm>

namespace lavender::bench {
namespace {

using namespace routing;
using namespace std::chrono_literals;

constexpr int kDecisions = 200000;
const time_point kNow(1h);

pool_table
MakeTable(int aServers)
{
  pool_table table;
  for (int i = 0; i < aServers; ++i) {
    server_report report;
    report.mName = "server-" + std::to_string(i);
    report.mAvailabilityZone = "zone-" + std::to_string(i % 16);
    report.mSlots = 16;
    report.mRequests = i % 11;
    report.mTokensPerSecond = 1000 + i % 7;
    report.mAcceptsRequests = true;
    report.mGeneratedAt = kNow;
    for (int prefix = 0; prefix < 64; ++prefix) {
      report.mCachedPrefixes.push_back(i * 64 + prefix + 1);
    }
    ApplyReport(table, report, kNow);
  }
  return table;
}

/** Baseline for comparison: copies every usable report before it chooses. */
std::size_t
ChooseByCopy(const std::vector<server_report>& aReports,
             std::mt19937_64& aRandom)
{
  std::vector<server_report> usable;
  for (const auto& report : aReports) {
    if (report.mAcceptsRequests) {
      usable.push_back(report);
    }
  }
  std::uniform_int_distribution<std::size_t> pick(0, usable.size() - 1);
  const auto first = pick(aRandom);
  const auto second = pick(aRandom);
  return usable[first].mRequests <= usable[second].mRequests ? first : second;
}

template<typename Decide>
std::chrono::nanoseconds
Time(int aTimes, const Decide& aDecide)
{
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < aTimes; ++i) {
    aDecide(i);
  }
  return (std::chrono::steady_clock::now() - start) / aTimes;
}

} // namespace

void
RunDecision(const experiment_options& aOptions)
{
  csv_file file(aOptions.mFolder + "/decision.csv",
                { "servers",
                  "decide_and_note_ns",
                  "with_affinity_ns",
                  "report_ns",
                  "copy_all_ns" });
  for (const int servers : { 9, 30, 1200 }) {
    auto table = MakeTable(servers);
    std::mt19937_64 random(aOptions.mSeed);
    const auto decide = [&](std::int64_t aPrefix, int aNumber) {
      route_request request;
      request.mPrefix = aPrefix;
      const auto now = kNow + std::chrono::nanoseconds(aNumber + 1);
      const auto chosen = ChooseServer(table, request, random, now);
      RecordSent(table, *chosen, 0, now);
      RecordEnd(table, *chosen, now, evidence::Success, now);
    };
    const auto plain =
      Time(kDecisions, [&](int aNumber) { decide(0, aNumber); });
    const auto affine = Time(kDecisions, [&](int aNumber) {
      decide(aNumber % (servers * 64) + 1, aNumber);
    });
    std::vector<server_report> reports;
    for (const auto& row : table.mRows) {
      auto report = row.mReport;
      report.mCachedPrefixes.assign(64, 7);
      report.mGeneratedAt = kNow + 1s;
      reports.push_back(std::move(report));
    }
    const auto report = Time(std::min(servers * 20, 4000), [&](int aNumber) {
      auto& one = reports[static_cast<std::size_t>(aNumber % servers)];
      one.mGeneratedAt += 1ns;
      ApplyReport(table, one, one.mGeneratedAt);
    });
    const auto copy = Time(servers > 100 ? 200 : 20000,
                           [&](int) { ChooseByCopy(reports, random); });
    file.WriteRow({ std::to_string(servers),
                    std::to_string(plain.count()),
                    std::to_string(affine.count()),
                    std::to_string(report.count()),
                    std::to_string(copy.count()) });
  }
  std::vector<std::string> servers;
  std::vector<std::string> entries;
  for (int i = 0; i < 1200; ++i) {
    servers.push_back("server-" + std::to_string(i));
  }
  for (int i = 0; i < 360; ++i) {
    entries.push_back("entry-" + std::to_string(i));
  }
  csv_file subset(aOptions.mFolder + "/subset.csv",
                  { "servers", "entries", "target", "subset_ms" });
  const auto time = Time(20, [&](int aNumber) {
    FindSubset(
      servers, entries, entries[static_cast<std::size_t>(aNumber)], 30);
  });
  subset.WriteRow({ "1200", "360", "30", Format(time) });
}

} // namespace lavender::bench
