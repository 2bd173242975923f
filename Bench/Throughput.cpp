#include "Bench/Experiments.h"
#include "Bench/Results.h"
#include "Bench/Site.h"

namespace lavender::bench {
namespace {

constexpr std::size_t kClients = 64;

void
Measure(csv_file& aFile,
        site& aSite,
        const std::string& aService,
        const std::string& aWay,
        const arrival& aRequest,
        std::chrono::milliseconds aDuration)
{
  const bool isDirect = aWay == "direct";
  const auto results =
    RunClosedLoop(kClients,
                  aDuration,
                  aRequest,
                  [&](std::size_t aIndex, const arrival& aArrival) {
                    return isDirect ? aSite.SendDirect(aIndex, aArrival)
                                    : aSite.Send(aIndex, aArrival);
                  });
  std::vector<std::chrono::nanoseconds> latencies;
  std::size_t failed = 0;
  for (const auto& one : results) {
    if (one.mStatus == 200) {
      latencies.push_back(one.mLatency);
    } else {
      ++failed;
    }
  }
  const double seconds = std::chrono::duration<double>(aDuration).count();
  aFile.WriteRow({ aService,
                   aWay,
                   Format(static_cast<double>(latencies.size()) / seconds),
                   Format(Percentile(latencies, 0.5)),
                   Format(Percentile(latencies, 0.99)),
                   std::to_string(failed) });
}

} // namespace

void
RunThroughput(const experiment_options& aOptions)
{
  csv_file file(
    aOptions.mFolder + "/throughput.csv",
    { "service", "way", "per_second", "p50_ms", "p99_ms", "failed" });
  site_options options;
  options.mSlots = 16;
  options.mPerTokenMicroseconds = 0;
  site site(options);
  // The two paths alternate, so that other load on the machine affects both.
  for (const auto& [service, perToken] :
       { std::pair("1 token at once", 0),
         std::pair("20 tokens in 20 ms", 1000),
         std::pair("20 tokens in 200 ms", 10000) }) {
    for (int server = 0; server < options.mServers; ++server) {
      site.SetFault(server, "per_token_us", perToken);
    }
    arrival request;
    request.mTokens = perToken == 0 ? 1 : 20;
    request.mPrompt = MakePrompt(0, request.mTokens);
    for (int round = 0; round < 2; ++round) {
      for (const char* way : { "direct", "through" }) {
        Measure(file, site, service, way, request, aOptions.mDuration / 2);
      }
    }
  }
}

} // namespace lavender::bench
