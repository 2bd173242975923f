#include "Duties/Batches/RecentEnds.h"

#include <boost/test/unit_test.hpp>
#include <limits>

using namespace lavender;
using namespace lavender::batches;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kServers = 9;
const time_point kStart{};

} // namespace

BOOST_AUTO_TEST_SUITE(TestRecentEnds)

// Guards against sound items that are barred where servers end in series.
BOOST_AUTO_TEST_CASE(ALastRunWaitsWhileServersEndWithoutTheItem)
{
  recent_ends ends;
  BOOST_TEST(!MustLastRunWait(ends, kServers, 0, 0ms, kStart));
  RecordEnd(ends, { "s1", 1 }, kStart);
  BOOST_TEST(MustLastRunWait(ends, kServers, 0, 0ms, kStart));
  BOOST_TEST(!MustLastRunWait(ends, kServers, 0, 0ms, kStart + kRecentEndTime));
}

// Guards against an item that waits for calm because the directory shows late
// that its own servers ended.
BOOST_AUTO_TEST_CASE(AnEndThatIsSeenTwiceIsOneEnd)
{
  recent_ends ends;
  RecordEnd(ends, { "s1", 1 }, kStart);
  const auto later = kStart + 2 * kRecentEndTime;
  ForgetOldEnds(ends, later);
  RecordEnd(ends, { "s1", 1 }, later);
  BOOST_TEST(!MustLastRunWait(ends, kServers, 0, 0ms, later));
  ForgetOldEnds(ends, kStart + kEndMemory);
  BOOST_TEST(ends.empty());
}

// Guards against a sound item whose last run follows the end of its second
// server at once, into the same series.
BOOST_AUTO_TEST_CASE(TheEndsOfTheItemsOwnServersAreRecentToo)
{
  recent_ends ends;
  for (const auto* server : { "s1", "s2" }) {
    RecordEnd(ends, { server, 1 }, kStart);
  }
  BOOST_TEST(MustLastRunWait(ends, kServers, 0, 0ms, kStart));
  BOOST_TEST(!MustLastRunWait(ends, kServers, 0, 0ms, kStart + kRecentEndTime));
}

// Guards against a sound item that is barred because its last run was sent
// between the ends of a series.
BOOST_AUTO_TEST_CASE(ALastRunWaitsLongerWhileServersEndInSeries)
{
  recent_ends ends;
  for (int i = 0; i < 3; ++i) {
    RecordEnd(ends, { "s" + std::to_string(i), 1 }, kStart + i * 4s);
  }
  const auto last = kStart + 2 * 4s;
  const auto mustWait = [&](milliseconds aSinceLast) {
    return MustLastRunWait(ends, kServers, 0, 0ms, last + aSinceLast);
  };
  BOOST_TEST(mustWait(kRecentEndTime));
  BOOST_TEST(mustWait(kSeriesEndTime - 1ms));
  BOOST_TEST(!mustWait(kSeriesEndTime));
  ends.erase({ "s0", 1 });
  BOOST_TEST(!mustWait(kRecentEndTime));
}

// Guards against items that wait for ever in a large pool, where some server
// ends at any time.
BOOST_AUTO_TEST_CASE(AFewEndsAmongManyServersAreCalm)
{
  recent_ends ends;
  constexpr std::size_t kManyServers = 400;
  for (int i = 0; i < 20; ++i) {
    RecordEnd(ends, { "s" + std::to_string(i), 1 }, kStart);
  }
  BOOST_TEST(!MustLastRunWait(ends, kManyServers, 0, 0ms, kStart));
  RecordEnd(ends, { "s20", 1 }, kStart);
  BOOST_TEST(MustLastRunWait(ends, kManyServers, 0, 0ms, kStart));
}

// Guards against a last run that an entry sends because it has just started and
// saw no server end.
BOOST_AUTO_TEST_CASE(ServersThatJustStartedShowRecentEnds)
{
  constexpr milliseconds kWallClock{ 1000000 };
  site::server_directory directory;
  site::backend_server server;
  server.mId = "s1";
  server.mStartedAt = (kWallClock - kRecentEndTime).count();
  directory.mRows["s1"] = { server, std::nullopt, {}, {} };
  BOOST_TEST(CountYoungServers(directory, {}, kWallClock) == 0u);
  ++directory.mRows["s1"].mServer.mStartedAt;
  BOOST_TEST(CountYoungServers(directory, {}, kWallClock) == 1u);
  BOOST_TEST(MustLastRunWait({}, kServers, 1, 0ms, kStart));
}

// Guards against a last run that waits for as long as an operator renews the
// servers one after the other, though none ends under a run.
BOOST_AUTO_TEST_CASE(YoungServersHoldALastRunForAShortTime)
{
  BOOST_TEST(MustLastRunWait({}, kServers, 1, kRecentEndTime - 1ms, kStart));
  BOOST_TEST(!MustLastRunWait({}, kServers, 1, kRecentEndTime, kStart));
  recent_ends ends;
  RecordEnd(ends, { "s1", 1 }, kStart);
  BOOST_TEST(MustLastRunWait(ends, kServers, 1, kRecentEndTime, kStart));
}

// Guards against last runs that wait for ever because of one server whose clock
// is ahead.
BOOST_AUTO_TEST_CASE(AServerWhoseClockIsAheadIsNotYoung)
{
  constexpr milliseconds kWallClock{ 1000000 };
  site::server_directory directory;
  site::backend_server server;
  server.mId = "s1";
  for (const auto startedAt : { (kWallClock + kRecentEndTime).count(),
                                std::numeric_limits<std::int64_t>::max() }) {
    server.mStartedAt = startedAt;
    directory.mRows["s1"] = { server, std::nullopt, {}, {} };
    BOOST_TEST(CountYoungServers(directory, {}, kWallClock) == 0u);
  }
}

// Guards against a sound item that waits for calm until its time is over
// because one machine of the site ends and starts again every two seconds.
BOOST_AUTO_TEST_CASE(OneServerThatEndsAgainAndAgainDoesntHoldTheLastRuns)
{
  recent_ends ends;
  constexpr int kStarts = 20;
  for (int start = 1; start <= kStarts; ++start) {
    const auto now = kStart + start * 2s;
    ForgetOldEnds(ends, now);
    RecordEnd(ends, { "s1", start }, now);
  }
  BOOST_TEST(
    !MustLastRunWait(ends, kServers, 0, 0ms, kStart + kStarts * 2s + 1900ms));
}

// Guards against an end that isn't counted under the runs that were moved off a
// server because that server had ended twice shortly before.
BOOST_AUTO_TEST_CASE(EachEndOfOneServerIsRecorded)
{
  recent_ends ends;
  constexpr int kStarts = 4;
  for (int start = 1; start <= kStarts; ++start) {
    RecordEnd(ends, { "s1", start }, kStart + start * 2s);
  }
  for (int start = 1; start <= kStarts; ++start) {
    BOOST_TEST(ends.count({ "s1", start }) == 1u);
  }
}

BOOST_AUTO_TEST_SUITE_END()
