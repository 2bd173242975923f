#include "Duties/Site/ServerLoads.h"

#include <boost/test/unit_test.hpp>
#include <limits>
#include <rapidcheck.h>

using namespace lavender;
using namespace lavender::site;
using namespace std::chrono_literals;

namespace {

const time_point kNow(1h);

/** An entry that knows server "s". */
struct known_server
{
  known_server() { Start(1); }

  void Start(std::int64_t aStartedAt)
  {
    backend_server server;
    server.mId = "s";
    server.mSlots = 8;
    server.mStartedAt = aStartedAt;
    ApplyServer(mDirectory, server, kNow);
  }

  std::uint64_t Ignored(const char* aFigure) const
  {
    return mMetrics.Counter("lavender_server_load_ignored_total",
                            { { "figure", aFigure } });
  }

  server_directory mDirectory;
  metrics::registry mMetrics;
  int mOwnRuns = 0;
  server_loads mLoads{ mDirectory, mMetrics, [this](const std::string&) {
                        return mOwnRuns;
                      } };
};

server_load
Load(int aRunning,
     int aWaiting,
     int aSlots,
     std::optional<double> aSlowdown = {})
{
  return { aRunning, aWaiting, aSlots, aSlowdown };
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestServerLoads)

BOOST_AUTO_TEST_CASE(OwnRunsAreTakenOffTheReportedLoad)
{
  known_server site;
  site.mOwnRuns = 4;
  site.mLoads.Record("s", Load(7, 2, 8), kNow);
  BOOST_REQUIRE(site.mLoads.Find("s", kNow));
  BOOST_TEST(site.mLoads.Find("s", kNow)->mRequests == 9);
  BOOST_TEST(site.mLoads.Find("s", kNow)->mOtherRequests == 5);
  site.mLoads.Record("s", Load(1, 0, 8), kNow);
  BOOST_TEST(site.mLoads.Find("s", kNow)->mOtherRequests == 0);
}

// Guards against own runs that have ended since being taken for others' load.
BOOST_AUTO_TEST_CASE(OwnRunsAreThoseOfTheTimeOfTheLoad)
{
  known_server site;
  site.mOwnRuns = 8;
  site.mLoads.Record("s", Load(8, 0, 8), kNow);
  site.mOwnRuns = 1;
  BOOST_TEST(site.mLoads.Find("s", kNow + 100ms)->mOtherRequests == 0);
}

// Guards against a server that stays unused because of a load that has long
// ended.
BOOST_AUTO_TEST_CASE(AnOldLoadIsForgotten)
{
  known_server site;
  site.mLoads.Record("s", Load(8, 0, 8, 3.5), kNow);
  BOOST_TEST(site.mLoads.Find("s", kNow + kLoadLifetime));
  BOOST_TEST(!site.mLoads.Find("s", kNow + kLoadLifetime + 1ms));
  BOOST_TEST(!site.mLoads.Find("other", kNow));
  BOOST_TEST(site.mLoads.SlowdownOf("s", kNow + kSlowdownLifetime) == 3.5);
  BOOST_TEST(site.mLoads.SlowdownOf("s", kNow + kSlowdownLifetime + 1ms) == 1);
  BOOST_TEST(site.mLoads.SlowdownOf("other", kNow) == 1);
}

// Guards against a server that has just started being taken for full or slow.
BOOST_AUTO_TEST_CASE(AServerThatStartedAgainIsForgotten)
{
  known_server site;
  site.mLoads.Record("s", Load(8, 20, 8, 3.5), kNow);
  site.Start(2);
  BOOST_TEST(!site.mLoads.Find("s", kNow));
  BOOST_TEST(site.mLoads.SlowdownOf("s", kNow) == 1);
  site.mLoads.Record("s", Load(1, 0, 8), kNow);
  BOOST_TEST(site.mLoads.Find("s", kNow)->mRequests == 1);
  BOOST_TEST(site.mLoads.SlowdownOf("s", kNow) == 1);
}

// Guards against state that grows with each server that is replaced.
BOOST_AUTO_TEST_CASE(ServersThatAreGoneLeaveNothing)
{
  known_server site;
  site.mLoads.Record("s", Load(8, 0, 8), kNow);
  ApplyRemoval(site.mDirectory, "s", kNow);
  BOOST_TEST(!site.mLoads.Find("s", kNow));
  site.mLoads.RemoveStaleState();
  site.mLoads.Record("s", Load(8, 0, 8), kNow);
  site.mLoads.Record("never-known", Load(8, 0, 8), kNow);
  BOOST_TEST(site.mLoads.KnownServers() == 0u);
}

// Guards against the load of a server that counts wrongly moving all requests
// to or off it.
BOOST_AUTO_TEST_CASE(ImpossibleFiguresAreNotTrusted)
{
  const int most = std::numeric_limits<int>::max();
  const int least = std::numeric_limits<int>::min();
  known_server site;
  site.mLoads.Record("s", Load(3, 1, 8), kNow);
  const std::vector<std::pair<server_load, const char*>> wrong{
    { Load(-1, 0, 8), "running" },    { Load(least, least, 8), "running" },
    { Load(1000, 0, 8), "running" },  { Load(most, most, most), "slots" },
    { Load(0, -1, 8), "waiting" },    { Load(8, most, 8), "waiting" },
    { Load(0, 0, 0), "slots" },       { Load(0, 0, -8), "slots" },
    { Load(-1, 0, 8, 5), "running" },
  };
  for (const auto& [load, figure] : wrong) {
    const auto before = site.Ignored(figure);
    site.mLoads.Record("s", load, kNow + 1ms);
    BOOST_TEST(site.Ignored(figure) == before + 1);
    BOOST_REQUIRE(site.mLoads.Find("s", kNow));
    BOOST_TEST(site.mLoads.Find("s", kNow)->mRequests == 4);
    BOOST_TEST((site.mLoads.Find("s", kNow)->mSeenAt == kNow));
    BOOST_TEST(site.mLoads.SlowdownOf("s", kNow) == 1);
  }
}

// Guards against a wrong slowdown hiding a load that is right.
BOOST_AUTO_TEST_CASE(AnImpossibleSlowdownIsIgnoredAlone)
{
  known_server site;
  for (const double wrong :
       { 0.0, -2.0, 1e9, std::numeric_limits<double>::quiet_NaN() }) {
    site.mLoads.Record("s", Load(3, 1, 8, wrong), kNow);
    BOOST_TEST(site.mLoads.Find("s", kNow)->mRequests == 4);
    BOOST_TEST(site.mLoads.SlowdownOf("s", kNow) == 1);
  }
  BOOST_TEST(site.Ignored("slowdown") == 4u);
  site.mLoads.Record("s", Load(3, 1, 8, 2.5), kNow);
  site.mLoads.Record("s", Load(3, 1, 8), kNow);
  BOOST_TEST(site.mLoads.SlowdownOf("s", kNow) == 2.5);
}

BOOST_AUTO_TEST_CASE(WhateverAServerTellsTheLoadIsPossible)
{
  BOOST_TEST(rc::check("any load", [] {
    known_server site;
    int told = 0;
    site.mLoads.SetHandler([&](const auto&, const told_load&) { ++told; });
    const auto load = Load(*rc::gen::arbitrary<int>(),
                           *rc::gen::arbitrary<int>(),
                           *rc::gen::arbitrary<int>(),
                           *rc::gen::arbitrary<double>());
    site.mOwnRuns = *rc::gen::inRange(0, 20);
    site.mLoads.Record("s", load, kNow);
    const auto* known = site.mLoads.Find("s", kNow);
    RC_ASSERT((known != nullptr) == (told == 1));
    if (known) {
      RC_ASSERT(known->mRequests == load.mRunning + load.mWaiting);
      RC_ASSERT(known->mOtherRequests >= 0);
      RC_ASSERT(known->mRequests >= known->mOtherRequests);
    }
    RC_ASSERT(IsPossibleSlowdown(site.mLoads.SlowdownOf("s", kNow)));
  }));
}

BOOST_AUTO_TEST_SUITE_END()
