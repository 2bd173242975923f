#include "Tests/Support/Fleet.h"

#include <boost/test/unit_test.hpp>
#include <csignal>

using namespace lavender;
using namespace lavender::test;

namespace {

struct site
{
  fleet mFleet;
  std::string mKey;

  site()
  {
    mFleet.AddBackend("engine-1", "hall-malmo", "modellflotta", "engine");
    mFleet.AddBackend("engine-2", "hall-lund", "modellflotta", "engine");
    mFleet.AddBackend("desk-1", "hall-malmo", "desk", "service");
    mFleet.AddEntry("entry-1", "hall-malmo");
    mFleet.AddEntry("entry-2", "hall-lund");
    mFleet.PublishInstances();
    json::value pool;
    pool.Set("model", "protokoll");
    mFleet.Put("BackendPool", "modellflotta", pool);
    json::value desk;
    desk.Set("service", "desk");
    desk.Set("repeatable", false);
    mFleet.Put("BackendPool", "desk", desk);
    mKey = mFleet.AddCustomer("brf-ekbacken");
    BOOST_REQUIRE(mFleet.WaitUntilServing(mKey, "protokoll"));
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(TestWholePath)

BOOST_FIXTURE_TEST_CASE(ServesAllFourPathsAndShutsDown, site)
{
  auto& entry1 = mFleet.Entries().at("entry-1");
  auto& entry2 = mFleet.Entries().at("entry-2");
  const auto summary =
    Complete(entry2.Callers(), mKey, "protokoll", "St\xc3\xa4mman beslutade");
  BOOST_TEST(summary.mStatus == 200);
  BOOST_TEST(json::StringAt(summary.mBody.Find("choices")->Elements().at(0),
                            "text",
                            "") == "St\xc3\xa4mman beslutade");

  const http::header_list headers = { { "Authorization", "Bearer " + mKey },
                                      { "Idempotency-Key", "booking-1" } };
  const json::value booking = json::object{ { "receiver", "R8" } };
  answer first;
  BOOST_TEST(WaitFor([&] {
    first = Send(
      entry1.Callers(), "POST", "/v1/services/desk/book", booking, headers);
    return first.mStatus == 200;
  }));
  const auto second =
    Send(entry2.Callers(), "POST", "/v1/services/desk/book", booking, headers);
  BOOST_TEST(second.mStatus == 200);
  BOOST_TEST(json::IntegerAt(second.mBody, "booking", 0) == 1);
  const auto log = Send(mFleet.Backends().at("desk-1").mServer->Port("http"),
                        "GET",
                        "/control/log");
  BOOST_TEST(json::IntegerAt(log.mBody, "bookings", 0) == 1);

  json::value run;
  run.Set("customer", "brf-ekbacken");
  run.Set("pool", "modellflotta");
  run.Set("model", "protokoll");
  BOOST_TEST(mFleet.Put("TrainingRun", "minutes", run).mStatus == 200);
  json::value version;
  version.Set("model", "protokoll");
  version.Set("version", 1);
  BOOST_TEST(mFleet.Put("ModelVersion", "protokoll-1", version).mStatus == 200);
  json::value ask;
  ask.Set("prompts", json::array{ "first prompt", "second prompt" });
  ask.Set("samples_per_prompt", 2);
  answer batch;
  BOOST_TEST(WaitFor([&] {
    batch = Send(entry1.Callers(),
                 "POST",
                 "/v1/training-runs/minutes/steps/1/batch",
                 ask,
                 headers);
    return batch.mStatus == 200;
  }));
  const auto* samples = batch.mBody.Find("samples");
  BOOST_REQUIRE(samples);
  BOOST_TEST(samples->Elements().size() == 4u);
  for (const auto& sample : samples->Elements()) {
    const auto& versions = sample.Find("versions")->Elements();
    BOOST_REQUIRE(versions.size() == 1u);
    BOOST_TEST(json::IntegerAt(versions[0], "version", 0) == 1);
  }

  for (auto& [name, entry] : mFleet.Entries()) {
    entry.mProcess->Signal(SIGTERM);
    BOOST_TEST(entry.mProcess->WaitForExit(20s) == 0);
  }
  for (auto& [name, backend] : mFleet.Backends()) {
    backend.mAgent->Signal(SIGTERM);
    BOOST_TEST(backend.mAgent->WaitForExit(20s) == 0);
  }
}

BOOST_AUTO_TEST_SUITE_END()
