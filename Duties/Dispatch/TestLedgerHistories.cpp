#include "Duties/Dispatch/TestHistoryModel.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace lavender;
using namespace lavender::dispatch;

namespace {

constexpr int kMaximumHistoryLength = 250;

} // namespace

BOOST_AUTO_TEST_SUITE(TestLedgerHistories)

// A request that may not be repeated must not run twice, nor after its caller
// was told "not run". Messages between entry and agent may be delayed,
// duplicated, reordered or lost, agents and entries may crash, and responses of
// the platform may be lost. Histories of such events are generated, and an
// oracle counts the actual runs.
BOOST_AUTO_TEST_CASE(InvariantsHoldInAnyOrderOfMessages)
{
  model::fault_counts faults;
  const bool isKept = rc::check("promises hold in every history", [&] {
    // Full size from the first history on, because short ones rarely get past
    // the first attempts.
    const auto choices =
      *rc::gen::resize(kMaximumHistoryLength,
                       rc::gen::container<std::vector<std::uint32_t>>(
                         rc::gen::inRange<std::uint32_t>(0, 1u << 24)));
    model::simulation simulation(faults);
    for (const auto choice : choices) {
      simulation.Step(choice);
      RC_ASSERT(simulation.Violation() == "");
    }
    RC_ASSERT(simulation.Check() == "");
  });
  BOOST_TEST(isKept);
  for (const char* fault : { "reordered",
                             "doubled",
                             "dropped",
                             "silence",
                             "late_answer",
                             "arrived_after_its_timeout",
                             "lost_with_its_process",
                             "asked_a_successor",
                             "agent_died",
                             "agent_restarted",
                             "entry_died",
                             "stopped",
                             "connection_refused",
                             "connection_timed_out",
                             "server_refused_the_connection",
                             "answer_cut",
                             "cancelled",
                             "cancelled_before_arrival",
                             "queue_full",
                             "draining",
                             "other_incarnation",
                             "order_too_old",
                             "forgotten",
                             "abandoned",
                             "deadline",
                             "retried",
                             "record_replaced",
                             "followed_another",
                             "records_removed",
                             "platform_gave_no_answer",
                             "answer_lost_after_the_write",
                             "told_answer",
                             "told_not_run",
                             "told_unknown" }) {
    BOOST_TEST_CONTEXT("fault " << fault)
    {
      BOOST_TEST(faults[fault] > 0);
    }
    BOOST_TEST_MESSAGE(fault << " " << faults[fault]);
  }
}

BOOST_AUTO_TEST_SUITE_END()
