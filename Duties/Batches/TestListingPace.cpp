#include "Duties/Batches/ListingPace.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <optional>
#include <random>
#include <vector>

using namespace lavender;
using namespace lavender::batches;
using namespace std::chrono_literals;

namespace {

constexpr int kGroups = 25;
constexpr int kItemsOfGroup = 4;
constexpr int kTarget = 23;

/** Outcome of a simulated step. */
struct played_step
{
  /** Time from the completion of the last awaited group to its listing. */
  milliseconds mDelay{ 0 };
  int mWrites = 0;
};

/** Simulates a step with a long-tailed distribution of run lengths: most items
 * end within two seconds, a few after six. aPace decides when the pending
 * results are written. */
played_step
Play(std::mt19937& aRandom,
     const std::function<milliseconds(const group_progress&,
                                      milliseconds,
                                      bool,
                                      const pending_results&)>& aPace)
{
  constexpr milliseconds kDue = 7500ms;
  std::lognormal_distribution<double> length(6.3, 0.84);
  group_progress progress;
  std::vector<std::pair<milliseconds, int>> ends;
  for (int i = 0; i < kGroups * kItemsOfGroup; ++i) {
    const int group = i / kItemsOfGroup;
    RecordOpenItem(progress, std::to_string(group));
    ends.emplace_back(
      milliseconds(std::min<int>(6500, static_cast<int>(length(aRandom)))),
      group);
  }
  std::sort(ends.begin(), ends.end());
  played_step step;
  std::optional<milliseconds> writeAt;
  std::optional<milliseconds> awaitedAt;
  pending_results results{ 0, kGroups * kItemsOfGroup };
  for (const auto& [at, group] : ends) {
    if (writeAt && *writeAt <= at) {
      ++step.mWrites;
      if (awaitedAt) {
        step.mDelay = *writeAt - *awaitedAt;
        return step;
      }
      writeAt.reset();
      results.mWaiting = 0;
    }
    ++results.mWaiting;
    const bool isComplete = RecordResult(progress, std::to_string(group));
    if (!awaitedAt && progress.mCompleteGroups >= kTarget) {
      awaitedAt = at;
    }
    const auto planned = at + aPace(progress, kDue - at, isComplete, results);
    writeAt = writeAt ? std::min(*writeAt, planned) : planned;
  }
  ++step.mWrites;
  step.mDelay = *writeAt - *awaitedAt;
  return step;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestListingPace)

// Guards against two failures with a long tail of run lengths and a trainer
// that waits for nine groups in ten. With the same delay for all results,
// either the trainer waits for the last write or each early group costs a
// write.
BOOST_AUTO_TEST_CASE(TheAwaitedGroupIsListedAtOnceWithFewWrites)
{
  std::mt19937 random(1);
  played_step paced;
  played_step even;
  constexpr int kSteps = 200;
  for (int i = 0; i < kSteps; ++i) {
    auto again = random;
    const auto step = Play(
      random,
      [](const auto& aProgress,
         auto aDueIn,
         bool aIsComplete,
         const auto& aResults) {
        return CommitDelay(aProgress, kTarget, aDueIn, aIsComplete, aResults);
      });
    const auto old = Play(again, [](const auto&, auto, bool aIsComplete, auto) {
      return aIsComplete ? 250ms : 1000ms;
    });
    paced.mDelay += step.mDelay;
    paced.mWrites += step.mWrites;
    even.mDelay += old.mDelay;
    even.mWrites += old.mWrites;
  }
  BOOST_TEST((paced.mDelay / kSteps <= 10ms));
  BOOST_TEST((even.mDelay / kSteps >= 50ms));
  BOOST_TEST(paced.mWrites < even.mWrites);
}

BOOST_AUTO_TEST_CASE(NearTheDueTimeEachGroupCounts)
{
  group_progress progress;
  for (const std::size_t waiting : { 1u, 50u }) {
    const pending_results results{ waiting, 100 };
    BOOST_TEST((CommitDelay(progress, 10, 1s, true, results) < 200ms));
    BOOST_TEST((CommitDelay(progress, 10, -1s, true, results) < 200ms));
    BOOST_TEST((CommitDelay(progress, 10, 5s, true, results) >= 500ms));
    BOOST_TEST((CommitDelay(progress, 10, 1s, false, results) >= 500ms));
  }
}

// Guards against writing one or two results at a time, which made up most of
// the billed store calls of a quiet day: the results of a step's tail arrive
// one by one, and the trainer doesn't wait for them yet.
BOOST_AUTO_TEST_CASE(AFewResultsOfTheTailGoTogether)
{
  group_progress progress;
  const pending_results few{ 1, 100 };
  const pending_results many{ 20, 100 };
  BOOST_TEST((CommitDelay(progress, 10, 5s, true, few) >= 1s));
  BOOST_TEST((CommitDelay(progress, 10, 5s, true, many) <= 500ms));
  // A result that completes the step is listed at once, and a pending one is
  // listed when the step nears its due time.
  progress.mCompleteGroups = 10;
  BOOST_TEST((CommitDelay(progress, 10, 5s, true, few) <= 10ms));
  progress.mCompleteGroups = 9;
  BOOST_TEST((CommitDelay(progress, 10, 1700ms, true, few) <= 300ms));
}

BOOST_AUTO_TEST_CASE(AGroupIsWholeWithItsLastResult)
{
  group_progress progress;
  RecordOpenItem(progress, "g");
  RecordOpenItem(progress, "g");
  RecordOpenItem(progress, "h");
  BOOST_TEST(!RecordResult(progress, "g"));
  BOOST_TEST(RecordResult(progress, "g"));
  BOOST_TEST(!RecordResult(progress, "g"));
  BOOST_TEST(!RecordResult(progress, "unknown"));
  BOOST_TEST(progress.mCompleteGroups == 1);
  BOOST_TEST(OpenItems(progress, "h") == 1);
}

BOOST_AUTO_TEST_SUITE_END()
