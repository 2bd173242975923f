#pragma once

#include "Libraries/Core/Clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace lavender::admission {

/** Requests of one customer that one agent holds, queued or running. */
struct customer_load
{
  std::string mCustomer;
  int mInFlight = 0;
  /** Those of them that the asking entry sent. */
  int mOwn = 0;
};

/** One customer's requests in flight as the agents' reports show them. */
struct demand
{
  int mInFlight = 0;
  int mOwn = 0;
};

/** What the agents of all servers told last. The agents see all entries, so
 * the entries learn of each other's load without talking. */
struct shared_demand
{
  struct agent_rows
  {
    std::vector<customer_load> mRows;
    time_point mReceivedAt;
  };

  std::map<std::string, agent_rows> mAgents;
  std::map<std::string, demand> mCustomers;
};

/** Takes one agent's rows in place of its last ones, and drops those of
 * agents that fell silent. */
void
TakeRows(shared_demand& aShared,
         const std::string& aAgent,
         std::vector<customer_load> aRows,
         time_point aNow);

demand
DemandOf(const shared_demand& aShared, const std::string& aCustomer);

/** The share of a customer's limits that one entry may use.
 *
 * Each entry counts for one request more than it has in flight, so that one
 * without requests keeps a part to begin with. The shares of all entries add
 * up to one whenever they see the same reports, and follow the demand at the
 * pace of the reports. */
double
EntryShare(const demand& aDemand, std::size_t aEntries);

} // namespace lavender::admission
