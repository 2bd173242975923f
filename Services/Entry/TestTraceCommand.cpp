#include "Services/Entry/TraceCommand.h"

#include <boost/test/unit_test.hpp>

using namespace lavender;

BOOST_AUTO_TEST_SUITE(TestTraceCommand)

// An engineer knows only the id of an item that missed its step. Its lines and
// those of its batch come in order from the logs of two entries, one of them
// with a collector's prefix, and nothing of other batches.
BOOST_AUTO_TEST_CASE(TellsAnItemsStoryFromManyLogs)
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
  const auto story = entry::TraceRequest({ first, second }, "i1");
  BOOST_REQUIRE(story.size() == 3u);
  BOOST_TEST(story[0].mText == "batch_accepted batch=b1");
  BOOST_TEST(story[1].mProcess == "b");
  BOOST_TEST(story[2].mText == "item_sent request=i1 batch=b1");
  BOOST_TEST(entry::TraceRequest({ first, second }, "unknown").empty());
}

// An item missed its step, and nothing was wrong with its run: the call that
// scored it went to two servers. Its id leads to the same lines.
BOOST_AUTO_TEST_CASE(TellsWhatTheRewardCallOfAnItemDid)
{
  const std::string log =
    R"({"at_ms":1,"process":"a","event":"item_run_ended","request":"i1","batch":"b1"}
{"at_ms":2,"process":"a","event":"reward_sent","request":"i1","reward":"r1"}
{"at_ms":3,"process":"a","event":"reward_answered","request":"i1","reward":"r1"})";
  BOOST_TEST(entry::TraceRequest({ log }, "i1").size() == 3u);
  BOOST_TEST(entry::TraceRequest({ log }, "r1").size() == 2u);
}

BOOST_AUTO_TEST_SUITE_END()
