#include "Duties/Scheduling/StepOrder.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <numeric>
#include <random>
#include <tuple>
#include <utility>

using namespace lavender::scheduling;

namespace {

using seconds = std::chrono::duration<double>;
using ranks = std::vector<std::size_t>;

open_group
Group(int aItems, double aSecondsEach = 1)
{
  return { aItems, seconds(aItems * aSecondsEach), seconds(aSecondsEach) };
}

open_step
Step(std::size_t aGroups,
     int aItems,
     std::size_t aTarget,
     double aTimeLeft,
     double aSecondsEach = 1)
{
  return { seconds(aTimeLeft),
           aTarget,
           std::vector<open_group>(aGroups, Group(aItems, aSecondsEach)) };
}

ranks
RanksOf(const std::vector<ranked_group>& aGroups)
{
  ranks found;
  for (const auto& group : aGroups) {
    found.push_back(group.mRank);
  }
  return found;
}

std::size_t
Count(const std::vector<ranked_group>& aGroups, group_standing aStanding)
{
  return std::count_if(aGroups.begin(), aGroups.end(), [&](const auto& aGroup) {
    return aGroup.mStanding == aStanding;
  });
}

// A queue of a few lines: at each tick the first items by rank, then the
// longest, get the places. A trainer ends its step when it has its groups or
// shortly after the due time.

constexpr double kTick = 0.1;
constexpr double kDueAfter = 7.5;
constexpr double kSubmissionInterval = 4;

struct queue_step
{
  double mSubmittedAt = 0;
  std::size_t mTarget = 0;
  bool mIsPatient = false;
  /** Ticks that each item still needs, by group. */
  std::vector<std::vector<int>> mItems;
  std::vector<group_standing> mStandings;
  /** Number of times that each group was deferred. */
  std::vector<int> mDeferrals;
  std::size_t mComplete = 0;
  std::size_t mInTime = 0;
  /** A group could be complete in time with all places for itself, when the
   * step became the one due first. */
  bool mCouldFinishOne = false;
  bool mWasFirst = false;
  double mCompleteAt = 0;
};

struct queue
{
  int mPlaces = 16;
  /** Ranks as RankSteps does, or the older step first. */
  bool mUsesRankSteps = true;
  /** Relative error of the estimates, another one at each call. */
  double mNoise = 0;
  double mNow = 0;
  std::vector<queue_step> mSteps;
  unsigned mSeed = 1;

  double Error()
  {
    mSeed = mSeed * 1103515245U + 12345U;
    return 1 + mNoise * ((mSeed >> 16U) % 200 / 100.0 - 1);
  }

  bool IsOpen(const queue_step& aStep) const
  {
    return aStep.mSubmittedAt <= mNow && aStep.mComplete < aStep.mTarget &&
           (aStep.mIsPatient || mNow < aStep.mSubmittedAt + kDueAfter + 0.5);
  }

  open_step View(const queue_step& aStep)
  {
    open_step view;
    view.mTimeLeft = seconds(aStep.mSubmittedAt + kDueAfter - mNow);
    view.mTargetGroups = aStep.mTarget - aStep.mComplete;
    for (std::size_t i = 0; i < aStep.mItems.size(); ++i) {
      open_group group;
      for (const auto left : aStep.mItems[i]) {
        group.mOpenItems += left > 0 ? 1 : 0;
        group.mWork += seconds(left * kTick * Error());
        group.mLongest =
          std::max(group.mLongest, seconds(left * kTick * Error()));
      }
      group.mLastStanding = aStep.mStandings[i];
      view.mGroups.push_back(group);
    }
    return view;
  }

  static void NoteFirst(queue_step& aStep, const open_step& aView, int aPlaces)
  {
    if (std::exchange(aStep.mWasFirst, true)) {
      return;
    }
    for (const auto& group : aView.mGroups) {
      aStep.mCouldFinishOne |=
        group.mOpenItems > 0 &&
        group.mWork / aPlaces + group.mLongest <= aView.mTimeLeft;
    }
  }

  static void NoteStandings(queue_step& aStep,
                            const std::vector<ranked_group>& aRanks)
  {
    for (std::size_t i = 0; i < aRanks.size(); ++i) {
      const bool wasInTime = aStep.mStandings[i] == group_standing::InTime;
      aStep.mStandings[i] = aRanks[i].mStanding;
      aStep.mDeferrals[i] +=
        wasInTime && aRanks[i].mStanding != group_standing::InTime &&
            aRanks[i].mStanding != group_standing::Complete
          ? 1
          : 0;
    }
  }

  void Tick()
  {
    std::vector<queue_step*> open;
    std::vector<open_step> views;
    for (auto& step : mSteps) {
      step.mStandings.resize(step.mItems.size(), group_standing::Complete);
      step.mDeferrals.resize(step.mItems.size());
      if (IsOpen(step)) {
        open.push_back(&step);
        views.push_back(View(step));
      }
    }
    auto ranked = RankSteps(views, mPlaces);
    std::vector<std::tuple<std::size_t, int, int*>> items;
    bool hasFirst = false;
    for (std::size_t s = 0; s < open.size(); ++s) {
      NoteStandings(*open[s], ranked[s]);
      if (!hasFirst && views[s].mTimeLeft > seconds(0)) {
        NoteFirst(*open[s], views[s], mPlaces);
        hasFirst = true;
      }
      for (std::size_t g = 0; g < open[s]->mItems.size(); ++g) {
        for (auto& left : open[s]->mItems[g]) {
          if (left > 0) {
            items.emplace_back(
              mUsesRankSteps ? ranked[s][g].mRank : s, -left, &left);
          }
        }
      }
    }
    std::sort(items.begin(), items.end());
    for (std::size_t i = 0; i < items.size() && int(i) < mPlaces; ++i) {
      --*std::get<2>(items[i]);
    }
    mNow += kTick;
    for (auto* step : open) {
      const auto complete = static_cast<std::size_t>(std::count_if(
        step->mItems.begin(), step->mItems.end(), [](const auto& aItems) {
          return std::all_of(
            aItems.begin(), aItems.end(), [](int aLeft) { return aLeft == 0; });
        }));
      step->mComplete = complete;
      step->mInTime =
        mNow <= step->mSubmittedAt + kDueAfter ? complete : step->mInTime;
      step->mCompleteAt = complete < step->mTarget ? mNow : step->mCompleteAt;
    }
  }

  void Run(double aUntil)
  {
    while (mNow < aUntil) {
      Tick();
    }
  }

  std::size_t InTime() const
  {
    return std::accumulate(mSteps.begin(),
                           mSteps.end(),
                           std::size_t(0),
                           [](auto aSum, const auto& aStep) {
                             return aSum +
                                    std::min(aStep.mInTime, aStep.mTarget);
                           });
  }
};

queue_step
QueueStep(double aSubmittedAt,
          std::size_t aGroups,
          int aItems,
          double aShortest,
          double aLongest)
{
  queue_step step;
  step.mSubmittedAt = aSubmittedAt;
  step.mTarget = (aGroups * 9 + 9) / 10;
  for (std::size_t g = 0; g < aGroups; ++g) {
    std::vector<int> items;
    for (int i = 0; i < aItems; ++i) {
      const double part = double((g * 7 + i * 5) % 16) / 15;
      items.push_back(static_cast<int>(
        (aShortest + part * (aLongest - aShortest)) / kTick + 0.5));
    }
    step.mItems.push_back(std::move(items));
  }
  return step;
}

constexpr unsigned kHistories = 300;

/** A trainer's steps, some of them with much more work than others. */
queue
GeneratedQueue(unsigned aSeed)
{
  std::mt19937 random(aSeed);
  const auto below = [&](unsigned aLimit) { return random() % aLimit; };
  queue made;
  made.mSeed = aSeed;
  made.mPlaces = 8 + static_cast<int>(below(56));
  const auto steps = 2 + below(4);
  for (unsigned i = 0; i < steps; ++i) {
    const double shortest = (2 + below(13)) / 10.0;
    made.mSteps.push_back(QueueStep(i * kSubmissionInterval,
                                    4 + below(23),
                                    below(2) == 0 ? 8 : 16,
                                    shortest,
                                    shortest + below(45) / 10.0));
  }
  return made;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestStepOrder)

/** Load above what the servers bear: items of all groups run in turn, and at
 * the due time each group lacks some, so that none counts. */
BOOST_AUTO_TEST_CASE(UnderOverloadSomeGroupsAreFinishedInsteadOfAPartOfEach)
{
  BOOST_TEST(RanksOf(RankSteps({ Step(5, 16, 4, 4.2) }, 10)[0]) ==
               (ranks{ 0, 0, 1, 2, 3 }),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(GroupsThatTheTrainerDoesNotWaitForComeLast)
{
  BOOST_TEST(RanksOf(RankSteps({ Step(5, 16, 4, 100) }, 10)[0]) ==
               (ranks{ 0, 0, 0, 0, 1 }),
             boost::test_tools::per_element());
}

/** A group that comes again from an earlier step is the one that the trainer
 * won't do without: left for last because of its long items, it ends its step
 * late. */
BOOST_AUTO_TEST_CASE(WithRoomTheGroupsSubmittedFirstAreChosen)
{
  auto step = Step(3, 16, 2, 20);
  step.mGroups[0] = Group(16, 3);
  BOOST_TEST(RanksOf(RankSteps({ step }, 10)[0]) == (ranks{ 0, 0, 1 }),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(GroupsThatAreFurtherOnComeFirst)
{
  auto step = Step(4, 16, 4, 3.2);
  step.mGroups[2] = Group(6);
  BOOST_TEST(RanksOf(RankSteps({ step }, 10)[0]) == (ranks{ 0, 1, 0, 2 }),
             boost::test_tools::per_element());
}

/** Guards against complete groups that use up the number of groups that the
 * trainer still waits for: the others would run one by one, and the longest
 * items of the last one would start last. */
BOOST_AUTO_TEST_CASE(CompleteGroupsTakeNoPlace)
{
  auto step = Step(4, 16, 2, 4.2);
  step.mGroups[0] = step.mGroups[1] = {};
  BOOST_TEST(RanksOf(RankSteps({ step }, 10)[0]) == (ranks{ 0, 0, 0, 0 }),
             boost::test_tools::per_element());
}

/** A step that is late already still gets its groups one by one. */
BOOST_AUTO_TEST_CASE(WithoutTimeLeftGroupsFollowOneByOne)
{
  BOOST_TEST(RanksOf(RankSteps({ Step(3, 16, 3, -1) }, 10)[0]) ==
               (ranks{ 0, 1, 2 }),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(TheSharedRankHoldsNoMoreThanIsFeasible)
{
  BOOST_TEST(rc::check("feasible groups", [] {
    open_step step;
    for (int i = *rc::gen::inRange(0, 30); i > 0; --i) {
      step.mGroups.push_back(Group(*rc::gen::inRange(0, 20)));
    }
    step.mTargetGroups = *rc::gen::inRange<std::size_t>(0, 30);
    const int places = *rc::gen::inRange(1, 40);
    step.mTimeLeft = seconds(*rc::gen::inRange(-50, 111) / 10.0);
    const double feasible = places * step.mTimeLeft.count();
    const auto ranked = RankSteps({ step }, places)[0];
    RC_ASSERT(ranked.size() == step.mGroups.size());
    std::size_t shared = 0;
    double items = 0;
    bool hasOpen = false;
    for (std::size_t i = 0; i < ranked.size(); ++i) {
      const auto open = step.mGroups[i].mOpenItems;
      hasOpen = hasOpen || open > 0;
      shared += ranked[i].mRank == 0 && open > 0 ? 1 : 0;
      items += ranked[i].mRank == 0 ? open : 0;
    }
    RC_ASSERT(shared <= step.mTargetGroups);
    RC_ASSERT(shared <= 1 || items <= feasible);
    RC_ASSERT(shared >= 1 || step.mTargetGroups == 0 || !hasOpen);
  }));
}

BOOST_AUTO_TEST_CASE(WithRoomOlderStepsComeFirstAndShareOneRankEach)
{
  const auto ranked = RankSteps({ Step(3, 8, 3, 3.5), Step(3, 8, 3, 7.5) }, 48);
  BOOST_TEST(RanksOf(ranked[0]) == (ranks{ 0, 0, 0 }),
             boost::test_tools::per_element());
  BOOST_TEST(RanksOf(ranked[1]) == (ranks{ 1, 1, 1 }),
             boost::test_tools::per_element());
}

/** Two steps above what the servers bear: the older one took the places until
 * both were late. */
BOOST_AUTO_TEST_CASE(GroupsThatCannotBeInTimeYieldToANewerStep)
{
  const auto ranked =
    RankSteps({ Step(2, 16, 2, 1.5, 2), Step(2, 16, 2, 6.5, 2) }, 16);
  BOOST_TEST(Count(ranked[0], group_standing::Late) == 2);
  BOOST_TEST(Count(ranked[1], group_standing::InTime) == 2);
  BOOST_TEST(RanksOf(ranked[1]) == (ranks{ 0, 0 }),
             boost::test_tools::per_element());
  BOOST_TEST(RanksOf(ranked[0]) == (ranks{ 1, 2 }),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(OfTwoStepsTheGroupsFurtherOnAreFinished)
{
  auto older = Step(4, 16, 4, 3.5);
  older.mGroups[0] = Group(3);
  auto newer = Step(4, 16, 4, 7.5);
  newer.mGroups[1] = newer.mGroups[2] = Group(4);
  const auto ranked = RankSteps({ older, newer }, 4);
  BOOST_TEST(Count(ranked[0], group_standing::InTime) == 1);
  BOOST_TEST(Count(ranked[1], group_standing::InTime) == 3);
  BOOST_TEST(ranked[0][0].mRank == 0);
}

/** Steps each 4 s with more work than the servers bear: the simple queue that
 * serves the older step first finishes fewer groups in time. */
BOOST_AUTO_TEST_CASE(UnderOverloadMoreGroupsAreInTimeThanOldestFirst)
{
  queue ranked;
  for (int i = 0; i < 8; ++i) {
    ranked.mSteps.push_back(
      QueueStep(i * kSubmissionInterval, 12 + i % 3 * 4, 8, 0.5, 4));
  }
  ranked.mPlaces = 48;
  auto oldest = ranked;
  oldest.mUsesRankSteps = false;
  ranked.Run(45);
  oldest.Run(45);
  BOOST_TEST(ranked.InTime() > oldest.InTime());
}

BOOST_AUTO_TEST_CASE(ThereAreHardlyEverFewerInTimeThanOldestFirst)
{
  std::size_t rankedSum = 0;
  std::size_t oldestSum = 0;
  for (unsigned seed = 1; seed <= kHistories; ++seed) {
    auto ranked = GeneratedQueue(seed);
    auto oldest = ranked;
    oldest.mUsesRankSteps = false;
    ranked.Run(36);
    oldest.Run(36);
    BOOST_TEST_CONTEXT("seed " << seed)
    BOOST_TEST(ranked.InTime() + 1 + oldest.InTime() / 20 >= oldest.InTime());
    rankedSum += ranked.InTime();
    oldestSum += oldest.InTime();
  }
  BOOST_TEST_MESSAGE("in time: " << rankedSum << ", oldest first "
                                 << oldestSum);
  BOOST_TEST(rankedSum > oldestSum);
}

/** Guards against a step with large groups that newer steps with smaller ones
 * overtake until it is late. */
BOOST_AUTO_TEST_CASE(EachStepFinishesAGroupIfOneCanBeInTime)
{
  for (unsigned seed = 1; seed <= kHistories; ++seed) {
    auto made = GeneratedQueue(seed);
    made.Run(36);
    for (const auto& step : made.mSteps) {
      BOOST_TEST_CONTEXT("seed " << seed)
      BOOST_TEST((!step.mCouldFinishOne || step.mInTime > 0));
    }
  }
}

BOOST_AUTO_TEST_CASE(TheStepDueFirstKeepsItsShare)
{
  BOOST_TEST(rc::check("kept share", [] {
    std::vector<open_step> steps;
    for (int i = *rc::gen::inRange(1, 5); i > 0; --i) {
      steps.push_back(Step(*rc::gen::inRange<std::size_t>(1, 27),
                           *rc::gen::element(8, 16),
                           27,
                           7.5 - (i - 1) * 2,
                           *rc::gen::inRange(1, 20) / 10.0));
    }
    const int places = *rc::gen::inRange(1, 64);
    const auto ranked = RankSteps(steps, places);
    const auto& first = steps[0];
    const auto& group = first.mGroups[0];
    const auto room = first.mTimeLeft * places;
    if (group.mLongest > first.mTimeLeft || group.mWork > room) {
      return;
    }
    const auto inTime = Count(ranked[0], group_standing::InTime);
    RC_ASSERT(inTime >= 1);
    RC_ASSERT(inTime == first.mGroups.size() ||
              group.mWork * (inTime + 1) > room * kProtectedShare);
    RC_ASSERT(ranked[0][0].mRank == 0);
  }));
}

/** A constant flow of short steps beyond what the servers bear, and a trainer
 * that waits for its large groups as long as it takes. */
BOOST_AUTO_TEST_CASE(ATrainerThatWaitsLongerGetsItsGroups)
{
  queue made;
  auto patient = QueueStep(0, 2, 32, 4, 6);
  patient.mIsPatient = true;
  made.mSteps.push_back(patient);
  for (int i = 0; i < 20; ++i) {
    made.mSteps.push_back(QueueStep(i * kSubmissionInterval, 26, 8, 0.3, 1));
  }
  made.Run(80);
  const double work = 2 * 32 * 6;
  BOOST_TEST(made.mSteps[0].mComplete == 2);
  BOOST_TEST(made.mSteps[0].mCompleteAt <=
             kDueAfter + 10 + work / made.mPlaces + 2 * 6);
}

/** Estimates that vary at each call moved steps at the limit to and fro, so
 * that each got a part of the places. */
BOOST_AUTO_TEST_CASE(VaryingEstimatesDoNotMoveGroupsToAndFro)
{
  for (unsigned seed = 1; seed <= kHistories; ++seed) {
    auto made = GeneratedQueue(seed);
    made.mNoise = 0.05;
    made.Run(36);
    for (const auto& step : made.mSteps) {
      BOOST_TEST_CONTEXT("seed " << seed)
      BOOST_TEST(
        *std::max_element(step.mDeferrals.begin(), step.mDeferrals.end()) <= 3);
    }
  }
}

BOOST_AUTO_TEST_CASE(ServiceDoesNotDependOnTheNumberOfItems)
{
  BOOST_TEST(rc::check("same work, other items", [] {
    std::vector<open_step> steps{ Step(*rc::gen::inRange(1, 14), 16, 9, 3.5),
                                  Step(*rc::gen::inRange(1, 14), 16, 9, 7.5) };
    auto finer = steps;
    for (auto& step : finer) {
      for (auto& group : step.mGroups) {
        group.mOpenItems = *rc::gen::element(8, 16, 32);
      }
    }
    const int places = *rc::gen::inRange(1, 64);
    const auto left = RankSteps(steps, places);
    const auto right = RankSteps(finer, places);
    for (std::size_t i = 0; i < steps.size(); ++i) {
      RC_ASSERT(RanksOf(left[i]) == RanksOf(right[i]));
    }
  }));
}

BOOST_AUTO_TEST_CASE(GroupsOfEightAndSixteenGetTheSameService)
{
  for (const int places : { 4, 8, 16, 32 }) {
    const auto eights = Step(14, 8, 14, 6, 1);
    const auto sixteens = Step(14, 16, 14, 6, 0.5);
    const auto first = RankSteps({ eights, sixteens }, places);
    const auto second = RankSteps({ sixteens, eights }, places);
    for (const std::size_t step : { 0, 1 }) {
      BOOST_TEST(Count(first[step], group_standing::InTime) ==
                 Count(second[step], group_standing::InTime));
    }
  }
}

/** Guards against a crash of an entry without a batch. */
BOOST_AUTO_TEST_CASE(WithoutStepsThereAreNoRanks)
{
  BOOST_TEST(RankSteps({}, 10).empty());
  BOOST_TEST(RankSteps({}, 0).empty());
}

/** Guards against a step without groups that shifts the ranks of the others. */
BOOST_AUTO_TEST_CASE(AStepWithoutGroupsChangesNoRankOfOthers)
{
  const auto older = Step(3, 8, 3, 3.5);
  const auto newer = Step(3, 8, 3, 7.5);
  for (const std::size_t target : { 0, 3 }) {
    for (const double timeLeft : { -20.0, 0.0, 5.0 }) {
      const auto ranked =
        RankSteps({ older, Step(0, 8, target, timeLeft), newer }, 48);
      BOOST_REQUIRE_EQUAL(ranked.size(), 3U);
      BOOST_TEST(RanksOf(ranked[0]) == (ranks{ 0, 0, 0 }),
                 boost::test_tools::per_element());
      BOOST_TEST(ranked[1].empty());
      BOOST_TEST(RanksOf(ranked[2]) == (ranks{ 1, 1, 1 }),
                 boost::test_tools::per_element());
    }
  }
  BOOST_REQUIRE_EQUAL(RankSteps({ Step(0, 8, 3, 5) }, 48).size(), 1U);
}

/** All servers gone: guards against a division by no places, and against
 * groups that get the rank of another one. */
BOOST_AUTO_TEST_CASE(WithoutPlacesEachGroupHasARank)
{
  for (const double timeLeft : { -20.0, -1.0, 0.0, 7.5 }) {
    const auto ranked =
      RankSteps({ Step(3, 8, 2, timeLeft), Step(2, 16, 2, 7.5) }, 0);
    BOOST_REQUIRE_EQUAL(ranked.size(), 2U);
    BOOST_REQUIRE_EQUAL(ranked[0].size(), 3U);
    BOOST_REQUIRE_EQUAL(ranked[1].size(), 2U);
    auto found = RanksOf(ranked[0]);
    const auto second = RanksOf(ranked[1]);
    found.insert(found.end(), second.begin(), second.end());
    std::sort(found.begin(), found.end());
    BOOST_TEST(found.front() == 0U);
    BOOST_TEST((std::adjacent_find(found.begin(), found.end()) == found.end()));
    BOOST_TEST(Count(ranked[0], group_standing::Complete) == 0U);
    BOOST_TEST(Count(ranked[1], group_standing::Complete) == 0U);
  }
}

BOOST_AUTO_TEST_SUITE_END()
