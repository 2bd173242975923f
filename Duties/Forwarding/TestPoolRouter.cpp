#include "Duties/Forwarding/PoolRouter.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

using namespace lavender;
using namespace std::chrono_literals;

namespace {

/** An entry with servers "a" and "b" in one pool. */
struct two_servers
{
  two_servers()
  {
    mRoute.mPools = { { "pool", 1 } };
    Start("a", 1);
    Start("b", 1);
  }

  void Start(const std::string& aId, std::int64_t aStartedAt)
  {
    site::backend_server server;
    server.mId = aId;
    server.mPool = "pool";
    server.mSlots = 8;
    server.mStartedAt = aStartedAt;
    site::ApplyServer(mDirectory, server, boot_clock::now());
    mRouter.SyncServers(boot_clock::now());
  }

  /** Number of 200 selections that fall on a server, none of them sent. */
  int Selections(const std::string& aId)
  {
    int selected = 0;
    for (int i = 0; i < 200; ++i) {
      const auto pick = mRouter.SelectServer(mRoute, nullptr, {});
      selected += pick && pick->mServer.mId == aId ? 1 : 0;
    }
    return selected;
  }

  site::route mRoute;
  site::server_directory mDirectory;
  site::configuration_ptr mConfiguration;
  metrics::registry mMetrics;
  site::send_limits mLimits{ mDirectory, mConfiguration, [](const auto&) {
                              return true;
                            } };
  site::server_loads mLoads{ mDirectory, mMetrics, [](const auto&) {
                              return 0;
                            } };
  boost::asio::io_context mLoop;
  edge::client_pool mClients{ mLoop };
  forwarding::pool_router mRouter{ mDirectory,
                                   mLimits,
                                   mLoads,
                                   mClients,
                                   "zone" };
};

} // namespace

BOOST_AUTO_TEST_SUITE(TestPoolRouter)

// Guards against callers' requests sent to a server that is full of runs.
BOOST_AUTO_TEST_CASE(TheLoadThatARunLearnsCountsForCallers)
{
  two_servers site;
  site.mLoads.Record("a", { 8, 20, 8, {} }, boot_clock::now());
  BOOST_TEST(site.Selections("a") < 80);
  BOOST_TEST(site.Selections("b") > 120);
  const auto pick = site.mRouter.SelectServer(site.mRoute, nullptr, { "b" });
  BOOST_REQUIRE(pick);
  BOOST_TEST(pick->mRequests == 28);
}

// Guards against all requests on one server whose load can't be true.
BOOST_AUTO_TEST_CASE(AnImpossibleLoadMovesNoRequests)
{
  two_servers site;
  site.mLoads.Record("a", { 2, 0, 8, {} }, boot_clock::now());
  site.mLoads.Record("b", { -1000, 0, 8, 0.0 }, boot_clock::now());
  site.mLoads.Record("b", { 2, 0, 8, {} }, boot_clock::now());
  site.mLoads.Record("a", { 100000, 0, 8, {} }, boot_clock::now());
  BOOST_TEST(site.Selections("a") > 90);
  BOOST_TEST(site.Selections("b") > 90);
}

// Guards against a restarted server that stays unused because of what it bore
// before.
BOOST_AUTO_TEST_CASE(AServerThatStartedAgainIsTakenForEmpty)
{
  two_servers site;
  site.mLoads.Record("a", { 8, 20, 8, 50.0 }, boot_clock::now());
  site.Start("a", 2);
  const auto pick = site.mRouter.SelectServer(site.mRoute, nullptr, { "b" });
  BOOST_REQUIRE(pick);
  BOOST_TEST(pick->mRequests == 0);
  BOOST_TEST(site.Selections("a") > 90);
}

// Guards against callers waiting on a machine that others use at the moment.
BOOST_AUTO_TEST_CASE(ASlowMachineGetsFewerRequestsWhileItIsSlow)
{
  two_servers site;
  const auto now = boot_clock::now();
  site.mLoads.Record("b", { 2, 0, 8, 1.0 }, now + 1h);
  site.mLoads.Record("a", { 2, 0, 8, 5.0 }, now + 1h);
  BOOST_TEST(site.Selections("a") < 80);
  BOOST_TEST(site.Selections("b") > 120);
  site.mLoads.Record("a", { 2, 0, 8, 5.0 }, now + 1h);
  site.mLoads.Record("a", { 2, 0, 8, 1.0 }, now + 1h + 1ms);
  BOOST_TEST(site.Selections("a") > 90);
}

// Guards against a request that waits for one server although it takes no work
// any more or isn't of the route.
BOOST_AUTO_TEST_CASE(AServerIsSelectedByNameOnlyWhileItTakesRequestsOfTheRoute)
{
  two_servers site;
  const site::server_start first{ "a", 1 };
  const auto pick = site.mRouter.SelectThis(site.mRoute, nullptr, first);
  BOOST_REQUIRE(pick);
  BOOST_TEST(pick->mServer.mId == "a");
  BOOST_TEST(pick->mPool == "pool");
  BOOST_TEST(!site.mRouter.SelectThis(site.mRoute, nullptr, { "c", 1 }));
  auto other = site.mRoute;
  other.mPools = { { "pool", 0 }, { "other", 1 } };
  BOOST_TEST(!site.mRouter.SelectThis(other, nullptr, first));
  site.Start("a", 2);
  BOOST_TEST(!site.mRouter.SelectThis(site.mRoute, nullptr, first));
  auto leaving = site.mDirectory.mRows.at("b").mServer;
  leaving.mIsLeaving = true;
  site::ApplyServer(site.mDirectory, leaving, boot_clock::now());
  site.mRouter.SyncServers(boot_clock::now());
  BOOST_TEST(!site.mRouter.SelectThis(site.mRoute, nullptr, { "b", 1 }));
}

BOOST_AUTO_TEST_SUITE_END()
