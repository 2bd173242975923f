#include "Duties/Dispatch/Ledger.h"

#include <boost/test/unit_test.hpp>

using namespace lavender;
using namespace lavender::dispatch;
using namespace std::chrono_literals;
using wire::run_state;

namespace {

wire::dispatch_order
OrderAt(int aNumber, time_point aIssuedAt)
{
  wire::dispatch_order order;
  order.request_id = "request " + std::to_string(aNumber);
  order.deadline_left_ms = 60000;
  order.issued_at_ms =
    std::chrono::duration_cast<milliseconds>(aIssuedAt.time_since_epoch())
      .count();
  return order;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestLedgerBounds)

// An overloaded agent refuses thousands of requests per second, and its ledger
// must not grow with each. An order whose row was evicted early must still
// never run: a second copy, delayed by a few seconds, no longer finds the row.
BOOST_AUTO_TEST_CASE(RefusalsStayBoundedAndEvictedOrdersNeverRun)
{
  ledger ledger;
  auto now = time_point(5000s);
  int refused = 0;
  constexpr int kOrders = 200000;
  for (int i = 0; i < kOrders; ++i) {
    now += 50us;
    const auto status = Admit(ledger, OrderAt(i, now), now);
    refused += status.mState == run_state::NOT_RUN ? 1 : 0;
  }
  BOOST_TEST(refused > kOrders - 100);
  BOOST_TEST(ledger.mRows.size() <= ledger.mLimits.mMaximumEnded + 100);
  // Empties the queue, so that only the check for evicted rows refuses orders.
  RefuseQueued(ledger, "draining", now);
  int queuedCopies = 0;
  for (int i = 0; i < kOrders; i += 97) {
    const auto issuedAt = time_point(5000s) + 50us * (i + 1);
    const auto status = Admit(ledger, OrderAt(i, issuedAt), now);
    queuedCopies += status.mState == run_state::QUEUED ? 1 : 0;
  }
  BOOST_TEST(queuedCopies == 0);
  const auto fresh = Admit(ledger, OrderAt(kOrders, now), now);
  BOOST_TEST(fresh.mState == run_state::QUEUED);
}

// Results of 1 MiB each aren't all kept. The outcome of a request whose result
// was evicted is unknown, never "not run".
BOOST_AUTO_TEST_CASE(EvictedResultsAreUnknownOutcomes)
{
  ledger ledger;
  auto now = time_point(5000s);
  const auto first = now;
  for (int i = 0; i < 40; ++i) {
    now += 1s;
    Admit(ledger, OrderAt(i, now), now);
    const auto order = StartNextRun(ledger, now);
    BOOST_REQUIRE(order);
    wire::run_result result;
    result.body.assign(1u << 20, 'x');
    Finish(ledger, order->request_id, run_state::FINISHED, "", result, now);
  }
  BOOST_TEST(ledger.mResultBytes <= ledger.mLimits.mMaximumResultBytes);
  const auto dropped = Cancel(ledger, "request 0", first + 1s, now);
  BOOST_TEST(dropped.mState == run_state::OUTCOME_UNKNOWN);
  const auto kept = Cancel(ledger, "request 39", now, now);
  BOOST_TEST(kept.mState == run_state::FINISHED);
}

BOOST_AUTO_TEST_SUITE_END()
