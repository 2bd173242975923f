#include "Duties/Forwarding/StopDecision.h"

#include <boost/test/unit_test.hpp>

using namespace lavender;
using namespace lavender::forwarding;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(TestStopDecision)

// Guards against refusing what fast servers answer in time: callers come for
// seconds after the signal, and their own deadlines are long.
BOOST_AUTO_TEST_CASE(AFastServerServesLongDeadlinesUntilTheEnd)
{
  for (const auto left : { 7400ms, 3000ms, 1000ms, 200ms }) {
    BOOST_TEST(CanEndInTime({ left, 10s, 25ms }));
  }
  BOOST_TEST(!CanEndInTime({ 110ms, 10s, 25ms }));
}

// Guards against a request that a server has when the process ends.
BOOST_AUTO_TEST_CASE(ASlowServersRequestIsRefusedWhenTooLittleIsLeft)
{
  BOOST_TEST(CanEndInTime({ 7400ms, 10s, 3000ms }));
  BOOST_TEST(!CanEndInTime({ 3500ms, 10s, 3000ms }));
  BOOST_TEST(!CanEndInTime({ 3000ms, 10s, 3000ms }));
}

// Guards against trust in servers of which nothing is known: the request's own
// limit decides.
BOOST_AUTO_TEST_CASE(WithoutKnowledgeTheOwnLimitDecides)
{
  BOOST_TEST(!CanEndInTime({ 7400ms, 10s, std::nullopt }));
  BOOST_TEST(CanEndInTime({ 7400ms, 2s, std::nullopt }));
}

// Guards against a refusal of what ends by its own limit, however slow its
// server is.
BOOST_AUTO_TEST_CASE(AShortLimitEndsInTimeAtAnyServer)
{
  BOOST_TEST(CanEndInTime({ 2000ms, 1s, 60s, 60s }));
  BOOST_TEST(!CanEndInTime({ 1000ms, 1s, 60s, 60s }));
}

// Guards against trust in old times of a server that has become slow: its
// requests are still under way and none has ended.
BOOST_AUTO_TEST_CASE(ARequestUnderWayTellsOfASlowServer)
{
  BOOST_TEST(CanEndInTime({ 4s, 10s, 25ms, 2s }));
  BOOST_TEST(!CanEndInTime({ 4s, 10s, 25ms, 3500ms }));
}

BOOST_AUTO_TEST_CASE(NothingIsTakenOnceAnswersEnd)
{
  BOOST_TEST(!CanEndInTime({ 0ms, 0ms, 1ms }));
  BOOST_TEST(!CanEndInTime({ -500ms, 10ms, 1ms }));
}

// Guards against one slow request that counts for ever, and against one that
// is forgotten at once.
BOOST_AUTO_TEST_CASE(TheLongestOfTheLatestRequestsCounts)
{
  recent_durations durations;
  BOOST_TEST(!LongestOf(durations).has_value());
  RecordDuration(durations, 3000ms, request_end::ByServer);
  for (std::size_t i = 1; i < kRememberedRequests; ++i) {
    RecordDuration(durations, 25ms, request_end::ByServer);
    BOOST_TEST((LongestOf(durations) == 3000ms));
  }
  RecordDuration(durations, 30ms, request_end::ByServer);
  BOOST_TEST((LongestOf(durations) == 30ms));
}

// Guards against a server that hangs and seems to take as long as its callers
// wait.
BOOST_AUTO_TEST_CASE(ARequestThatWasBrokenOffTellsNoServersTime)
{
  recent_durations durations;
  RecordDuration(durations, 1000ms, request_end::BrokenOff);
  BOOST_TEST(!LongestOf(durations).has_value());
  RecordDuration(durations, 25ms, request_end::ByServer);
  BOOST_TEST(!LongestOf(durations).has_value());
  RecordDuration(durations, 1200ms, request_end::ByServer);
  BOOST_TEST((LongestOf(durations) == 1200ms));
}

BOOST_AUTO_TEST_SUITE_END()
