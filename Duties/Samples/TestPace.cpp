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
      RecordPace(table, fast, 2000ms, 100);
    }
    RecordPace(table, "engine-4", aSlowElapsed, 100);
  }
  return table;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestPace)

// Guards against a step that waits for its last samples on a server that is ten
// times slower than the others.
BOOST_AUTO_TEST_CASE(MovesTheLastSamplesOfASlowServerOnce)
{
  const auto table = MakeTable(20000ms);
  running_sample sample{ "engine-4", 1000ms, 400, true, false };
  BOOST_TEST(FindMoveReason(table, {}, sample) == "server_slow");
  sample.mWasMoved = true;
  BOOST_TEST(FindMoveReason(table, {}, sample) == "");
  sample.mWasMoved = false;
  sample.mIsLastOfStep = false;
  BOOST_TEST(FindMoveReason(table, {}, sample) == "");
  sample.mIsLastOfStep = true;
  sample.mServer = "engine-1";
  BOOST_TEST(FindMoveReason(table, {}, sample) == "");
  sample.mServer = "never-seen";
  BOOST_TEST(FindMoveReason(table, {}, sample) == "");
}

// The same with two servers, where the slow one would raise a mean so far that
// it isn't detected.
BOOST_AUTO_TEST_CASE(DetectsTheSlowServerOfTwo)
{
  pace_table table;
  RecordPace(table, "engine-1", 500ms, 100);
  RecordPace(table, "engine-2", 10000ms, 100);
  BOOST_TEST(
    FindMoveReason(table, {}, { "engine-2", 100ms, 100, true, false }) ==
    "server_slow");
  BOOST_TEST(
    FindMoveReason(table, {}, { "engine-1", 100ms, 100, true, false }) == "");
}

// Guards against an engine that hangs during one generation. The sample becomes
// overdue when even the longest possible text would be finished, and not
// before.
BOOST_AUTO_TEST_CASE(NoSampleAtItsServersSpeedIsOverdue)
{
  const auto table = MakeTable(2000ms);
  BOOST_TEST(
    FindMoveReason(table, {}, { "engine-1", 10100ms, 400, true, true }) ==
    "sample_overdue");
  BOOST_TEST(
    rc::check("a sample of any length at its server's speed isn't moved", [&] {
      const auto maximum = *rc::gen::inRange<std::int64_t>(1, 4000);
      const auto tokens = *rc::gen::inRange<std::int64_t>(0, maximum + 1);
      const running_sample sample{
        "engine-1", milliseconds(tokens * 20), maximum, true, true
      };
      RC_ASSERT(FindMoveReason(table, {}, sample).empty());
    }));
}

BOOST_AUTO_TEST_SUITE_END()
