#include "Duties/Scheduling/RunLength.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <limits>
#include <random>
#include <rapidcheck.h>

using namespace lavender::scheduling;

namespace {

constexpr double kNoNumber = std::numeric_limits<double>::quiet_NaN();
constexpr double kInfinite = std::numeric_limits<double>::infinity();

struct item
{
  double mHint = 0;
  int mEvents = 0;
};

/** Items whose lengths are lognormal, one in twelve of them five times as long.
 * Hints are right at the median and off by a factor. */
std::vector<item>
MakeItems(int aCount, bool aDoesHintTellLongOnes)
{
  std::mt19937_64 random(20261203);
  std::normal_distribution<double> normal;
  std::vector<item> items;
  for (int i = 0; i < aCount; ++i) {
    const double usual = 200 * std::exp(0.6 * normal(random));
    const double length = random() % 12 == 0 ? 5 * usual : usual;
    const double told = aDoesHintTellLongOnes ? length : usual;
    items.push_back({ told * std::exp(0.5 * normal(random)),
                      std::max(1, static_cast<int>(length)) });
  }
  return items;
}

length_statistics
Learn(const std::vector<item>& aItems)
{
  length_statistics statistics;
  for (const auto& item : aItems) {
    RecordLength(statistics, item.mHint, item.mEvents);
  }
  return statistics;
}

rc::Gen<double>
AnyFigure()
{
  return rc::gen::oneOf(
    rc::gen::arbitrary<double>(),
    rc::gen::element(
      kNoNumber, kInfinite, -kInfinite, 0.0, -1.0, 1e308, 1e-308),
    rc::gen::map(rc::gen::inRange(1, 100000),
                 [](int aValue) { return static_cast<double>(aValue); }));
}

void
CheckUsable(const remaining_events& aRemaining)
{
  RC_ASSERT(std::isfinite(aRemaining.mMean) && aRemaining.mMean >= 1);
  RC_ASSERT(std::isfinite(aRemaining.mUpper) && aRemaining.mUpper >= 1);
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestRunLength)

// Guards against long items started last because of a hint that is off.
BOOST_AUTO_TEST_CASE(TheEstimateIsCloserThanTheHint)
{
  for (const bool tells : { false, true }) {
    auto items = MakeItems(3000, tells);
    const std::vector<item> first(items.begin(), items.begin() + 300);
    const auto statistics = Learn(first);
    double estimateError = 0;
    double hintError = 0;
    for (auto item = items.begin() + 300; item != items.end(); ++item) {
      const auto estimate = EstimateRemaining(statistics, item->mHint, 0);
      estimateError += std::pow(estimate.mMean - item->mEvents, 2);
      hintError += std::pow(item->mHint - item->mEvents, 2);
    }
    BOOST_TEST(estimateError < hintError);
  }
}

// Guards against memory that runs out because long items weren't expected.
BOOST_AUTO_TEST_CASE(NineRunsInTenEndWithinTheUpperEstimate)
{
  for (const bool tells : { false, true }) {
    const auto items = MakeItems(5000, tells);
    const auto statistics = Learn(items);
    for (const int made : { 0, 100, 400 }) {
      int longer = 0;
      int within = 0;
      for (const auto& item : items) {
        if (item.mEvents > made) {
          ++longer;
          const auto left = EstimateRemaining(statistics, item.mHint, made);
          within += item.mEvents - made <= left.mUpper ? 1 : 0;
        }
      }
      const double share = static_cast<double>(within) / longer;
      BOOST_TEST_MESSAGE("after " << made << " events: " << share);
      // A run that has outgrown most others is longer than its hint tells.
      BOOST_TEST(share > (made < 400 ? 0.86 : 0.8));
      BOOST_TEST(share < 0.96);
    }
  }
}

BOOST_AUTO_TEST_CASE(WithoutStatisticsTheHintCounts)
{
  const auto estimate = EstimateRemaining({}, 200, 0);
  BOOST_TEST(estimate.mMean > 200);
  BOOST_TEST(estimate.mMean < 300);
  BOOST_TEST(estimate.mUpper > estimate.mMean);
  BOOST_TEST(EstimateRemaining({}, 400, 0).mMean > 1.9 * estimate.mMean);
}

// Guards against items without a hint being taken for the shortest of all.
BOOST_AUTO_TEST_CASE(WithoutAHintTheEarlierLengthsCount)
{
  auto items = MakeItems(300, true);
  const auto hinted = Learn(items);
  for (auto& item : items) {
    item.mHint = 0;
  }
  const auto unhinted = Learn(items);
  for (const double none : { 0.0, -1.0, kNoNumber }) {
    for (const auto* statistics : { &hinted, &unhinted }) {
      const auto estimate = EstimateRemaining(*statistics, none, 0);
      BOOST_TEST(estimate.mMean > 200);
      BOOST_TEST(estimate.mMean < 500);
    }
  }
}

// Guards against jumps of the order while the first items of a model end.
BOOST_AUTO_TEST_CASE(OneItemMoreChangesTheEstimateLittle)
{
  const auto items = MakeItems(200, true);
  length_statistics statistics;
  double last = EstimateRemaining(statistics, 200, 0).mMean;
  for (const auto& item : items) {
    RecordLength(statistics, item.mHint, item.mEvents);
    const double next = EstimateRemaining(statistics, 200, 0).mMean;
    BOOST_TEST(std::abs(next / last - 1) < 0.3);
    last = next;
  }
}

// Guards against a run that is longer than anyone told being taken for done.
BOOST_AUTO_TEST_CASE(ARunThatHasOutgrownItsHintIsExpectedToGoOn)
{
  for (const auto& statistics :
       { length_statistics{}, Learn(MakeItems(500, true)) }) {
    for (const double hint : { 0.0, 1.0, 10.0, 200.0 }) {
      for (const int made : { 2000, 20000, 200000 }) {
        BOOST_TEST(EstimateRemaining(statistics, hint, made).mMean >
                   0.05 * made);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(TheExpectedLengthGrowsWithTheRun)
{
  BOOST_TEST(rc::check("expected length is monotone", [] {
    const auto items = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(1, 5000), rc::gen::inRange(1, 5000)));
    length_statistics statistics;
    for (const auto& [hint, events] : items) {
      RecordLength(statistics, hint, events);
    }
    const double hint = *rc::gen::inRange(0, 5000);
    double mean = 0;
    double upper = 0;
    for (int made = 0; made < 100000; made = made * 3 / 2 + 1) {
      const auto left = EstimateRemaining(statistics, hint, made);
      CheckUsable(left);
      RC_ASSERT(made + left.mMean >= mean * (1 - 1e-6));
      RC_ASSERT(made + left.mUpper >= upper * (1 - 1e-6));
      mean = made + left.mMean;
      upper = made + left.mUpper;
    }
  }));
}

BOOST_AUTO_TEST_CASE(NoInputSpoilsTheEstimate)
{
  BOOST_TEST(rc::check("any hints, lengths and statistics", [] {
    length_statistics statistics;
    if (*rc::gen::arbitrary<bool>()) {
      statistics.mCount = *AnyFigure();
      statistics.mHintMean = *AnyFigure();
      statistics.mLengthMean = *AnyFigure();
      statistics.mHintVariance = *AnyFigure();
      statistics.mCovariance = *AnyFigure();
    }
    const int count = *rc::gen::inRange(0, 50);
    for (int i = 0; i < count; ++i) {
      RecordLength(statistics, *AnyFigure(), *rc::gen::arbitrary<int>());
    }
    CheckUsable(
      EstimateRemaining(statistics, *AnyFigure(), *rc::gen::arbitrary<int>()));
  }));
}

// Guards against one absurd hint that spoils the estimates of its model.
BOOST_AUTO_TEST_CASE(AbsurdHintsCountAsNone)
{
  const auto statistics = Learn(MakeItems(300, true));
  auto unhinted = statistics;
  RecordLength(unhinted, 0, 200);
  for (const double wrong : { -1.0, kNoNumber, kInfinite, 1e300 }) {
    auto spoiled = statistics;
    RecordLength(spoiled, wrong, 200);
    BOOST_TEST(EstimateRemaining(spoiled, 200, 0).mMean ==
               EstimateRemaining(unhinted, 200, 0).mMean);
  }
  auto empty = statistics;
  RecordLength(empty, 200, 0);
  RecordLength(empty, 200, -1);
  BOOST_TEST(empty.mCount == statistics.mCount);
}

BOOST_AUTO_TEST_SUITE_END()
