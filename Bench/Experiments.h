#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace lavender::bench {

struct experiment_options
{
  /** Folder of the CSV files. */
  std::string mFolder = ".";
  std::uint64_t mSeed = 1;
  /** Length of each run in an experiment. */
  std::chrono::seconds mFor{ 10 };
  /** Sizes that slopes are measured at. */
  std::vector<int> mSizes{ 10, 40, 160 };
};

/** Through entry and agent against the same engines called directly. */
void
RunThroughput(const experiment_options& aOptions);

/** One customer at ten times its share, fair queue against first come. */
void
RunFairness(const experiment_options& aOptions);

/** Twice the capacity, between two spells of ordinary load. */
void
RunOverload(const experiment_options& aOptions);

/** Routing policies on the real programs: all well, one server five times
 * slower, one that fails at once. */
void
RunRouting(const experiment_options& aOptions);

/** Routing decisions with reports that lag, on an event loop of servers. */
void
RunLag(const experiment_options& aOptions);

/** Cost of one routing decision at 9, 30 and 1,200 servers. */
void
RunDecision(const experiment_options& aOptions);

/** Servers started and stopped by the scale decision against fixed fleets, on
 * a day of load in an event loop. */
void
RunCost(const experiment_options& aOptions);

/** What an entry and an agent cost at rest, by number of agents and of
 * entries. */
void
RunSlopes(const experiment_options& aOptions);

/** Resident memory of an entry's state, its configuration and its view of the
 * servers, at the two-year size; CSV on standard output. */
void
RunStateMemory(const experiment_options& aOptions);

/** Calls to the Object API for leases, by entries and leases, and the bytes of
 * a usage window, by customers and agents. */
void
RunLeases(const experiment_options& aOptions);

/** Orders and places of a training step's items, on emulated engines. */
void
RunBatchOrder(const experiment_options& aOptions);

} // namespace lavender::bench
