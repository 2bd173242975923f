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

// A small customer finds the line full of another's requests and is told that
// the server is busy, though its own share stands unused. The one that makes
// room is told "not run", and it must be true: it never starts afterwards.
BOOST_AUTO_TEST_CASE(AFullLineMakesRoomAndTheDisplacedNeverRuns)
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
  const auto displaced = Ask(ledger, "a3", now);
  BOOST_TEST((displaced.mState == run_state::NOT_RUN));
  BOOST_TEST(displaced.mReason == "displaced");
  BOOST_TEST((displaced.mRetryAfter > 0ms));

  std::vector<std::string> ran;
  while (const auto order = TakeNext(ledger, now)) {
    ran.push_back(order->request_id);
    Finish(ledger, order->request_id, run_state::FINISHED, "", {}, now);
  }
  BOOST_TEST((ran == std::vector<std::string>{ "a1", "b1", "a2" }));
  BOOST_TEST(ledger.mRunningCost == 0);
}

// The dispatch arrives after its cancel, or the cancel reaches it in line:
// "not run" was promised, so neither may start.
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
  BOOST_TEST(!TakeNext(ledger, now).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
