#include "Duties/Samples/Pace.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace lavender;
using namespace lavender::samples;
using namespace std::chrono_literals;

namespace {

pace_table
MakeTable(milliseconds aSlowElapsed)
{
  pace_table table;
  for (int i = 0; i < 20; ++i) {
    for (const char* fast : { "engine-1", "engine-2", "engine-3" }) {
      NotePace(table, fast, 2000ms, 100);
    }
    NotePace(table, "engine-4", aSlowElapsed, 100);
  }
  return table;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestPace)

// One server makes tokens ten times slower than the rest, and the step waits
// for its last samples.
BOOST_AUTO_TEST_CASE(MovesTheLastSamplesOfASlowServerOnce)
{
  const auto table = MakeTable(20000ms);
  running_sample sample{ "engine-4", 1000ms, 400, true, false };
  BOOST_TEST(FindReasonToMove(table, {}, sample) == "server_slow");
  sample.mWasMoved = true;
  BOOST_TEST(FindReasonToMove(table, {}, sample) == "");
  sample.mWasMoved = false;
  sample.mIsLastOfStep = false;
  BOOST_TEST(FindReasonToMove(table, {}, sample) == "");
  sample.mIsLastOfStep = true;
  sample.mServer = "engine-1";
  BOOST_TEST(FindReasonToMove(table, {}, sample) == "");
  sample.mServer = "never-seen";
  BOOST_TEST(FindReasonToMove(table, {}, sample) == "");
}

// The same with two servers, where the slow one makes up half of any mean.
BOOST_AUTO_TEST_CASE(SeesTheSlowServerOfTwo)
{
  pace_table table;
  NotePace(table, "engine-1", 500ms, 100);
  NotePace(table, "engine-2", 10000ms, 100);
  BOOST_TEST(
    FindReasonToMove(table, {}, { "engine-2", 100ms, 100, true, false }) ==
    "server_slow");
  BOOST_TEST(
    FindReasonToMove(table, {}, { "engine-1", 100ms, 100, true, false }) == "");
}

// An engine hangs in one generation: it counts as overdue when even the
// longest answer would be over, and never before.
BOOST_AUTO_TEST_CASE(NoAnswerThatKeepsItsServersPaceIsOverdue)
{
  const auto table = MakeTable(2000ms);
  BOOST_TEST(
    FindReasonToMove(table, {}, { "engine-1", 10100ms, 400, true, true }) ==
    "sample_overdue");
  BOOST_TEST(
    rc::check("an answer of any length at its server's pace is left", [&] {
      const auto maximum = *rc::gen::inRange<std::int64_t>(1, 4000);
      const auto tokens = *rc::gen::inRange<std::int64_t>(0, maximum + 1);
      const running_sample sample{
        "engine-1", milliseconds(tokens * 20), maximum, true, true
      };
      RC_ASSERT(FindReasonToMove(table, {}, sample).empty());
    }));
}

BOOST_AUTO_TEST_SUITE_END()
