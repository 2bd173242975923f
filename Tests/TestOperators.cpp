#include "Libraries/Core/Identity.h"
#include "Tests/Support/DelayingRelay.h"
#include "Tests/Support/Fleet.h"

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <thread>
#include <unistd.h>

using namespace lavender;
using namespace lavender::test;

namespace {

/** Body of a plain-text response. */
std::string
TextOf(std::uint16_t aPort, const std::string& aPath)
{
  http::request request;
  request.mPath = aPath;
  return http::Call({ "127.0.0.1", aPort }, request, 10s).mResponse.mBody;
}

std::string
ReasonOf(const answer& aAnswer)
{
  const auto* error = aAnswer.mBody.Find("error");
  return error ? json::StringAt(*error, "reason", "") : "";
}

std::vector<std::string>
PlacesOf(const answer& aAnswer)
{
  std::vector<std::string> places;
  if (const auto* error = aAnswer.mBody.Find("error")) {
    if (const auto* detail = error->Find("detail")) {
      for (const auto& finding : detail->Elements()) {
        places.push_back(json::StringAt(finding, "place", ""));
      }
    }
  }
  return places;
}

/** Redirects the standard error of this process and its children to a file. */
class captured_stderr
{
public:
  captured_stderr()
    : mOriginal(dup(STDERR_FILENO))
  {
    const int file = mkstemp(mName.data());
    dup2(file, STDERR_FILENO);
    close(file);
  }
  ~captured_stderr()
  {
    dup2(mOriginal, STDERR_FILENO);
    close(mOriginal);
    unlink(mName.c_str());
  }
  std::string Text() const
  {
    std::ifstream input(mName, std::ios::binary);
    std::ostringstream text;
    text << input.rdbuf();
    return text.str();
  }

private:
  std::string mName = "/tmp/lavender-errors-XXXXXX";
  const int mOriginal;
};

struct site
{
  fleet mFleet;

  site()
  {
    mFleet.AddBackend("engine-1", "bogota", "model-pool", "engine");
    mFleet.AddEntry("entry-1", "bogota");
    mFleet.AddEntry("entry-2", "medellin");
    mFleet.PublishInstances();
    BOOST_REQUIRE(WaitFor([&] {
      return Get("entry-1", "Customer").mStatus == 200 &&
             Get("entry-2", "Customer").mStatus == 200;
    }));
  }

  std::uint16_t Operators(const std::string& aEntry)
  {
    return mFleet.Entries().at(aEntry).Operators();
  }
  answer Get(const std::string& aEntry, const std::string& aPath)
  {
    return Send(Operators(aEntry), "GET", "/v1/resources/" + aPath);
  }
  answer PutAt(const std::string& aEntry,
               const std::string& aPath,
               const json::value& aSpec)
  {
    json::value body;
    body.Set("spec", aSpec);
    return Send(Operators(aEntry), "PUT", "/v1/resources/" + aPath, body);
  }
  void SetFaults(const json::value& aFaults)
  {
    Send(mFleet.PlatformPort(), "POST", "/control/faults", aFaults);
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(TestOperators)

BOOST_FIXTURE_TEST_CASE(CollectsAllFindingsWithTheirPlaces, site)
{
  json::value run;
  run.Set("customer", "nobody");
  run.Set("pool", "nowhere");
  run.Set("staleness_bound", "two");
  run.Set("colour", "red");
  const auto refused =
    PutAt("entry-1", "TrainingRun/minutes?resource_version=x", run);
  BOOST_TEST(refused.mStatus == 400);
  const std::vector<std::string> expected = {
    "TrainingRun/minutes spec.model",
    "TrainingRun/minutes spec.staleness_bound",
    "TrainingRun/minutes spec.colour",
    "TrainingRun/minutes resource_version",
    "TrainingRun/minutes spec.customer",
    "TrainingRun/minutes spec.pool",
  };
  BOOST_TEST(PlacesOf(refused) == expected, boost::test_tools::per_element());
  json::value body;
  body.Set("spec", json::object{});
  body.Set("status", json::object{});
  const auto status =
    Send(Operators("entry-1"), "PUT", "/v1/resources/Customer/a%20b", body);
  BOOST_TEST(status.mStatus == 400);
  BOOST_TEST(PlacesOf(status).size() == 2u);
  BOOST_TEST(PutAt("entry-1", "Sofa/a", json::object{}).mStatus == 400);
}

// Guards against lost updates: two operators change one customer, and the
// second write would silently overwrite the first.
BOOST_FIXTURE_TEST_CASE(RacingOperatorsGetAConflict, site)
{
  json::value spec;
  spec.Set("weight", 1.0);
  const auto made = PutAt("entry-1", "Customer/geo", spec);
  BOOST_REQUIRE(made.mStatus == 200);
  const auto version =
    std::to_string(json::IntegerAt(made.mBody, "resource_version", 0));
  spec.Set("weight", 2.0);
  const auto first =
    PutAt("entry-1", "Customer/geo?resource_version=" + version, spec);
  spec.Set("weight", 3.0);
  const auto second =
    PutAt("entry-2", "Customer/geo?resource_version=" + version, spec);
  // A status update may have changed the version in between; then both writes
  // get the conflict.
  BOOST_TEST((first.mStatus == 200 || first.mStatus == 409));
  BOOST_TEST(second.mStatus == 409);
  const auto* detail = second.mBody.Find("error")->Find("detail");
  BOOST_REQUIRE(detail);
  BOOST_TEST(json::IntegerAt(*detail, "resource_version", 0) >
             json::IntegerAt(made.mBody, "resource_version", 0));
}

// Guards against a lost response of the platform to a write that it carried
// out: the operator would be told that the write failed, or get no key although
// it was created.
BOOST_FIXTURE_TEST_CASE(ALostAnswerIsSettled, site)
{
  BOOST_REQUIRE(PutAt("entry-1", "Customer/geo", json::object{}).mStatus ==
                200);
  json::value key;
  key.Set("customer", "geo");
  SetFaults(json::object{ { "lose_answers", 1 } });
  const auto made = PutAt("entry-1", "Key/geo-key", key);
  BOOST_TEST(made.mStatus == 200);
  BOOST_TEST(json::StringAt(made.mBody, "key", "").size() == 35u);
  BOOST_TEST(json::IntegerAt(made.mBody, "resource_version", 0) > 0);
  const auto metrics =
    TextOf(mFleet.Entries().at("entry-1").Health(), "/metrics");
  BOOST_TEST(
    metrics.find(
      "lavender_platform_calls_total{call=\"write\",result=\"500\"}") !=
    std::string::npos);
  const auto again = PutAt("entry-2", "Key/geo-key", key);
  BOOST_TEST(again.mStatus == 200);
  BOOST_TEST(again.mBody.Find("key") == nullptr);
}

// An operator withdraws a key and needs to see when no entry accepts it any
// more, and how many servers a pool has.
BOOST_FIXTURE_TEST_CASE(StatusShowsWhatIsInForce, site)
{
  json::value pool;
  pool.Set("model", "reports");
  BOOST_REQUIRE(PutAt("entry-1", "BackendPool/model-pool", pool).mStatus ==
                200);
  BOOST_REQUIRE(PutAt("entry-1", "Customer/geo", json::object{}).mStatus ==
                200);
  json::value key;
  key.Set("customer", "geo");
  BOOST_REQUIRE(PutAt("entry-1", "Key/geo-key", key).mStatus == 200);
  key.Set("withdrawn", true);
  const auto withdrawn = PutAt("entry-2", "Key/geo-key", key);
  BOOST_REQUIRE(withdrawn.mStatus == 200);
  const auto generation = json::IntegerAt(withdrawn.mBody, "generation", 0);
  BOOST_TEST(generation == 2);
  auto from = json::IntegerAt(withdrawn.mBody, "resource_version", 0);
  json::value seen;
  BOOST_TEST(WaitFor([&] {
    // The operator's tool gets the change through its watch.
    const auto watched =
      Send(Operators("entry-1"),
           "GET",
           "/v1/watch?kind=Key&wait_ms=500&from=" + std::to_string(from));
    if (watched.mStatus != 200) {
      return false;
    }
    from = json::IntegerAt(watched.mBody, "revision", from);
    for (const auto& event : watched.mBody.Find("events")->Elements()) {
      seen = *event.Find("status");
    }
    return json::IntegerAt(seen, "observed_generation", 0) == generation;
  }));
  BOOST_TEST(json::StringAt(seen, "state", "") == "withdrawn");
  BOOST_TEST(json::IntegerAt(seen, "entries", 0) == 2);
  BOOST_TEST(json::IntegerAt(seen, "in_force_revision", 0) >=
             json::IntegerAt(withdrawn.mBody, "resource_version", 0));
  BOOST_TEST(WaitFor([&] {
    const auto got = Get("entry-2", "BackendPool/model-pool");
    const auto* status = got.mBody.Find("status");
    const auto* servers = status ? status->Find("servers") : nullptr;
    return servers && json::IntegerAt(*servers, "live", 0) == 1;
  }));
}

// A watch resumes from a version that is no longer kept. It must be told so;
// otherwise the tool would miss changes without noticing.
BOOST_FIXTURE_TEST_CASE(SaysWhenAVersionIsTooOld, site)
{
  BOOST_REQUIRE(PutAt("entry-1", "Customer/geo", json::object{}).mStatus ==
                200);
  const auto old = Send(Operators("entry-1"), "GET", "/v1/watch?from=0");
  BOOST_TEST(old.mStatus == 410);
  BOOST_TEST(ReasonOf(old) == "revision_too_old");
  BOOST_TEST(Send(Operators("entry-1"), "GET", "/v1/watch?from=-1").mStatus ==
             400);
}

// Guards against unauthenticated access: anyone who reaches the operators' port
// could withdraw every key.
BOOST_FIXTURE_TEST_CASE(OperatorsShowTheirKey, site)
{
  auto& guarded = mFleet.AddEntry(
    "entry-3", "cali", { "--operator-key-hash", HashKey("operators-key") });
  const auto send = [&](const http::header_list& aHeaders) {
    return Send(
      guarded.Operators(), "GET", "/v1/resources/Customer", {}, aHeaders);
  };
  BOOST_TEST(send({}).mStatus == 401);
  BOOST_TEST(send({ { "Authorization", "Bearer other" } }).mStatus == 401);
  BOOST_TEST(send({ { "Authorization", "Bearer operators-key" } }).mStatus ==
             200);
  child_process open(std::string(LAVENDER_BUILD) +
                       "/Services/Entry/lavender-entry",
                     { "--check-settings",
                       "--name",
                       "e",
                       "--zone",
                       "z",
                       "--platform",
                       "127.0.0.1:1",
                       "--operator-listen",
                       "0.0.0.0:0" },
                     {},
                     output::Errors);
  const auto text = open.ReadToEnd(10s);
  BOOST_TEST(open.WaitForExit(10s) == 2);
  BOOST_TEST(text.find("--operator-listen: must be on loopback") !=
             std::string::npos);
}

// Guards against leaked keys: no key may appear in a log, in a metric, on the
// wire between the system's processes or at a backend server, where anyone who
// reads it could use it.
BOOST_AUTO_TEST_CASE(NoKeyLeavesTheEntry)
{
  const captured_stderr errors;
  fleet fleet;
  auto& engine = fleet.AddBackend(
    "engine-1", "bogota", "model-pool", "engine", { "--log-level", "debug" });
  auto& desk = fleet.AddBackend("desk-1", "bogota", "desk", "service");
  delaying_relay engineRelay(engine.mAgent->Port("wire"));
  delaying_relay deskRelay(desk.mAgent->Port("wire"));
  engine.mAgentRelay = engineRelay.Port();
  desk.mAgentRelay = deskRelay.Port();
  fleet.AddEntry("entry-1", "bogota", { "--log-level", "debug" });
  auto& entry = fleet.Entries().at("entry-1");
  fleet.PublishInstances();
  json::value pool;
  pool.Set("model", "reports");
  fleet.Put("BackendPool", "model-pool", pool);
  json::value service;
  service.Set("service", "desk");
  service.Set("repeatable", false);
  fleet.Put("BackendPool", "desk", service);
  const auto key = fleet.AddCustomer("geo");
  BOOST_REQUIRE(key.size() > 20u);
  BOOST_REQUIRE(fleet.WaitUntilServing(key, "reports"));
  const http::header_list headers = { { "Authorization", "Bearer " + key },
                                      { "Idempotency-Key", "one" } };
  const json::value booking = json::object{ { "receiver", "R8" } };
  BOOST_TEST(WaitFor([&] {
    return Send(entry.Callers(),
                "POST",
                "/v1/services/desk/book",
                booking,
                headers)
             .mStatus == 200;
  }));
  Complete(entry.Callers(), key + "x", "reports", "wrong key");
  Complete(entry.Callers(), key, "no-model", "wrong model");
  const auto shown = Send(entry.Operators(), "GET", "/v1/resources/Key");
  const std::vector<std::string> places = {
    TextOf(engine.mServer->Port("http"), "/control/received"),
    TextOf(desk.mServer->Port("http"), "/control/received"),
    TextOf(fleet.PlatformPort(), "/control/received"),
    engineRelay.ForwardedBytes(),
    deskRelay.ForwardedBytes(),
    TextOf(entry.Health(), "/metrics") +
      TextOf(engine.mAgent->Port("health"), "/metrics"),
    json::Write(shown.mBody),
    errors.Text(),
  };
  for (std::size_t i = 0; i < places.size(); ++i) {
    BOOST_TEST_CONTEXT("place " << i)
    {
      // Makes sure that each output was really written to.
      BOOST_TEST(places[i].size() > 20u);
      BOOST_TEST((places[i].find(key) == std::string::npos));
    }
  }
  BOOST_TEST(
    (json::Write(shown.mBody).find(HashKey(key)) == std::string::npos));
}

BOOST_AUTO_TEST_SUITE_END()
