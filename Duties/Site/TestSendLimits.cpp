#include "Duties/Site/Evacuation.h"
#include "Duties/Site/SendLimits.h"

#include <boost/test/unit_test.hpp>

using namespace lavender;
using namespace lavender::site;
using namespace std::chrono_literals;

namespace {

constexpr time_point kStart{ 1h };

backend_server
Server(const std::string& aId, const std::string& aZone)
{
  backend_server server;
  server.mId = aId;
  server.mPool = "pool";
  server.mAvailabilityZone = aZone;
  server.mRecordRevision = 1;
  return server;
}

/** A pool whose servers warm up for 3 s, in which they bear 10 requests a
 * second. */
configuration_ptr
Configuration()
{
  auto configuration = std::make_shared<site_configuration>();
  server_pool pool;
  pool.mName = "pool";
  pool.mWarmUpTime = 3s;
  pool.mWarmUpRequestsPerSecond = 10;
  configuration->mPools["pool"] = pool;
  return configuration;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestSendLimits)

/** Guards against an old record that is listed again and makes a warm server
 * count as warming for ever. */
BOOST_AUTO_TEST_CASE(OnlyANewRecordChangesWhenAServerIsWarm)
{
  server_directory directory;
  auto server = Server("s", "zone");
  server.mWarmUpLeft = 3s;
  ApplyServer(directory, server, kStart);
  ApplyServer(directory, server, kStart + 2s);
  BOOST_TEST((WarmAt(directory.mRows.at("s")) == kStart + 3s));
  server.mRecordRevision = 2;
  server.mWarmUpLeft = 500ms;
  ApplyServer(directory, server, kStart + 2s);
  BOOST_TEST((WarmAt(directory.mRows.at("s")) == kStart + 2500ms));
}

/** Guards against a herd on a server that has just started: entries other than
 * the designated one send it nothing until it is warm. */
BOOST_AUTO_TEST_CASE(OnlyTheDesignatedEntrySendsToAWarmingServer)
{
  server_directory directory;
  const auto configuration = Configuration();
  auto server = Server("s", "zone");
  server.mWarmUpLeft = 3s;
  ApplyServer(directory, server, kStart);
  const auto& row = directory.mRows.at("s");
  for (const bool isDesignated : { false, true }) {
    send_limits limits(
      directory, configuration, [=](const auto&) { return isDesignated; });
    BOOST_TEST(limits.RequestsLeft(row, kStart + 1s) == (isDesignated ? 5 : 0));
    BOOST_TEST(limits.RequestsLeft(row, kStart + 3s) == 10);
  }
}

BOOST_AUTO_TEST_CASE(RequestsOfAllSendersCountTogether)
{
  server_directory directory;
  const auto configuration = Configuration();
  ApplyServer(directory, Server("s", "zone"), kStart);
  const auto& row = directory.mRows.at("s");
  send_limits limits(
    directory, configuration, [](const auto&) { return true; });
  for (int i = 0; i < 7; ++i) {
    limits.RecordSent(row.mServer, kStart);
  }
  BOOST_TEST(limits.RequestsLeft(row, kStart + 1ms) == 3);
  directory.mRows.clear();
  limits.RemoveStaleState();
  ApplyServer(directory, Server("s", "zone"), kStart);
  BOOST_TEST(limits.RequestsLeft(directory.mRows.at("s"), kStart + 1ms) == 10);
}

/** Guards against work for a zone that the operator has evacuated, and against
 * a herd on its servers at the end of the evacuation, when their own records
 * don't yet say that they warm up. */
BOOST_AUTO_TEST_CASE(AnEvacuatedZoneGetsNothingAndReturnsWarming)
{
  server_directory directory;
  const auto configuration = Configuration();
  ApplyServer(directory, Server("a", "east"), kStart);
  ApplyServer(directory, Server("b", "west"), kStart);
  const auto begun =
    ApplyEvacuations(directory, configuration.get(), { "east" }, kStart);
  BOOST_TEST(begun.mBegun == std::vector<std::string>{ "east" },
             boost::test_tools::per_element());
  BOOST_TEST(begun.mEnded.empty());
  BOOST_TEST(!AcceptsWork(directory, directory.mRows.at("a").mServer));
  BOOST_TEST(AcceptsWork(directory, directory.mRows.at("b").mServer));

  const auto end = kStart + 20s;
  const auto ended = ApplyEvacuations(directory, configuration.get(), {}, end);
  BOOST_TEST(ended.mEnded == std::vector<std::string>{ "east" },
             boost::test_tools::per_element());
  auto stale = Server("a", "east");
  stale.mRecordRevision = 2;
  ApplyServer(directory, stale, end + 1s);
  const auto& row = directory.mRows.at("a");
  BOOST_TEST(AcceptsWork(directory, row.mServer));
  BOOST_TEST((WarmAt(row) == end + 3s));
  BOOST_TEST((WarmAt(directory.mRows.at("b")) <= kStart));
}

BOOST_AUTO_TEST_SUITE_END()
