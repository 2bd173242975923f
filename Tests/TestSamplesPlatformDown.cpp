#include "Tests/Support/TrainingSite.h"

#include <boost/test/unit_test.hpp>
#include <thread>

using namespace lavender;
using namespace lavender::test;

namespace {

using steady = std::chrono::steady_clock;

/** Checks that the trainer gets its response at once during an outage, with a
 * time to retry. Returns the number of such responses. */
int
RequestDuringOutage(training_site& aSite,
                    const std::string& aEntry,
                    int aStep,
                    std::chrono::milliseconds aLength)
{
  int refused = 0;
  const auto end = steady::now() + aLength;
  while (steady::now() < end) {
    const auto got = aSite.RequestBatch(aEntry, aStep);
    BOOST_TEST(got.mStatus == 503);
    BOOST_TEST(!http::HeaderOr(got.mHeaders, "Retry-After", "").empty());
    ++refused;
    std::this_thread::sleep_for(200ms);
  }
  return refused;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestSamplesPlatformDown)

// The store goes down while a step's samples are made. The engines go on, the
// samples stay in the entry's memory, the trainer is told at once to retry
// later, and gets its batch as soon as the store has it.
BOOST_FIXTURE_TEST_CASE(StepUnderWayIsFixedWhenTheStoreIsBack, training_site)
{
  for (const char* engine : { "engine-1", "engine-2" }) {
    SetFault(engine, { { "per_token_us", 20000 } });
  }
  BOOST_TEST(RequestBatch("entry-1", 1).mStatus == 503);
  std::this_thread::sleep_for(300ms);
  SetPlatformFault({ { "down", true } });
  BOOST_TEST(RequestDuringOutage(*this, "entry-1", 1, 6s) > 10);
  SetPlatformFault({ { "down", false } });
  const auto back = steady::now();
  const auto batch = WaitForBatch("entry-1", 1);
  const auto idle = steady::now() - back;
  BOOST_TEST_MESSAGE(
    "trainer idle after the store was back, ms: "
    << std::chrono::duration_cast<std::chrono::milliseconds>(idle).count());
  CheckVersions(batch.mBody);
}

// The store is already down when the trainer asks, so the batch can't be
// claimed. The samples are made without a claim; the claim, the parts and the
// end are written once the store is back.
BOOST_FIXTURE_TEST_CASE(StepBegunInAnOutageIsMadeMeanwhile, training_site)
{
  SetPlatformFault({ { "down", true } });
  BOOST_TEST(RequestDuringOutage(*this, "entry-1", 1, 4s) > 5);
  int runs = 0;
  for (const char* engine : { "engine-1", "engine-2" }) {
    const auto log = Send(Engine(engine), "GET", "/control/log").mBody;
    for (const auto& run : log.Find("truths")->Elements()) {
      runs += json::StringAt(run, "request", "").rfind("minutes.1.", 0) == 0;
    }
  }
  BOOST_TEST(runs >= kPrompts * kPerPrompt);
  SetPlatformFault({ { "down", false } });
  const auto back = steady::now();
  const auto batch = WaitForBatch("entry-1", 1);
  const auto idle = steady::now() - back;
  BOOST_TEST_MESSAGE(
    "trainer idle after the store was back, ms: "
    << std::chrono::duration_cast<std::chrono::milliseconds>(idle).count());
  CheckVersions(batch.mBody);
}

// The store carries out a write and its response is lost: at the claim, the
// parts, the end and the first delivery. If the entry took these writes for
// failed, it would make the step twice or deliver two batches.
BOOST_FIXTURE_TEST_CASE(LostAnswersMakeNoSecondBatch, training_site)
{
  for (int step = 1; step <= 4; ++step) {
    SetPlatformFault({ { "lose_answers", step } });
    const auto first = WaitForBatch("entry-1", step);
    SetPlatformFault({ { "lose_answers", 1 } });
    BOOST_TEST(
      WaitFor([&] { return Acknowledge("entry-1", step).mStatus == 200; }));
    BOOST_TEST(RequestBatch("entry-2", step).mStatus == 410);
    CheckVersions(first.mBody);
  }
  const auto records =
    Send(mFleet.PlatformPort(), "GET", "/v1/objects?kind=Batch").mBody;
  BOOST_TEST(records.Find("items")->Elements().size() == 4u);
}

// The store responds to each call after 400 ms: no request waits for samples,
// and the batch is still delivered.
BOOST_FIXTURE_TEST_CASE(SlowStoreDelaysOnlyTheFixing, training_site)
{
  SetPlatformFault({ { "slow_ms", 400 } });
  const auto batch = WaitForBatch("entry-1", 1);
  CheckVersions(batch.mBody);
  SetPlatformFault({ { "slow_ms", 0 } });
}

BOOST_AUTO_TEST_SUITE_END()
