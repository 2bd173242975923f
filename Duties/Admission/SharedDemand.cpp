#include "Duties/Admission/SharedDemand.h"

#include <algorithm>

namespace lavender::admission {
namespace {

using namespace std::chrono_literals;

/** Several polls; an agent silent for longer may be gone with its load. */
constexpr milliseconds kForgetAfter = 5000ms;

void
Add(shared_demand& aShared, const std::vector<customer_load>& aRows, int aSign)
{
  for (const auto& row : aRows) {
    auto& demand = aShared.mCustomers[row.mCustomer];
    demand.mInFlight += aSign * row.mInFlight;
    demand.mOwn += aSign * row.mOwn;
    if (demand.mInFlight == 0 && demand.mOwn == 0) {
      aShared.mCustomers.erase(row.mCustomer);
    }
  }
}

} // namespace

void
TakeRows(shared_demand& aShared,
         const std::string& aAgent,
         std::vector<customer_load> aRows,
         time_point aNow)
{
  auto& agent = aShared.mAgents[aAgent];
  Add(aShared, agent.mRows, -1);
  agent.mRows = std::move(aRows);
  agent.mReceivedAt = aNow;
  Add(aShared, agent.mRows, 1);
  for (auto one = aShared.mAgents.begin(); one != aShared.mAgents.end();) {
    if (aNow - one->second.mReceivedAt <= kForgetAfter) {
      ++one;
      continue;
    }
    Add(aShared, one->second.mRows, -1);
    one = aShared.mAgents.erase(one);
  }
}

demand
DemandOf(const shared_demand& aShared, const std::string& aCustomer)
{
  const auto found = aShared.mCustomers.find(aCustomer);
  return found == aShared.mCustomers.end() ? demand() : found->second;
}

double
EntryShare(const demand& aDemand, std::size_t aEntries)
{
  const auto entries = static_cast<double>(std::max<std::size_t>(aEntries, 1));
  const double own = std::clamp(aDemand.mOwn, 0, aDemand.mInFlight);
  return (own + 1) / (aDemand.mInFlight + entries);
}

} // namespace lavender::admission
