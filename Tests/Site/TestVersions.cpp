#include "Duties/Versions/Assignments.h"
#include "Tests/Site/Support/Loop.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <set>

using namespace lavender;
using namespace lavender::tests;
using namespace lavender::versions;
using namespace std::chrono_literals;

namespace {

site::configuration_ptr
TwoModels()
{
  auto configuration = std::make_shared<site::site_configuration>();
  configuration->mVersion = 1;
  site::server_pool pool;
  pool.mName = "pool";
  pool.mEngine = site::engine_pool{ 12, { "m", "n" } };
  configuration->mPools["pool"] = pool;
  return configuration;
}

site::backend_server
Server(const std::string& aId, int aNumber)
{
  site::backend_server server;
  server.mId = aId;
  server.mPool = "pool";
  server.mAddress = { "10.0.0." + std::to_string(aNumber), 80 };
  server.mVersions = { { "m", 1 }, { "n", 1 } };
  return server;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestVersions)

// Guards against a trainer that waits for seconds after all processes were
// restarted: the agents request versions before the entry has listed any
// server, and the entry never matches their requests to servers.
BOOST_AUTO_TEST_CASE(AnAgentThatAsksBeforeItsServerIsKnownIsAnswered)
{
  test_loop loop;
  auto clients = std::make_shared<edge::client_pool>(loop.mLoop);
  site::server_directory directory;
  site::configuration_ptr configuration;
  claim_table claims;
  assignments assigned({ loop.mLoop, directory, configuration, claims });
  edge::listener listener(
    loop.mLoop,
    std::make_shared<edge::listener_limits>(),
    [&](const auto& aExchange) { assigned.Serve(aExchange); });
  listener.Open({ "127.0.0.1", 0 });
  std::optional<target_versions> wanted;
  edge::FetchWhole(
    *clients,
    loop.mLoop,
    { "127.0.0.1", listener.Port() },
    EncodeAssignmentRequest({ { "10.0.0.1", 80 }, {}, { { "m", 1 } }, {} }),
    {},
    20s,
    1 << 20,
    [&](edge::call_end, const edge::response& aAnswer) {
      wanted = DecodeAssignmentResponse(aAnswer);
    });
  loop.RunUntil([] { return false; }, 50ms);
  configuration = TwoModels();
  site::ApplyServer(directory, Server("s1", 1), boot_clock::now());
  assigned.HandleVersionAnnounced("m", 2);
  BOOST_TEST(loop.RunUntil([&] { return wanted.has_value(); }));
  // Without a second look-up of the server the hold ends with an empty
  // response.
  BOOST_TEST(wanted->count("m") == 1u);
}

// Guards against training steps that wait for seconds: the entry that the
// agents ask has lost the store, and holds their requests though it can't learn
// of new versions.
BOOST_AUTO_TEST_CASE(AgentsThatWaitAtACutOffEntryAreRejected)
{
  test_loop loop;
  auto clients = std::make_shared<edge::client_pool>(loop.mLoop);
  site::server_directory directory;
  site::ApplyServer(directory, Server("s1", 1), boot_clock::now());
  site::configuration_ptr configuration = TwoModels();
  claim_table claims;
  assignments assigned({ loop.mLoop, directory, configuration, claims });
  int asked = 0;
  edge::listener listener(loop.mLoop,
                          std::make_shared<edge::listener_limits>(),
                          [&](const auto& aExchange) {
                            ++asked;
                            assigned.Serve(aExchange);
                          });
  listener.Open({ "127.0.0.1", 0 });
  unsigned status = 0;
  edge::FetchWhole(
    *clients,
    loop.mLoop,
    { "127.0.0.1", listener.Port() },
    EncodeAssignmentRequest({ { "10.0.0.1", 80 }, {}, { { "m", 1 } }, {} }),
    {},
    20s,
    1 << 20,
    [&](edge::call_end, const edge::response& aAnswer) {
      status = aAnswer.mStatus;
    });
  BOOST_TEST(loop.RunUntil([&] { return asked == 1; }));
  assigned.RejectWaiting();
  BOOST_TEST(loop.RunUntil([&] { return status != 0; }));
  BOOST_TEST(status == 503u);
}

/** For any versions that servers hold and trainers announce: each server has
 * one model, each model has its share of the servers, and servers that hold an
 * announced version keep their model unless the shares require a move. */
BOOST_AUTO_TEST_CASE(SharesAreEvenAndStable)
{
  BOOST_TEST(rc::check("shares", [] {
    const auto models = std::vector<std::string>{ "m", "n", "o" };
    announced_versions named;
    for (const auto& model : models) {
      named[model] = *rc::gen::inRange(2, 6);
    }
    std::vector<server_versions> servers;
    const int count = *rc::gen::inRange(1, 30);
    for (int i = 0; i < count; ++i) {
      server_versions server;
      server.mId = "s" + std::to_string(i);
      for (const auto& model : models) {
        server.mVersions[model] =
          *rc::gen::inRange<std::int64_t>(1, named[model] + 1);
      }
      servers.push_back(server);
    }
    model_shares weights;
    if (*rc::gen::arbitrary<bool>()) {
      const int first = *rc::gen::inRange(0, 90);
      weights = { { "m", first / 100.0 },
                  { "n", 0.1 },
                  { "o", 0.9 - first / 100.0 } };
    }
    const auto placed = AssignModels(servers, models, named, weights);
    std::map<std::string, int> sizes;
    for (const auto& server : servers) {
      ++sizes[placed.at(server.mId)];
    }
    const auto shares =
      ServersPerModel(static_cast<std::size_t>(count), models, weights);
    std::size_t sum = 0;
    for (const auto& model : models) {
      RC_ASSERT(static_cast<std::size_t>(sizes[model]) == shares.at(model));
      RC_ASSERT(shares.at(model) > 0 || count < 3);
      const auto weight = weights.empty() ? 1.0 / 3 : weights.at(model);
      RC_ASSERT(static_cast<double>(shares.at(model)) <=
                std::max(1.0, weight * count + 1.01));
      sum += shares.at(model);
    }
    RC_ASSERT(sum == static_cast<std::size_t>(count));
    // Servers that have loaded the model assigned to them keep it.
    for (auto& server : servers) {
      server.mVersions = { { "m", 1 }, { "n", 1 }, { "o", 1 } };
      const auto& model = placed.at(server.mId);
      server.mVersions[model] = named[model];
    }
    RC_ASSERT(AssignModels(servers, models, named, weights) == placed);
  }));
}

// Guards against a trainer that is served too slowly forever, because the work
// of its first batch was estimated too low: with many models its share of the
// work is so small that it never changes by a tenth of the total work.
BOOST_AUTO_TEST_CASE(ASmallModelGetsItsServersAfterABadFirstGuess)
{
  constexpr int kModels = 17;
  constexpr std::size_t kServers = 92;
  std::map<std::string, double> work;
  std::vector<std::string> models;
  for (int i = 0; i < kModels; ++i) {
    models.push_back("m" + std::to_string(i));
    work[models.back()] = 1000;
  }
  work["m3"] = 400;
  const auto guessed = UpdatedModelShares(work, {});
  BOOST_REQUIRE(guessed);
  BOOST_TEST(ServersPerModel(kServers, models, *guessed).at("m3") <= 3u);
  work["m3"] = 1000;
  const auto known = UpdatedModelShares(work, *guessed);
  BOOST_REQUIRE(known);
  BOOST_TEST(ServersPerModel(kServers, models, *known).at("m3") >= 5u);
  // Batches that differ a little move nothing.
  work["m3"] = 1150;
  work["m5"] = 900;
  BOOST_TEST(!UpdatedModelShares(work, *known));
}

/** After each announcement and the loads that follow, at least one server in
 * lag + 1 holds the newest version, and all are recent enough for the next
 * batch. Over many versions a server loads one version in lag + 1. */
BOOST_AUTO_TEST_CASE(LoadsAreSpreadOverTheAllowedLag)
{
  BOOST_TEST(rc::check("loads", [] {
    const int count = *rc::gen::inRange(1, 12);
    const std::int64_t lag = *rc::gen::inRange(0, 3);
    std::vector<server_versions> share;
    for (int i = 0; i < count; ++i) {
      share.push_back({ "s" + std::to_string(i), { { "m", 1 } } });
    }
    std::size_t loads = 0;
    constexpr int kVersions = 24;
    for (std::int64_t named = 2; named < 2 + kVersions; ++named) {
      const auto due = ServersToLoad(share, "m", named, lag);
      loads += due.size();
      std::size_t newest = 0;
      for (auto& server : share) {
        if (std::find(due.begin(), due.end(), server.mId) != due.end()) {
          server.mVersions["m"] = named;
        }
        RC_ASSERT(server.mVersions["m"] >= named - lag);
        newest += server.mVersions["m"] == named ? 1 : 0;
      }
      RC_ASSERT(newest * static_cast<std::size_t>(lag + 1) >=
                static_cast<std::size_t>(count));
    }
    const auto perVersion = (static_cast<std::size_t>(count + lag) /
                             static_cast<std::size_t>(lag + 1));
    RC_ASSERT(loads <= perVersion * kVersions + share.size());
  }));
}

/** No order is created while the server carries out another one or for an older
 * version, and each order has the count of accepted orders that keeps it from
 * being carried out late. */
BOOST_AUTO_TEST_CASE(OrdersOnlyGoForward)
{
  BOOST_TEST(rc::check("orders", [] {
    server_report report;
    report.mServerId = "s";
    report.mIsBusy = *rc::gen::arbitrary<bool>();
    report.mAcceptedOrders = *rc::gen::inRange(0, 100);
    report.mVersions["m"] = *rc::gen::inRange(1, 6);
    const std::int64_t wanted = *rc::gen::inRange(1, 6);
    const auto order = DecideOrder(report, { { "m", wanted } });
    RC_ASSERT(order.has_value() ==
              (!report.mIsBusy && report.mVersions["m"] < wanted));
    if (order) {
      RC_ASSERT(order->mAcceptedOrders == report.mAcceptedOrders);
      RC_ASSERT(order->mServerId == "s");
      RC_ASSERT(order->mVersion == wanted);
    }
  }));
}

BOOST_AUTO_TEST_SUITE_END()
