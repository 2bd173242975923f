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

/** A step as a trainer sees it. */
struct played_step
{
  /** From the moment at which the last awaited group was made to its listing.
   */
  milliseconds mDelay{ 0 };
  int mWrites = 0;
};

/** Items end as in a step of long-tailed lengths: most within two seconds, a
 * few after six. Listed by that pace. */
played_step
Play(std::mt19937& aRandom,
     const std::function<milliseconds(const group_progress&,
                                      milliseconds,
                                      bool,
                                      const waiting_results&)>& aPace)
{
  constexpr milliseconds kDue = 7500ms;
  std::lognormal_distribution<double> length(6.3, 0.84);
  group_progress progress;
  std::vector<std::pair<milliseconds, int>> ends;
  for (int i = 0; i < kGroups * kItemsOfGroup; ++i) {
    const int group = i / kItemsOfGroup;
    NoteOpenItem(progress, std::to_string(group));
    ends.emplace_back(
      milliseconds(std::min<int>(6500, static_cast<int>(length(aRandom)))),
      group);
  }
  std::sort(ends.begin(), ends.end());
  played_step step;
  std::optional<milliseconds> writeAt;
  std::optional<milliseconds> awaitedAt;
  waiting_results results{ 0, kGroups * kItemsOfGroup };
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
    const bool isWhole = NoteResult(progress, std::to_string(group));
    if (!awaitedAt && progress.mWholeGroups >= kTarget) {
      awaitedAt = at;
    }
    const auto planned = at + aPace(progress, kDue - at, isWhole, results);
    writeAt = writeAt ? std::min(*writeAt, planned) : planned;
  }
  ++step.mWrites;
  step.mDelay = *writeAt - *awaitedAt;
  return step;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestListingPace)

// Pattern: a long tail of lengths, and a trainer that waits for nine groups of
// ten. With one pace for all results either the trainer waits for the last
// write, or each early group costs one.
BOOST_AUTO_TEST_CASE(TheAwaitedGroupIsListedAtOnceWithFewWrites)
{
  std::mt19937 random(1);
  played_step paced;
  played_step even;
  constexpr int kSteps = 200;
  for (int i = 0; i < kSteps; ++i) {
    auto again = random;
    const auto step =
      Play(random,
           [](const auto& aProgress,
              auto aDueIn,
              bool aIsWhole,
              const auto& aResults) {
             return GatherTime(aProgress, kTarget, aDueIn, aIsWhole, aResults);
           });
    const auto old = Play(again, [](const auto&, auto, bool aIsWhole, auto) {
      return aIsWhole ? 250ms : 1000ms;
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
    const waiting_results results{ waiting, 100 };
    BOOST_TEST((GatherTime(progress, 10, 1s, true, results) < 200ms));
    BOOST_TEST((GatherTime(progress, 10, -1s, true, results) < 200ms));
    BOOST_TEST((GatherTime(progress, 10, 5s, true, results) >= 500ms));
    BOOST_TEST((GatherTime(progress, 10, 1s, false, results) >= 500ms));
  }
}

// Most priced calls of a calm day are writes of one or two results: those of a
// step's tail come one by one, and nobody waits for them yet.
BOOST_AUTO_TEST_CASE(AFewResultsOfTheTailGoTogether)
{
  group_progress progress;
  const waiting_results few{ 1, 100 };
  const waiting_results many{ 20, 100 };
  BOOST_TEST((GatherTime(progress, 10, 5s, true, few) >= 1s));
  BOOST_TEST((GatherTime(progress, 10, 5s, true, many) <= 500ms));
  // One that ends the step is listed at once, and one that waits is listed
  // when the step nears its time.
  progress.mWholeGroups = 10;
  BOOST_TEST((GatherTime(progress, 10, 5s, true, few) <= 10ms));
  progress.mWholeGroups = 9;
  BOOST_TEST((GatherTime(progress, 10, 1700ms, true, few) <= 300ms));
}

BOOST_AUTO_TEST_CASE(AGroupIsWholeWithItsLastResult)
{
  group_progress progress;
  NoteOpenItem(progress, "g");
  NoteOpenItem(progress, "g");
  NoteOpenItem(progress, "h");
  BOOST_TEST(!NoteResult(progress, "g"));
  BOOST_TEST(NoteResult(progress, "g"));
  BOOST_TEST(!NoteResult(progress, "g"));
  BOOST_TEST(!NoteResult(progress, "unknown"));
  BOOST_TEST(progress.mWholeGroups == 1);
  BOOST_TEST(OpenItems(progress, "h") == 1);
}

BOOST_AUTO_TEST_SUITE_END()
