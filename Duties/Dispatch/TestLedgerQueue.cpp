#include "Duties/Dispatch/Ledger.h"

#include <boost/test/unit_test.hpp>

using namespace lavender;
using namespace lavender::dispatch;
using namespace std::chrono_literals;
using wire::run_state;

namespace {

wire::dispatch_order
MakeOrder(const std::string& aId, const std::string& aCustomer)
{
  wire::dispatch_order order;
  order.request_id = aId;
  order.agent_incarnation = "agent";
  order.customer = aCustomer;
  order.cost_tokens = 10;
  order.deadline_left_ms = 60000;
  return order;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestLedgerQueue)

// When the queue is full of one customer's requests, a customer below its share
// would be refused. Instead a request of the first customer is displaced; it is
// reported as "not run" and must never start afterwards.
BOOST_AUTO_TEST_CASE(ADisplacedRequestNeverRuns)
{
  ledger_limits limits;
  limits.mMaximumQueued = 3;
  limits.mSlots = 1;
  ledger ledger;
  ledger.mIncarnation = "agent";
  ledger.mLimits = limits;
  const time_point now(0s);
  for (const char* id : { "a1", "a2", "a3" }) {
    BOOST_TEST(
      (Admit(ledger, MakeOrder(id, "large"), now).mState == run_state::QUEUED));
  }
  const auto refused = Admit(ledger, MakeOrder("a4", "large"), now);
  BOOST_TEST((refused.mState == run_state::NOT_RUN));
  BOOST_TEST(refused.mReason == "queue_full");
  BOOST_TEST((refused.mRetryAfter > 0ms));
  BOOST_TEST(
    (Admit(ledger, MakeOrder("b1", "small"), now).mState == run_state::QUEUED));
  const auto displaced = Query(ledger, "a3", now);
  BOOST_TEST((displaced.mState == run_state::NOT_RUN));
  BOOST_TEST(displaced.mReason == "displaced");
  BOOST_TEST((displaced.mRetryAfter > 0ms));

  std::vector<std::string> ran;
  while (const auto order = StartNextRun(ledger, now)) {
    ran.push_back(order->request_id);
    Finish(ledger, order->request_id, run_state::FINISHED, "", {}, now);
  }
  BOOST_TEST((ran == std::vector<std::string>{ "a1", "b1", "a2" }));
  BOOST_TEST(ledger.mRunningCost == 0);
}

// A request that was cancelled while queued, or whose order arrives after the
// cancel, was reported as "not run" and must never start.
BOOST_AUTO_TEST_CASE(CancelledRequestsNeverStart)
{
  ledger ledger;
  ledger.mIncarnation = "agent";
  const time_point now(0s);
  Admit(ledger, MakeOrder("a1", "large"), now);
  BOOST_TEST((Cancel(ledger, "a1", now, now).mState == run_state::NOT_RUN));
  BOOST_TEST((Cancel(ledger, "a2", now, now).mState == run_state::NOT_RUN));
  BOOST_TEST((Admit(ledger, MakeOrder("a2", "large"), now).mState ==
              run_state::NOT_RUN));
  BOOST_TEST(!StartNextRun(ledger, now).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
