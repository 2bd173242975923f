#include "Duties/Versions/Assignments.h"
#include "Duties/Versions/ModelCapacity.h"
#include "Tests/Site/Support/Loop.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace lavender;
using namespace lavender::tests;
using namespace lavender::versions;
using scheduling::event_time;

namespace {

const std::vector<std::string> kModels{ "m", "n", "o" };

std::string
Name(int aNumber)
{
  return "s" + std::to_string(aNumber);
}

/** AssignModels as it was when servers counted alike. */
model_placement
AssignByNumber(const std::vector<server_versions>& aServers,
               const announced_versions& aAnnounced,
               const model_shares& aWeights)
{
  const auto shares = ServersPerModel(aServers.size(), kModels, aWeights);
  std::map<std::string, std::vector<std::string>> byModel;
  std::vector<std::string> free;
  for (const auto& server : aServers) {
    std::string held;
    std::int64_t leastBehind = 0;
    for (const auto& model : kModels) {
      const auto behind = aAnnounced.at(model) - server.mVersions.at(model);
      if (server.mVersions.at(model) >= 2 &&
          (held.empty() || behind < leastBehind)) {
        held = model;
        leastBehind = behind;
      }
    }
    (held.empty() ? free : byModel[held]).push_back(server.mId);
  }
  for (const auto& model : kModels) {
    auto& servers = byModel[model];
    std::sort(servers.begin(), servers.end());
    while (servers.size() > shares.at(model)) {
      free.push_back(servers.back());
      servers.pop_back();
    }
  }
  std::sort(free.begin(), free.end());
  model_placement placed;
  for (const auto& server : free) {
    const auto lack = [&](const std::string& aModel) {
      return static_cast<double>(shares.at(aModel)) -
             static_cast<double>(byModel[aModel].size());
    };
    const auto neediest =
      std::max_element(kModels.begin(),
                       kModels.end(),
                       [&](const auto& aLeft, const auto& aRight) {
                         return lack(aLeft) < lack(aRight);
                       });
    byModel[*neediest].push_back(server);
  }
  for (const auto& [model, servers] : byModel) {
    for (const auto& server : servers) {
      placed[server] = model;
    }
  }
  return placed;
}

std::vector<model_work>
AnyWork()
{
  std::vector<model_work> work;
  for (const auto& model : kModels) {
    const double share = *rc::gen::inRange(0, 100) / 100.0;
    work.push_back({ model, share, share * *rc::gen::inRange(0, 100) / 100.0 });
  }
  return work;
}

void
Keep(std::vector<server_capacity>& aServers, const model_placement& aPlaced)
{
  for (auto& server : aServers) {
    server.mModel = aPlaced.at(server.mId);
  }
}

/** Servers s0 to s11 are fast; each of the three models holds 16 of the 48. */
std::vector<server_capacity>
QuarterFast()
{
  std::vector<server_capacity> servers;
  for (int i = 0; i < 48; ++i) {
    servers.push_back(
      { Name(i), i < 12 ? 2.3 : 1.0, 8, kModels[std::size_t(i) % 3] });
  }
  return servers;
}

site::server_directory
Directory(int aServers)
{
  site::server_directory directory;
  for (int i = 0; i < aServers; ++i) {
    site::backend_server server;
    server.mId = Name(i);
    server.mPool = "pool";
    server.mAddress = { "10.0.0." + std::to_string(i), 80 };
    server.mSlots = 8;
    site::ApplyServer(directory, server, boot_clock::now());
  }
  return directory;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestModelCapacity)

// Guards against deployments of alike servers that load weights for no reason.
BOOST_AUTO_TEST_CASE(AlikeServersAreAssignedByNumber)
{
  BOOST_TEST(rc::check("alike", [] {
    announced_versions announced;
    model_shares weights;
    model_shares longShares;
    const bool hasWeights = *rc::gen::arbitrary<bool>();
    for (const auto& work : AnyWork()) {
      announced[work.mModel] = *rc::gen::inRange(2, 6);
      if (hasWeights) {
        weights[work.mModel] = work.mShare;
      }
      longShares[work.mModel] = work.mLongShare;
    }
    std::vector<server_versions> servers;
    const int count = *rc::gen::inRange(0, 30);
    for (int i = 0; i < count; ++i) {
      server_versions server{ Name(i), {} };
      for (const auto& model : kModels) {
        server.mVersions[model] =
          *rc::gen::inRange<std::int64_t>(1, announced[model] + 1);
      }
      server.mSlots = *rc::gen::inRange(1, 9);
      server.mAssigned = *rc::gen::elementOf(kModels);
      servers.push_back(server);
    }
    const auto expected = AssignByNumber(servers, announced, weights);
    RC_ASSERT(AssignModels(servers, kModels, announced, weights, longShares) ==
              expected);
  }));
}

// Guards against servers that load to and fro: for any change of speeds and
// work, the next assignment is kept until something changes again.
BOOST_AUTO_TEST_CASE(TheAssignmentSettlesAfterEachChange)
{
  BOOST_TEST(rc::check("settles", [] {
    const int count = *rc::gen::inRange(0, 40);
    std::vector<server_capacity> servers;
    for (int i = 0; i < count; ++i) {
      servers.push_back({ Name(i),
                          1,
                          *rc::gen::inRange(1, 9),
                          *rc::gen::element<std::string>("", "m", "n", "x") });
    }
    for (int change = 0; change < 4; ++change) {
      for (auto& server : servers) {
        server.mSpeed = *rc::gen::element(0.1, 0.3, 0.7, 1.0, 1.3, 2.3);
      }
      const auto work = AnyWork();
      const auto placed = AssignByCapacity(servers, work);
      RC_ASSERT(placed.size() == servers.size());
      Keep(servers, placed);
      RC_ASSERT(AssignByCapacity(servers, work) == placed);
      RC_ASSERT(CapacityPerModel(servers).size() ==
                std::min(kModels.size(), servers.size()));
    }
  }));
}

// Guards against loads that pay nothing: measured speeds and estimates of work
// differ a little from batch to batch.
BOOST_AUTO_TEST_CASE(NoiseMovesNoServer)
{
  BOOST_TEST(rc::check("noise", [] {
    const auto directory = Directory(24);
    const auto noise = [] { return *rc::gen::inRange(95, 106) / 100.0; };
    std::vector<std::string> ids;
    model_placement placed;
    for (int i = 0; i < 24; ++i) {
      ids.push_back(Name(i));
    }
    told_speeds speeds;
    model_shares shares;
    model_shares longShares;
    model_placement settled;
    for (int batch = 0; batch < 12; ++batch) {
      batch_speeds told{ kModels[std::size_t(batch) % 3], {}, event_time(60) };
      for (int i = 0; i < 6; ++i) {
        told.mServers.push_back({ Name(i), event_time(26 * noise()) });
      }
      RecordToldSpeeds(speeds, told, placed, directory);
      UpdateRelativeSpeeds(speeds, ids, placed);
      std::map<std::string, double> work;
      std::map<std::string, double> longWork;
      for (const auto& model : kModels) {
        work[model] = 1000 * noise();
        longWork[model] = model == "n" ? 0 : 200 * noise();
      }
      shares = UpdatedModelShares(work, shares).value_or(shares);
      longShares =
        UpdatedLongShares(work, longWork, longShares).value_or(longShares);
      std::vector<server_versions> servers;
      for (const auto& id : ids) {
        server_versions server{ id, {} };
        server.mSpeed =
          speeds.mRelative.count(id) ? speeds.mRelative.at(id) : 1;
        server.mAssigned = placed[id];
        servers.push_back(server);
      }
      placed = AssignModels(servers, kModels, {}, shares, longShares);
      settled = batch == 0 ? placed : settled;
      RC_ASSERT(placed == settled);
    }
  }));
}

// Guards against long items that can't be finished when due: their model has as
// few fast servers as a model whose items any server finishes.
BOOST_AUTO_TEST_CASE(LongItemsGetTheFastServersAndWorkItsCapacity)
{
  auto servers = QuarterFast();
  const auto placed = AssignByCapacity(
    servers, { { "m", 0.4, 0.1 }, { "n", 0.2, 0 }, { "o", 0.4, 0.2 } });
  std::map<std::string, int> fast;
  for (int i = 0; i < 12; ++i) {
    ++fast[placed.at(Name(i))];
  }
  BOOST_TEST(fast["n"] == 0);
  BOOST_TEST(fast["m"] >= 3);
  BOOST_TEST(fast["o"] >= 7);
  Keep(servers, placed);
  const auto capacity = CapacityPerModel(servers);
  BOOST_TEST(std::abs(capacity.at("n") - 0.2 * 8 * 63.6) < 16);
  BOOST_TEST(std::abs(capacity.at("m") - 0.4 * 8 * 63.6) < 16);
}

// Guards against speeds of servers that no longer are what was told: a server
// that has started again, is gone, or is as fast as the others again.
BOOST_AUTO_TEST_CASE(AToldSpeedEndsWithItsReason)
{
  auto directory = Directory(8);
  const std::vector<std::string> ids{
    "s0", "s1", "s2", "s3", "s4", "s5", "s6"
  };
  const model_placement placed{
    { "s0", "m" }, { "s1", "m" }, { "s2", "n" }, { "s3", "n" }
  };
  told_speeds speeds;
  const auto tell = [&](const std::string& aModel,
                        std::vector<scheduling::told_speed> aServers) {
    RecordToldSpeeds(speeds,
                     { aModel, std::move(aServers), event_time(60) },
                     placed,
                     directory);
    UpdateRelativeSpeeds(speeds, ids, placed);
  };
  tell("n", { { "s2", event_time(20) }, { "gone", event_time(20) } });
  tell("m", { { "s0", event_time(200) }, { "s1", event_time(20) } });
  BOOST_TEST(std::abs(speeds.mRelative.at("s0") - 0.3) < 1e-9);
  BOOST_TEST(speeds.mRelative.at("s1") == 3);
  BOOST_TEST(speeds.mServers.count("gone") == 0u);
  for (int batch = 0; batch < 3; ++batch) {
    tell("m", { { "s1", event_time(20) } });
  }
  BOOST_TEST(speeds.mRelative.at("s0") == 1);
  BOOST_TEST(speeds.mRelative.at("s2") == 3);
  directory.mRows.at("s1").mServer.mStartedAt = 7;
  directory.mRows.erase("s2");
  ForgetGoneServers(speeds, directory);
  BOOST_TEST(speeds.mRelative.count("s1") == 0u);
  BOOST_TEST(speeds.mRelative.count("s2") == 0u);
}

// Guards against a model that has half the servers but hardly any capacity
// because they have become slow.
BOOST_AUTO_TEST_CASE(CapacityFollowsTheSpeedsThatBatchesTell)
{
  test_loop loop;
  const auto directory = Directory(12);
  auto sites = std::make_shared<site::site_configuration>();
  sites->mPools["pool"].mEngine = site::engine_pool{ 12, { "m", "n" } };
  const site::configuration_ptr configuration = sites;
  const claim_table claims;
  metrics::registry metrics;
  assignments assigned(
    { loop.mLoop, directory, configuration, claims, &metrics });
  const auto hasCapacity = [&](const std::string& aSeries) {
    assigned.Evaluate();
    return metrics.Write().find("lavender_model_capacity{model=" + aSeries) !=
           std::string::npos;
  };
  BOOST_TEST(hasCapacity("\"m\"} 48"));
  batch_speeds told{ "m", {}, event_time(60) };
  for (const int slow : { 0, 2, 4, 6 }) {
    told.mServers.push_back({ Name(slow), event_time(600) });
  }
  assigned.HandleBatchSubmitted({ 1, 1000, 0, told });
  assigned.HandleBatchSubmitted({ 1, 1000, 0, { "n", {}, event_time(60) } });
  BOOST_TEST(hasCapacity("\"m\"} 35.2"));
  BOOST_TEST(hasCapacity("\"n\"} 32"));
}

BOOST_AUTO_TEST_SUITE_END()
