#pragma once

#include "Libraries/Core/Clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace lavender::admission {

/** Requests of one customer at one agent, queued or running. */
struct customer_load
{
  std::string mCustomer;
  int mInFlight = 0;
  /** Those of mInFlight that this entry sent. */
  int mOwn = 0;
};

/** One customer's requests in flight at all agents, by the agents' reports. */
struct customer_demand
{
  int mInFlight = 0;
  int mOwn = 0;
};

/** Last reports of the agents of all servers. Agents receive requests from all
 * entries, so each entry learns the load of the others without contacting them.
 */
struct shared_demand
{
  struct agent_loads
  {
    std::vector<customer_load> mLoads;
    time_point mReceivedAt;
  };

  std::map<std::string, agent_loads> mAgents;
  std::map<std::string, customer_demand> mCustomers;
};

/** Replaces one agent's report, and removes the reports of agents that haven't
 * sent one for some time. */
void
ApplyAgentLoads(shared_demand& aShared,
                const std::string& aAgent,
                std::vector<customer_load> aLoads,
                time_point aNow);

customer_demand
DemandOf(const shared_demand& aShared, const std::string& aCustomer);

/** Share of a customer's limits that one entry may use.
 *
 * Each entry counts with one request more than it has in flight, so that an
 * entry without requests still has a share to start with. The shares of all
 * entries add up to one when they have the same reports, and follow the demand
 * with the delay of the reports. */
double
EntryShare(const customer_demand& aDemand, std::size_t aEntries);

} // namespace lavender::admission
