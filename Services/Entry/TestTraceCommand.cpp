#include "Services/Entry/TraceCommand.h"

#include <boost/test/unit_test.hpp>

using namespace lavender;

BOOST_AUTO_TEST_SUITE(TestTraceCommand)

// Guards against a trace by item id that misses lines of the item or its batch,
// or includes other batches. The logs come from two entries, one of them with a
// log collector's prefix.
BOOST_AUTO_TEST_CASE(TracesAnItemAcrossLogs)
{
  const std::string first =
    R"({"at_ms":10,"process":"a","event":"batch_accepted","batch":"b1"}
{"at_ms":12,"process":"a","event":"item_sent","request":"i1","batch":"b1"}
{"at_ms":13,"process":"a","event":"item_sent","request":"i2","batch":"b1"}
{"at_ms":30,"process":"a","event":"batch_accepted","batch":"b2"}
half a li)";
  const std::string second =
    R"(  4.5 b {"at_ms":11,"process":"b","event":"owner_silent","batch":"b1"}
not a log line)";
  const auto trace = entry::TraceRequest({ first, second }, "i1");
  BOOST_REQUIRE(trace.size() == 3u);
  BOOST_TEST(trace[0].mText == "batch_accepted batch=b1");
  BOOST_TEST(trace[1].mProcess == "b");
  BOOST_TEST(trace[2].mText == "item_sent request=i1 batch=b1");
  BOOST_TEST(entry::TraceRequest({ first, second }, "unknown").empty());
}

// Guards against a trace that omits an item's reward call, which can be the
// cause of a missed step when the item's run succeeded. The reward call's own
// id finds the lines of that call.
BOOST_AUTO_TEST_CASE(TracesTheRewardCallOfAnItem)
{
  const std::string log =
    R"({"at_ms":1,"process":"a","event":"item_run_ended","request":"i1","batch":"b1"}
{"at_ms":2,"process":"a","event":"reward_sent","request":"i1","reward":"r1"}
{"at_ms":3,"process":"a","event":"reward_answered","request":"i1","reward":"r1"})";
  BOOST_TEST(entry::TraceRequest({ log }, "i1").size() == 3u);
  BOOST_TEST(entry::TraceRequest({ log }, "r1").size() == 2u);
}

BOOST_AUTO_TEST_SUITE_END()
