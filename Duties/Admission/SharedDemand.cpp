#include "Duties/Admission/SharedDemand.h"

#include <algorithm>

namespace lavender::admission {
namespace {

using namespace std::chrono_literals;

/** Several polling intervals. An agent without a report for longer may have
 * stopped, and its requests with it. */
constexpr milliseconds kExpireAfter = 5000ms;

void
Add(shared_demand& aShared, const std::vector<customer_load>& aLoads, int aSign)
{
  for (const auto& load : aLoads) {
    auto& demand = aShared.mCustomers[load.mCustomer];
    demand.mInFlight += aSign * load.mInFlight;
    demand.mOwn += aSign * load.mOwn;
    if (demand.mInFlight == 0 && demand.mOwn == 0) {
      aShared.mCustomers.erase(load.mCustomer);
    }
  }
}

} // namespace

void
ApplyAgentLoads(shared_demand& aShared,
                const std::string& aAgent,
                std::vector<customer_load> aLoads,
                time_point aNow)
{
  auto& agent = aShared.mAgents[aAgent];
  Add(aShared, agent.mLoads, -1);
  agent.mLoads = std::move(aLoads);
  agent.mReceivedAt = aNow;
  Add(aShared, agent.mLoads, 1);
  for (auto other = aShared.mAgents.begin(); other != aShared.mAgents.end();) {
    if (aNow - other->second.mReceivedAt <= kExpireAfter) {
      ++other;
      continue;
    }
    Add(aShared, other->second.mLoads, -1);
    other = aShared.mAgents.erase(other);
  }
}

customer_demand
DemandOf(const shared_demand& aShared, const std::string& aCustomer)
{
  const auto found = aShared.mCustomers.find(aCustomer);
  return found == aShared.mCustomers.end() ? customer_demand() : found->second;
}

double
EntryShare(const customer_demand& aDemand, std::size_t aEntries)
{
  const auto entries = static_cast<double>(std::max<std::size_t>(aEntries, 1));
  const double own = std::clamp(aDemand.mOwn, 0, aDemand.mInFlight);
  return (own + 1) / (aDemand.mInFlight + entries);
}

} // namespace lavender::admission
