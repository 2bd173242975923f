#include "Tests/Support/Fleet.h"

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <thread>

using namespace lavender;
using namespace lavender::test;

BOOST_AUTO_TEST_SUITE(TestPausedEntry)

// Guards against stale configuration after a pause: an entry is paused for some
// seconds, during which a key is withdrawn and clients go on connecting. When
// the entry resumes, its last check still says that its configuration is
// current.
BOOST_AUTO_TEST_CASE(AcceptsNoKeyByWhatItKnewBeforeThePause)
{
  fleet fleet;
  fleet.AddBackend("engine-1", "hall-malmo", "modellflotta", "engine");
  fleet.AddEntry("entry-1", "hall-malmo");
  fleet.AddEntry("entry-2", "hall-lund");
  fleet.PublishInstances();
  json::value pool;
  pool.Set("model", "protokoll");
  fleet.Put("BackendPool", "modellflotta", pool);
  const auto key = fleet.AddCustomer("brf-ekbacken");
  const auto other = fleet.AddCustomer("brf-tallen");
  BOOST_REQUIRE(fleet.WaitUntilServing(key, "protokoll"));
  auto& paused = fleet.Entries().at("entry-2");
  paused.mProcess->Signal(SIGSTOP);
  json::value spec;
  spec.Set("customer", "brf-ekbacken");
  spec.Set("withdrawn", true);
  BOOST_REQUIRE(fleet.Put("Key", "brf-ekbacken-key", spec).mStatus == 200);
  // The kernel accepts these connections; the process serves them after it
  // resumes.
  std::vector<answer> answers(8);
  std::vector<std::thread> callers;
  for (auto& answer : answers) {
    callers.emplace_back([&] {
      answer = Complete(paused.Callers(), key, "protokoll", "minutes", 1);
    });
  }
  std::this_thread::sleep_for(8s);
  paused.mProcess->Signal(SIGCONT);
  for (auto& caller : callers) {
    caller.join();
  }
  for (const auto& answer : answers) {
    BOOST_TEST((answer.mStatus == 401 || answer.mStatus == 503),
               answer.mStatus);
  }
  BOOST_TEST(WaitFor([&] {
    return Complete(paused.Callers(), other, "protokoll", "minutes", 1)
             .mStatus == 200;
  }));
  BOOST_TEST(
    Complete(paused.Callers(), key, "protokoll", "minutes", 1).mStatus == 401);
}

BOOST_AUTO_TEST_SUITE_END()
