#include "Duties/Admission/CustomerLimits.h"
#include "Duties/Admission/SharedDemand.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <numeric>
#include <rapidcheck.h>

using namespace lavender;
using namespace lavender::admission;
using namespace std::chrono_literals;

namespace {

constexpr int kLimit = 60;

/** Requests that a customer has in flight at each entry, after that many
 * rounds of reports, when it wants that many at each. */
std::vector<int>
Settle(const std::vector<int>& aWanted, int aRounds)
{
  std::vector<int> held(aWanted.size(), 0);
  for (int round = 0; round < aRounds; ++round) {
    const int all = std::accumulate(held.begin(), held.end(), 0);
    std::vector<int> next;
    for (std::size_t i = 0; i < held.size(); ++i) {
      const double share = EntryShare({ all, held[i] }, held.size());
      next.push_back(std::min(aWanted[i], static_cast<int>(kLimit * share)));
    }
    held = next;
  }
  return held;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestSharedDemand)

// A customer's callers all reach one of three entries. It pays for sixty
// requests at once and is refused from the twenty-first on.
BOOST_AUTO_TEST_CASE(OneEntryMayUseNearlyTheWholeLimit)
{
  BOOST_TEST(Settle({ 100, 0, 0 }, 1)[0] == kLimit / 3);
  BOOST_TEST(Settle({ 100, 0, 0 }, 12)[0] >= kLimit * 9 / 10);
  const auto two = Settle({ 100, 100, 0 }, 12);
  BOOST_TEST(two[0] + two[1] >= kLimit * 9 / 10);
}

// The sum over all entries must not pass the limit that an even division
// keeps, whatever they hold when they see the reports.
BOOST_AUTO_TEST_CASE(SharesAddUpToTheLimit)
{
  BOOST_TEST(rc::check("shares of all entries", [] {
    const auto held = *rc::gen::container<std::vector<int>>(
      *rc::gen::inRange<std::size_t>(1, 12), rc::gen::inRange(0, 50));
    const int all = std::accumulate(held.begin(), held.end(), 0);
    double sum = 0;
    for (const auto own : held) {
      const auto share = EntryShare({ all, own }, held.size());
      RC_ASSERT(share > 0);
      sum += share;
    }
    RC_ASSERT(sum > 0.999 && sum < 1.001);
    const auto settled = Settle(*rc::gen::container<std::vector<int>>(
                                  held.size(), rc::gen::inRange(0, 100)),
                                *rc::gen::inRange(1, 20));
    RC_ASSERT(std::accumulate(settled.begin(), settled.end(), 0) <= kLimit);
  }));
}

BOOST_AUTO_TEST_CASE(RowsOfAllAgentsAddUp)
{
  BOOST_TEST(rc::check("totals against all rows", [] {
    shared_demand shared;
    std::map<std::string, shared_demand::agent_rows> oracle;
    time_point now(1h);
    const int steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step) {
      now += milliseconds(*rc::gen::inRange(0, 3000));
      const auto agent = std::to_string(*rc::gen::inRange(0, 4));
      std::vector<customer_load> rows;
      for (const char* customer : { "a", "b", "c" }) {
        const int inFlight = *rc::gen::inRange(0, 9);
        if (inFlight > 0) {
          rows.push_back(
            { customer, inFlight, *rc::gen::inRange(0, inFlight + 1) });
        }
      }
      TakeRows(shared, agent, rows, now);
      oracle[agent] = { rows, now };
      for (const char* customer : { "a", "b", "c" }) {
        demand sum;
        for (const auto& [name, told] : oracle) {
          for (const auto& row : told.mRows) {
            if (row.mCustomer == customer && now - told.mReceivedAt <= 5s) {
              sum.mInFlight += row.mInFlight;
              sum.mOwn += row.mOwn;
            }
          }
        }
        const auto told = DemandOf(shared, customer);
        RC_ASSERT(told.mInFlight == sum.mInFlight);
        RC_ASSERT(told.mOwn == sum.mOwn);
      }
    }
  }));
}

BOOST_AUTO_TEST_SUITE_END()
