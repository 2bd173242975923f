#include "Duties/Dispatch/TestHistoryModel.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace lavender;
using namespace lavender::dispatch;

namespace {

constexpr int kLongestHistory = 250;

} // namespace

BOOST_AUTO_TEST_SUITE(TestLedgerHistories)

// A caller sees its booking made twice, or made after it was told "not run".
// Messages between entry and agent come late, twice, out of order or never;
// agents and entries die; the platform loses answers. Any order may come, so
// histories are generated and an oracle counts what truly ran.
BOOST_AUTO_TEST_CASE(KeepsItsPromisesInAnyOrderOfMessages)
{
  model::fault_counts faults;
  const bool isKept = rc::check("promises hold in every history", [&] {
    // The full size from the first history on: short ones get nowhere.
    const auto choices =
      *rc::gen::resize(kLongestHistory,
                       rc::gen::container<std::vector<std::uint32_t>>(
                         rc::gen::inRange<std::uint32_t>(0, 1u << 24)));
    model::world world(faults);
    for (const auto choice : choices) {
      world.Step(choice);
      RC_ASSERT(world.Fault() == "");
    }
    RC_ASSERT(world.Check() == "");
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
