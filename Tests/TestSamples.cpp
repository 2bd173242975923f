#include "Tests/Support/Fleet.h"

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <mutex>
#include <set>
#include <sstream>
#include <thread>

using namespace lavender;
using namespace lavender::test;

namespace {

constexpr int kPrompts = 6;
constexpr int kPerPrompt = 4;
constexpr std::int64_t kTokens = 20;
constexpr std::int64_t kBound = 1;

/** Two engines, two entries, one training run that is at version 2. */
struct training_site
{
  fleet mFleet;
  std::string mKey;

  training_site()
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
    for (const auto& [name, backend] : mFleet.Backends()) {
      BOOST_REQUIRE(WaitFor([&] { return HeldBy(name) == 2; }));
    }
  }

  std::uint16_t Engine(const std::string& aName)
  {
    return mFleet.Backends().at(aName).mServer->Port("http");
  }

  std::uint16_t Entry(const std::string& aName)
  {
    return mFleet.Entries().at(aName).Callers();
  }

  void Accept(std::int64_t aVersion)
  {
    json::value version;
    version.Set("model", "protokoll");
    version.Set("version", aVersion);
    const auto name = "protokoll-" + std::to_string(aVersion);
    BOOST_TEST(mFleet.Put("ModelVersion", name, version).mStatus == 200);
  }

  std::int64_t HeldBy(const std::string& aEngine)
  {
    const auto held = Send(Engine(aEngine), "GET", "/weights").mBody;
    return json::StringAt(held, "model", "") == "protokoll"
             ? json::IntegerAt(held, "version", 0)
             : 0;
  }

  void SetFault(const std::string& aEngine, const json::object& aFault)
  {
    Send(Engine(aEngine), "POST", "/control/faults", aFault);
  }

  answer Ask(const std::string& aEntry, int aStep)
  {
    json::array prompts;
    for (int i = 0; i < kPrompts; ++i) {
      std::ostringstream words;
      for (int k = 0; k < kTokens; ++k) {
        words << "w" << i << "-" << k << " ";
      }
      prompts.emplace_back(words.str());
    }
    json::value ask;
    ask.Set("prompts", std::move(prompts));
    ask.Set("samples_per_prompt", kPerPrompt);
    ask.Set("max_tokens", kTokens);
    return Send(Entry(aEntry),
                "POST",
                "/v1/training-runs/minutes/steps/" + std::to_string(aStep) +
                  "/batch",
                ask,
                { { "Authorization", "Bearer " + mKey } });
  }

  answer Acknowledge(const std::string& aEntry, int aStep)
  {
    return Send(Entry(aEntry),
                "POST",
                "/v1/training-runs/minutes/steps/" + std::to_string(aStep) +
                  "/acknowledgement",
                {},
                { { "Authorization", "Bearer " + mKey } });
  }

  /** Asks until the batch is there. */
  answer WaitForBatch(const std::string& aEntry, int aStep)
  {
    answer got;
    BOOST_TEST(WaitFor(
      [&] {
        got = Ask(aEntry, aStep);
        return got.mStatus == 200;
      },
      40s));
    return got;
  }

  /** Holds each sample against the engines' own records of which version
   * made each token. Returns how many name more than one version. */
  int CheckTruth(const json::value& aBatch)
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

  std::int64_t OldestIn(const json::value& aBatch)
  {
    std::int64_t oldest = 1000;
    for (const auto& sample : aBatch.Find("samples")->Elements()) {
      for (const auto& part : sample.Find("versions")->Elements()) {
        oldest = std::min(oldest, json::IntegerAt(part, "version", 0));
      }
    }
    return oldest;
  }

  std::string Metrics(const std::string& aEntry)
  {
    const auto got =
      http::Call({ "127.0.0.1", mFleet.Entries().at(aEntry).Health() },
                 { "GET", "/metrics", "", {}, "" },
                 5s);
    return got.mResponse.mBody;
  }

  /** Swap orders that the engine's log shows for a version. */
  int OrdersAt(const std::string& aEngine, std::int64_t aVersion)
  {
    int orders = 0;
    const auto log = Send(Engine(aEngine), "GET", "/control/log").mBody;
    for (const auto& order : log.Find("orders")->Elements()) {
      orders += json::IntegerAt(order, "version", 0) == aVersion;
    }
    return orders;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(TestSamples)

// Weights change while a batch is made. A sample that spans the swap names
// both versions with the tokens that each produced; one that can't be told
// apart is made again. A trainer that took the engine's word, or the version
// accepted, would weigh tokens by the wrong policy.
BOOST_FIXTURE_TEST_CASE(NamesTrueVersionsThroughSwaps, training_site)
{
  for (const char* engine : { "engine-1", "engine-2" }) {
    SetFault(engine, { { "per_token_us", 30000 } });
  }
  BOOST_TEST(Ask("entry-1", 1).mStatus == 503);
  std::this_thread::sleep_for(300ms);
  Accept(3);
  const auto batch = WaitForBatch("entry-1", 1);
  const int spans = CheckTruth(batch.mBody);
  BOOST_TEST_MESSAGE("samples that span a swap: " << spans);
  BOOST_TEST(spans > 0);
  BOOST_TEST(OldestIn(batch.mBody) >= 3 - kBound);
}

// One engine fails its swap and still says that it holds what it was ordered
// to; the other swaps late and says nothing of versions. Both go on making
// samples.
BOOST_FIXTURE_TEST_CASE(NamesTrueVersionsThroughFailedAndLateSwaps,
                        training_site)
{
  SetFault("engine-1",
           { { "per_token_us", 20000 },
             { "fail_swaps", 2 },
             { "account", "ordered" } });
  SetFault("engine-2",
           { { "per_token_us", 20000 },
             { "swap_late_ms", 700 },
             { "account", "none" } });
  BOOST_TEST(Ask("entry-1", 1).mStatus == 503);
  std::this_thread::sleep_for(200ms);
  Accept(3);
  for (int step = 1; step <= 3; ++step) {
    const auto batch = WaitForBatch("entry-1", step);
    CheckTruth(batch.mBody);
    BOOST_TEST(OldestIn(batch.mBody) >= 3 - kBound);
    BOOST_TEST(Acknowledge("entry-1", step).mStatus == 200);
  }
  BOOST_TEST(OrdersAt("engine-1", 3) > 0);
  BOOST_TEST(OrdersAt("engine-2", 3) > 0);
  BOOST_TEST(WaitFor([&] { return HeldBy("engine-1") == 3; }));
  BOOST_TEST(Metrics("entry-1").find("lavender_sample_retries_total") !=
             std::string::npos);
}

// An agent is killed while its engine generates, and started anew; then the
// engine itself loses its weights and comes back with its base model. The
// samples that they held are made again, and none names the base model.
BOOST_FIXTURE_TEST_CASE(NamesTrueVersionsThroughAgentAndEngineRestarts,
                        training_site)
{
  for (const char* engine : { "engine-1", "engine-2" }) {
    SetFault(engine, { { "per_token_us", 20000 } });
  }
  BOOST_TEST(Ask("entry-1", 1).mStatus == 503);
  std::this_thread::sleep_for(200ms);
  auto& backend = mFleet.Backends().at("engine-1");
  backend.mAgent->Signal(SIGKILL);
  backend.mAgent->WaitForExit(5s);
  mFleet.StartAgent(backend);
  mFleet.PublishInstances();
  Send(Engine("engine-2"), "POST", "/control/crash", json::object{});
  BOOST_TEST(HeldBy("engine-2") == 0);
  const auto batch = WaitForBatch("entry-1", 1);
  CheckTruth(batch.mBody);
  BOOST_TEST(OldestIn(batch.mBody) >= 2);
  BOOST_TEST(WaitFor([&] { return HeldBy("engine-2") == 2; }));
}

// A trainer crashes before its acknowledgement and asks again, at another
// entry, after the weights have moved on: it gets the same bytes. After the
// acknowledgement a late doubled ask makes no new batch.
BOOST_FIXTURE_TEST_CASE(GivesTheSameBatchUntilItIsAcknowledged, training_site)
{
  const auto first = WaitForBatch("entry-1", 1);
  Accept(3);
  Accept(4);
  BOOST_TEST(WaitFor([&] { return HeldBy("engine-1") == 4; }));
  const auto again = WaitForBatch("entry-2", 1);
  BOOST_TEST(json::Write(first.mBody) == json::Write(again.mBody));
  BOOST_TEST(Acknowledge("entry-2", 1).mStatus == 200);
  BOOST_TEST(Acknowledge("entry-1", 1).mStatus == 200);
  for (const char* entry : { "entry-1", "entry-2" }) {
    const auto late = Ask(entry, 1);
    BOOST_TEST(late.mStatus == 410);
    BOOST_TEST(json::StringAt(*late.mBody.Find("error"), "reason", "") ==
               "already_acknowledged");
  }
  const auto parts =
    Send(mFleet.PlatformPort(), "GET", "/v1/objects?kind=BatchPart");
  BOOST_TEST(parts.mBody.Find("items")->Elements().empty());
}

// Two entries are asked for one step at the same moment, over and over: one
// makes it, both give it, and nothing is made twice beyond one claim.
BOOST_FIXTURE_TEST_CASE(MakesOneBatchForADoubledRequest, training_site)
{
  for (int step = 1; step <= 3; ++step) {
    std::map<std::string, std::string> given;
    std::vector<std::thread> trainers;
    std::mutex mutex;
    for (const std::string entry : { "entry-1", "entry-2" }) {
      trainers.emplace_back([&, entry] {
        const auto batch = WaitForBatch(entry, step);
        std::lock_guard lock(mutex);
        given[entry] = json::Write(batch.mBody);
      });
    }
    for (auto& trainer : trainers) {
      trainer.join();
    }
    BOOST_TEST(given["entry-1"] == given["entry-2"]);
    BOOST_TEST(!given["entry-1"].empty());
  }
}

// The entry that makes a batch is killed half-way. The trainer asks another,
// which goes on from the groups that were saved, and the trainer sees one
// whole batch.
BOOST_FIXTURE_TEST_CASE(FinishesTheBatchOfAKilledEntry, training_site)
{
  for (const char* engine : { "engine-1", "engine-2" }) {
    SetFault(engine, { { "per_token_us", 40000 } });
  }
  BOOST_TEST(Ask("entry-1", 1).mStatus == 503);
  const auto saved = [&] {
    const auto record =
      Send(mFleet.PlatformPort(), "GET", "/v1/objects/Batch/minutes.1").mBody;
    const auto* kept = record.Find("value");
    return kept && !kept->Find("parts")->Elements().empty() &&
           json::StringAt(*kept, "state", "") == "making";
  };
  BOOST_TEST(WaitFor(saved));
  mFleet.Entries().at("entry-1").mProcess->Signal(SIGKILL);
  BOOST_TEST(mFleet.Entries().at("entry-1").mProcess->WaitForExit(5s) == -1);
  const auto batch = WaitForBatch("entry-2", 1);
  CheckTruth(batch.mBody);
  BOOST_TEST(Metrics("entry-2").find("lavender_batches_taken_over_total 1") !=
             std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
