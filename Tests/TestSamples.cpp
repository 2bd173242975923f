#include "Tests/Support/TrainingSite.h"

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <mutex>
#include <thread>

using namespace lavender;
using namespace lavender::test;

BOOST_AUTO_TEST_SUITE(TestSamples)

// Weights change while a batch is made. A sample that spans the swap names
// both versions with the tokens that each produced; one whose tokens can't be
// attributed is made again. By the version that the engine claims, or by the
// accepted version, the trainer would weight tokens by the wrong policy.
BOOST_FIXTURE_TEST_CASE(NamesTrueVersionsThroughSwaps, training_site)
{
  for (const char* engine : { "engine-1", "engine-2" }) {
    SetFault(engine, { { "per_token_us", 30000 } });
  }
  BOOST_TEST(RequestBatch("entry-1", 1).mStatus == 503);
  std::this_thread::sleep_for(300ms);
  Accept(3);
  const auto batch = WaitForBatch("entry-1", 1);
  const int spans = CheckVersions(batch.mBody);
  BOOST_TEST_MESSAGE("samples that span a swap: " << spans);
  BOOST_TEST(spans > 0);
  BOOST_TEST(OldestVersionIn(batch.mBody) >= 3 - kBound);
}

// One engine fails its swap and still reports the version that it was ordered
// to load; the other swaps late and reports no version. Both go on producing
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
  BOOST_TEST(RequestBatch("entry-1", 1).mStatus == 503);
  std::this_thread::sleep_for(200ms);
  Accept(3);
  for (int step = 1; step <= 3; ++step) {
    const auto batch = WaitForBatch("entry-1", step);
    CheckVersions(batch.mBody);
    BOOST_TEST(OldestVersionIn(batch.mBody) >= 3 - kBound);
    BOOST_TEST(Acknowledge("entry-1", step).mStatus == 200);
  }
  BOOST_TEST(CountSwapOrders("engine-1", 3) > 0);
  BOOST_TEST(CountSwapOrders("engine-2", 3) > 0);
  BOOST_TEST(WaitFor([&] { return VersionHeldBy("engine-1") == 3; }));
  BOOST_TEST(Metrics("entry-1").find("lavender_sample_retries_total") !=
             std::string::npos);
}

// An agent is killed while its engine generates, and restarted; then the engine
// itself loses its weights and comes back with its base model. The affected
// samples are made again, and none names the base model.
BOOST_FIXTURE_TEST_CASE(NamesTrueVersionsThroughAgentAndEngineRestarts,
                        training_site)
{
  for (const char* engine : { "engine-1", "engine-2" }) {
    SetFault(engine, { { "per_token_us", 20000 } });
  }
  BOOST_TEST(RequestBatch("entry-1", 1).mStatus == 503);
  std::this_thread::sleep_for(200ms);
  auto& backend = mFleet.Backends().at("engine-1");
  backend.mAgent->Signal(SIGKILL);
  backend.mAgent->WaitForExit(5s);
  mFleet.StartAgent(backend);
  mFleet.PublishInstances();
  Send(Engine("engine-2"), "POST", "/control/crash", json::object{});
  BOOST_TEST(VersionHeldBy("engine-2") == 0);
  const auto batch = WaitForBatch("entry-1", 1);
  CheckVersions(batch.mBody);
  BOOST_TEST(OldestVersionIn(batch.mBody) >= 2);
  BOOST_TEST(WaitFor([&] { return VersionHeldBy("engine-2") == 2; }));
}

// A trainer crashes before its acknowledgement and repeats the request at
// another entry after the weights have changed: it must get the same bytes.
// After the acknowledgement, a late duplicate of the request must not start a
// new batch.
BOOST_FIXTURE_TEST_CASE(GivesTheSameBatchUntilItIsAcknowledged, training_site)
{
  const auto first = WaitForBatch("entry-1", 1);
  Accept(3);
  Accept(4);
  BOOST_TEST(WaitFor([&] { return VersionHeldBy("engine-1") == 4; }));
  const auto again = WaitForBatch("entry-2", 1);
  BOOST_TEST(json::Write(first.mBody) == json::Write(again.mBody));
  BOOST_TEST(Acknowledge("entry-2", 1).mStatus == 200);
  BOOST_TEST(Acknowledge("entry-1", 1).mStatus == 200);
  for (const char* entry : { "entry-1", "entry-2" }) {
    const auto late = RequestBatch(entry, 1);
    BOOST_TEST(late.mStatus == 410);
    BOOST_TEST(json::StringAt(*late.mBody.Find("error"), "reason", "") ==
               "already_acknowledged");
  }
  const auto parts =
    Send(mFleet.PlatformPort(), "GET", "/v1/objects?kind=BatchPart");
  BOOST_TEST(parts.mBody.Find("items")->Elements().empty());
}

// Two entries get requests for one step at the same moment, repeatedly. One
// entry claims the batch and makes it, both return it, and nothing is made
// again outside that claim.
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

// One engine produces tokens twenty times more slowly than the other, and each
// step would wait for the samples on it. Once its rate is known, the last
// samples of a step are restarted elsewhere; each group stays complete.
BOOST_FIXTURE_TEST_CASE(StartsSamplesOfASlowServerAgain, training_site)
{
  SetFault("engine-1", { { "per_token_us", 5000 } });
  SetFault("engine-2", { { "per_token_us", 100000 } });
  int steps = 0;
  BOOST_TEST(WaitFor(
    [&] {
      ++steps;
      CheckVersions(WaitForBatch("entry-1", steps).mBody);
      return Metrics("entry-1").find("reason=\"server_slow\"") !=
             std::string::npos;
    },
    60s));
  BOOST_TEST_MESSAGE("steps until a sample was restarted: " << steps);
}

// A step of the largest supported size, with long prompts, goes through one
// entry. It needs more samples than may be in flight at once, and is stored in
// more than one part.
BOOST_FIXTURE_TEST_CASE(DeliversAStepOf1024Samples, training_site)
{
  std::string word(1200, 'x');
  json::array prompts;
  for (int i = 0; i < 128; ++i) {
    prompts.emplace_back(word + std::to_string(i) + " ends");
  }
  json::value request;
  request.Set("prompts", std::move(prompts));
  request.Set("samples_per_prompt", 8);
  request.Set("max_tokens", 2);
  answer got;
  BOOST_TEST(WaitFor(
    [&] {
      got = Send(Entry("entry-1"),
                 "POST",
                 "/v1/training-runs/minutes/steps/1/batch",
                 request,
                 { { "Authorization", "Bearer " + mKey } });
      return got.mStatus == 200;
    },
    60s));
  BOOST_REQUIRE(got.mBody.Find("samples"));
  BOOST_TEST(got.mBody.Find("samples")->Elements().size() == 1024u);
  BOOST_TEST(json::Write(got.mBody).size() > (1u << 20));
  const auto parts =
    Send(mFleet.PlatformPort(), "GET", "/v1/objects?kind=BatchPart");
  BOOST_TEST(parts.mBody.Find("items")->Elements().size() > 1u);
}

// The entry that makes a batch is killed half-way. The trainer asks another
// entry, which continues from the groups that were saved, and the trainer gets
// one complete batch.
BOOST_FIXTURE_TEST_CASE(FinishesTheBatchOfAKilledEntry, training_site)
{
  for (const char* engine : { "engine-1", "engine-2" }) {
    SetFault(engine, { { "per_token_us", 40000 } });
  }
  BOOST_TEST(RequestBatch("entry-1", 1).mStatus == 503);
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
  CheckVersions(batch.mBody);
  BOOST_TEST(Metrics("entry-2").find("lavender_batches_taken_over_total 1") !=
             std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
