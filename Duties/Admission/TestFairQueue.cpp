#include "Duties/Admission/FairQueue.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <set>

using namespace lavender;
using namespace lavender::admission;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kCustomers = 4;
constexpr std::array<double, kCustomers> kWeights = { 1, 2, 0.5, 4 };
constexpr std::int64_t kMaximumCost = 50;

std::string
NameOf(std::size_t aCustomer)
{
  return "customer-" + std::to_string(aCustomer);
}

/** Served cost by weight of one customer ahead of another since both have
 * had waiting requests, with its extremes. */
struct pair_account
{
  double mAhead = 0;
  double mLowest = 0;
  double mHighest = 0;
};

/** What must hold, told without virtual times: who waits, who went. */
struct oracle
{
  std::map<std::string, queue_item> mWaiting;
  std::set<std::string> mGone;
  std::array<std::size_t, kCustomers> mCount{};
  std::array<std::array<pair_account, kCustomers>, kCustomers> mPairs{};

  static std::size_t IndexOf(const queue_item& aItem)
  {
    return static_cast<std::size_t>(aItem.mCustomer.back() - '0');
  }

  void Add(const queue_item& aItem)
  {
    mWaiting[aItem.mId] = aItem;
    ++mCount[IndexOf(aItem)];
  }

  void Leave(const queue_item& aItem)
  {
    RC_ASSERT(mWaiting.erase(aItem.mId) == 1u);
    RC_ASSERT(mGone.insert(aItem.mId).second);
    const auto index = IndexOf(aItem);
    if (--mCount[index] == 0) {
      for (std::size_t other = 0; other < kCustomers; ++other) {
        mPairs[index][other] = mPairs[other][index] = {};
      }
    }
  }

  void Serve(const queue_item& aItem)
  {
    const auto served = IndexOf(aItem);
    const double share = static_cast<double>(aItem.mCost) / kWeights[served];
    for (std::size_t other = 0; other < kCustomers; ++other) {
      if (other == served || mCount[other] == 0) {
        continue;
      }
      auto& pair = mPairs[served][other];
      pair.mAhead += share;
      pair.mHighest = std::max(pair.mHighest, pair.mAhead);
      auto& mirror = mPairs[other][served];
      mirror.mAhead -= share;
      mirror.mLowest = std::min(mirror.mLowest, mirror.mAhead);
      const double bound =
        kMaximumCost / kWeights[served] + kMaximumCost / kWeights[other];
      RC_ASSERT(pair.mHighest - pair.mLowest <= bound + 1e-6);
      RC_ASSERT(mirror.mHighest - mirror.mLowest <= bound + 1e-6);
    }
    Leave(aItem);
  }
};

queue_item
MakeItem(int aNumber, std::size_t aCustomer, std::int64_t aCost, int aPriority)
{
  queue_item item;
  item.mId = "r" + std::to_string(aNumber);
  item.mCustomer = NameOf(aCustomer);
  item.mWeight = kWeights[aCustomer];
  item.mCost = aCost;
  item.mPriority = aPriority;
  item.mDeadline = time_point(24h);
  return item;
}

void
PushOne(fair_queue& aQueue, oracle& aOracle, int aNumber)
{
  const auto item = MakeItem(aNumber,
                             *rc::gen::inRange<std::size_t>(0, kCustomers),
                             *rc::gen::inRange<std::int64_t>(1, kMaximumCost),
                             *rc::gen::inRange(0, 3));
  const bool isFull = aOracle.mWaiting.size() >= aQueue.mLimits.mMaximumQueued;
  const auto answer = Push(aQueue, item, 0, time_point(0s));
  if (answer.mDisplaced) {
    RC_ASSERT(isFull);
    RC_ASSERT(answer.mDisplaced->mCustomer != item.mCustomer);
    aOracle.Leave(*answer.mDisplaced);
  }
  RC_ASSERT(answer.mIsQueued == (!isFull || answer.mDisplaced.has_value()));
  RC_ASSERT(answer.mIsQueued || answer.mRetryAfter > 0ms);
  if (answer.mIsQueued) {
    aOracle.Add(item);
  }
}

void
PopOne(fair_queue& aQueue, oracle& aOracle)
{
  const auto item = Pop(aQueue);
  RC_ASSERT(item.has_value() == !aOracle.mWaiting.empty());
  if (!item) {
    return;
  }
  for (const auto& [id, other] : aOracle.mWaiting) {
    RC_ASSERT(other.mCustomer != item->mCustomer ||
              other.mPriority <= item->mPriority);
  }
  aOracle.Serve(*item);
}

void
RemoveOne(fair_queue& aQueue, oracle& aOracle, int aNumber)
{
  const auto id = "r" + std::to_string(*rc::gen::inRange(0, aNumber + 1));
  const auto waiting = aOracle.mWaiting.find(id);
  if (waiting == aOracle.mWaiting.end()) {
    RC_ASSERT(!Remove(aQueue, NameOf(0), id));
    return;
  }
  const auto item = waiting->second;
  RC_ASSERT(Remove(aQueue, item.mCustomer, id));
  aOracle.Leave(item);
}

/** Waits and refusals of the small customers beside one that floods. */
struct flood_result
{
  int mRefused = 0;
  milliseconds mLongestWait{ 0 };
  int mLargeRefused = 0;
};

/** One slot that serves a token each millisecond. Seven small customers send
 * 10 tokens each 160 ms, half their eighth of the server; the eighth sends
 * ten times its share. */
flood_result
Flood(queue_policy aPolicy)
{
  fair_queue queue;
  queue.mLimits = { aPolicy, 64, 1 };
  std::map<std::string, milliseconds> arrived;
  flood_result result;
  milliseconds busyUntil{ 0 };
  int number = 0;
  const auto push = [&](std::size_t aCustomer, milliseconds aNow) {
    queue_item item;
    item.mId = "r" + std::to_string(number++);
    item.mCustomer = NameOf(aCustomer);
    item.mCost = 10;
    item.mDeadline = time_point(24h);
    const auto answer = Push(queue, item, 0, time_point(aNow));
    const bool isLarge = aCustomer == 0;
    result.mRefused += !isLarge && !answer.mIsQueued;
    result.mLargeRefused += isLarge && !answer.mIsQueued;
    if (answer.mDisplaced) {
      const bool isOfLarge = answer.mDisplaced->mCustomer == NameOf(0);
      result.mLargeRefused += isOfLarge;
      result.mRefused += !isOfLarge;
    }
    arrived[item.mId] = aNow;
  };
  for (milliseconds now = 0ms; now < 20s; now += 1ms) {
    if (now % 8ms == 0ms) {
      push(0, now);
    }
    for (std::size_t small = 1; small < 8; ++small) {
      if ((now + milliseconds(small * 20)) % 160ms == 0ms) {
        push(small, now);
      }
    }
    if (now < busyUntil) {
      continue;
    }
    if (const auto item = Pop(queue)) {
      busyUntil = now + milliseconds(item->mCost);
      if (item->mCustomer != NameOf(0)) {
        result.mLongestWait =
          std::max(result.mLongestWait, now - arrived.at(item->mId));
      }
    }
  }
  return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestFairQueue)

// A backlogged customer's share stays within one request of its weight, no
// request is lost or served twice, and a slot never idles while one waits.
BOOST_AUTO_TEST_CASE(KeepsSharesAndLosesNothing)
{
  BOOST_TEST(rc::check("fair queue against a list of who waits", [] {
    fair_queue queue;
    queue.mLimits.mMaximumQueued = *rc::gen::inRange<std::size_t>(1, 24);
    oracle oracle;
    const int steps = *rc::gen::inRange(1, 120);
    for (int step = 0; step < steps; ++step) {
      const int kind = *rc::gen::inRange(0, 10);
      if (kind < 5) {
        PushOne(queue, oracle, step);
      } else if (kind < 9) {
        PopOne(queue, oracle);
      } else {
        RemoveOne(queue, oracle, step);
      }
      RC_ASSERT(queue.mSize == oracle.mWaiting.size());
    }
    while (!oracle.mWaiting.empty()) {
      PopOne(queue, oracle);
    }
    RC_ASSERT(!Pop(queue));
    RC_ASSERT(queue.mCost == 0);
    RC_ASSERT(queue.mLines.empty());
  }));
}

// A secretary's request is refused or waits behind hundreds of another
// customer's: that customer sends ten times its share, fills the line, and
// first come first served gives it the server.
BOOST_AUTO_TEST_CASE(OneCustomersFloodCostsOnlyItself)
{
  const auto before = Flood(queue_policy::FirstComeFirstServed);
  BOOST_TEST(before.mRefused > 0);
  BOOST_TEST(before.mLongestWait.count() > 500);
  const auto after = Flood(queue_policy::Fair);
  BOOST_TEST(after.mRefused == 0);
  // At most one request of each other customer goes first.
  BOOST_TEST(after.mLongestWait.count() <= 80);
  BOOST_TEST(after.mLargeRefused > 0);
}

// After an overload, callers wait seconds for nothing but the line that it
// left behind: the queue was bounded by a count, whatever a request takes.
BOOST_AUTO_TEST_CASE(TheLineIsAsLongAsASecondDrains)
{
  BOOST_TEST(rc::check("cost in line against the measured rate", [] {
    fair_queue queue;
    queue.mLimits.mSlots = *rc::gen::inRange<std::size_t>(1, 8);
    const auto perToken = milliseconds(*rc::gen::inRange(1, 50));
    RecordRun(queue, 1000, perToken * 1000);
    const int steps = *rc::gen::inRange(1, 150);
    for (int step = 0; step < steps; ++step) {
      const auto item =
        MakeItem(step,
                 *rc::gen::inRange<std::size_t>(0, kCustomers),
                 *rc::gen::inRange<std::int64_t>(1, kMaximumCost),
                 0);
      const auto delay = perToken * (queue.mCost + item.mCost) /
                         static_cast<int>(queue.mLimits.mSlots);
      const bool hasRoom =
        queue.mSize < queue.mLimits.mMaximumQueued &&
        (queue.mSize < queue.mLimits.mSlots || delay <= 999ms);
      const auto size = queue.mSize;
      const auto answer = Push(queue, item, 0, time_point(0s));
      RC_ASSERT(answer.mIsQueued || !hasRoom);
      RC_ASSERT(!answer.mDisplaced || !hasRoom);
      RC_ASSERT(queue.mSize <= size || hasRoom || delay <= 1001ms);
      if (*rc::gen::inRange(0, 4) == 0) {
        Pop(queue);
      }
    }
  }));
}

// A request is taken in, waits past its deadline and is dropped: the caller
// lost the time in which it could have asked elsewhere.
BOOST_AUTO_TEST_CASE(RefusesAtOnceWhatCantMeetItsDeadline)
{
  fair_queue queue;
  queue.mLimits.mSlots = 1;
  // A second for 100 tokens.
  RecordRun(queue, 100, 1s);
  auto item = MakeItem(1, 0, 50, 0);
  BOOST_TEST(Push(queue, item, 0, time_point(0s)).mIsQueued);
  item.mId = "r2";
  item.mDeadline = time_point(900ms);
  const auto refused = Push(queue, item, 0, time_point(0s));
  BOOST_TEST(!refused.mIsQueued);
  BOOST_TEST(refused.mReason == "deadline_unreachable");
  BOOST_TEST((refused.mRetryAfter == 500ms));
  item.mDeadline = time_point(1100ms);
  BOOST_TEST(Push(queue, item, 0, time_point(0s)).mIsQueued);
}

BOOST_AUTO_TEST_SUITE_END()
