#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace lavender::bench {

struct experiment_options
{
  /** Folder that the CSV files are written to. */
  std::string mFolder = ".";
  std::uint64_t mSeed = 1;
  /** Length of each run in an experiment. */
  std::chrono::seconds mDuration{ 10 };
  /** Numbers of agents that RunSlopes measures. */
  std::vector<int> mSizes{ 10, 40, 160 };
};

/** Compares requests through entry and agent with direct requests to the same
 * engines. */
void
RunThroughput(const experiment_options& aOptions);

/** Compares the fair queue with first-come order while one customer sends ten
 * times its share. */
void
RunFairness(const experiment_options& aOptions);

/** Offers twice the capacity between two phases of normal load. */
void
RunOverload(const experiment_options& aOptions);

/** Compares routing policies on the real programs: with all servers healthy,
 * with one that is five times slower, and with one that fails immediately. */
void
RunRouting(const experiment_options& aOptions);

/** Compares routing policies with delayed server reports, in a discrete-event
 * simulation. */
void
RunLag(const experiment_options& aOptions);

/** Measures the time of one routing decision at 9, 30 and 1,200 servers. */
void
RunDecision(const experiment_options& aOptions);

/** Compares automatic scaling with fixed numbers of servers in a simulated day
 * of load. */
void
RunCost(const experiment_options& aOptions);

/** Measures CPU time and memory of idle entries and agents by the number of
 * agents and entries, the sizes of their messages, and the cost of
 * configuration changes. */
void
RunSlopes(const experiment_options& aOptions);

/** Measures the resident memory of an entry's configuration and view of the
 * servers at the size planned for in two years. Prints CSV to standard
 * output. */
void
RunStateMemory(const experiment_options& aOptions);

/** Measures the Object API calls for leases by the number of entries and
 * leases, and the size of a usage window by the number of customers and
 * agents. */
void
RunLeases(const experiment_options& aOptions);

/** Compares start orders and server placements of a training step's items on
 * emulated engines. */
void
RunBatchOrder(const experiment_options& aOptions);

} // namespace lavender::bench
