#include "Tests/Support/TrainingSite.h"

#include <boost/test/unit_test.hpp>
#include <set>
#include <sstream>

namespace lavender::test {

training_site::training_site()
{
  mFleet.AddBackend(
    "engine-1", "hall-malmo", "modellflotta", "engine", { "--slots", "4" });
  mFleet.AddBackend(
    "engine-2", "hall-lund", "modellflotta", "engine", { "--slots", "4" });
  for (const char* name : { "entry-1", "entry-2" }) {
    mFleet.AddEntry(name, "hall-malmo", { "--batch-take-over", "2500" });
  }
  mFleet.PublishInstances();
  json::value pool;
  pool.Set("model", "protokoll");
  mFleet.Put("BackendPool", "modellflotta", pool);
  mKey = mFleet.AddCustomer("brf-ekbacken");
  BOOST_REQUIRE(mFleet.WaitUntilServing(mKey, "protokoll"));
  json::value run;
  run.Set("customer", "brf-ekbacken");
  run.Set("pool", "modellflotta");
  run.Set("model", "protokoll");
  run.Set("staleness_bound", kBound);
  mFleet.Put("TrainingRun", "minutes", run);
  Accept(2);
  for (const char* engine : { "engine-1", "engine-2" }) {
    BOOST_REQUIRE(WaitFor([&] { return VersionHeldBy(engine) == 2; }));
  }
}

std::uint16_t
training_site::Engine(const std::string& aName)
{
  return mFleet.Backends().at(aName).mServer->Port("http");
}

std::uint16_t
training_site::Entry(const std::string& aName)
{
  return mFleet.Entries().at(aName).Callers();
}

void
training_site::Accept(std::int64_t aVersion)
{
  json::value version;
  version.Set("model", "protokoll");
  version.Set("version", aVersion);
  const auto name = "protokoll-" + std::to_string(aVersion);
  BOOST_TEST(mFleet.Put("ModelVersion", name, version).mStatus == 200);
}

std::int64_t
training_site::VersionHeldBy(const std::string& aEngine)
{
  const auto held = Send(Engine(aEngine), "GET", "/weights").mBody;
  return json::StringAt(held, "model", "") == "protokoll"
           ? json::IntegerAt(held, "version", 0)
           : 0;
}

void
training_site::SetFault(const std::string& aEngine, const json::object& aFault)
{
  Send(Engine(aEngine), "POST", "/control/faults", aFault);
}

answer
training_site::RequestBatch(const std::string& aEntry, int aStep)
{
  json::array prompts;
  for (int i = 0; i < kPrompts; ++i) {
    std::ostringstream words;
    for (int k = 0; k < kTokens; ++k) {
      words << "w" << i << "-" << k << " ";
    }
    prompts.emplace_back(words.str());
  }
  json::value request;
  request.Set("prompts", std::move(prompts));
  request.Set("samples_per_prompt", kPerPrompt);
  request.Set("max_tokens", kTokens);
  return Send(Entry(aEntry),
              "POST",
              "/v1/training-runs/minutes/steps/" + std::to_string(aStep) +
                "/batch",
              request,
              { { "Authorization", "Bearer " + mKey } });
}

answer
training_site::Acknowledge(const std::string& aEntry, int aStep)
{
  return Send(Entry(aEntry),
              "POST",
              "/v1/training-runs/minutes/steps/" + std::to_string(aStep) +
                "/acknowledgement",
              {},
              { { "Authorization", "Bearer " + mKey } });
}

answer
training_site::WaitForBatch(const std::string& aEntry, int aStep)
{
  answer got;
  BOOST_TEST(WaitFor(
    [&] {
      got = RequestBatch(aEntry, aStep);
      return got.mStatus == 200;
    },
    40s));
  return got;
}

int
training_site::CheckVersions(const json::value& aBatch)
{
  std::map<std::string, json::value> truths;
  for (const auto& [name, backend] : mFleet.Backends()) {
    const auto log = Send(Engine(name), "GET", "/control/log").mBody;
    for (const auto& run : log.Find("truths")->Elements()) {
      truths[json::StringAt(run, "attempt", "")] = run;
    }
  }
  int spans = 0;
  std::set<std::string> ids;
  for (const auto& sample : aBatch.Find("samples")->Elements()) {
    ids.insert(json::StringAt(sample, "id", ""));
    const auto attempt = json::StringAt(sample, "attempt", "");
    json::value truth;
    for (const auto& [request, run] : truths) {
      if (request.rfind(attempt, 0) == 0) {
        truth = run;
      }
    }
    BOOST_REQUIRE(truth.Find("truth"));
    BOOST_TEST(json::StringAt(truth, "model", "") ==
               json::StringAt(sample, "model", ""));
    const auto& named = *sample.Find("versions");
    BOOST_TEST(json::Write(named) == json::Write(*truth.Find("truth")));
    spans += named.Elements().size() > 1;
  }
  BOOST_TEST(ids.size() == static_cast<std::size_t>(kPrompts * kPerPrompt));
  return spans;
}

std::int64_t
training_site::OldestVersionIn(const json::value& aBatch)
{
  std::int64_t oldest = 1000;
  for (const auto& sample : aBatch.Find("samples")->Elements()) {
    for (const auto& part : sample.Find("versions")->Elements()) {
      oldest = std::min(oldest, json::IntegerAt(part, "version", 0));
    }
  }
  return oldest;
}

std::string
training_site::Metrics(const std::string& aEntry)
{
  const auto got =
    http::Call({ "127.0.0.1", mFleet.Entries().at(aEntry).Health() },
               { "GET", "/metrics", "", {}, "" },
               5s);
  return got.mResponse.mBody;
}

int
training_site::CountSwapOrders(const std::string& aEngine,
                               std::int64_t aVersion)
{
  int orders = 0;
  const auto log = Send(Engine(aEngine), "GET", "/control/log").mBody;
  for (const auto& order : log.Find("orders")->Elements()) {
    orders += json::IntegerAt(order, "version", 0) == aVersion;
  }
  return orders;
}

void
training_site::SetPlatformFault(const json::object& aFault)
{
  Send(mFleet.PlatformPort(), "POST", "/control/faults", aFault);
}

} // namespace lavender::test
