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

/** How much more cost by weight was served for one customer than for another
 * since both have had waiting requests, with its lowest and highest value. */
struct pair_share
{
  double mAhead = 0;
  double mLowest = 0;
  double mHighest = 0;
};

/** Independent model without virtual times: waiting and removed items, and the
 * fairness bound of each pair of customers. */
struct oracle
{
  std::map<std::string, queue_item> mWaiting;
  std::set<std::string> mRemoved;
  std::array<std::size_t, kCustomers> mCount{};
  std::array<std::array<pair_share, kCustomers>, kCustomers> mPairs{};

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
    RC_ASSERT(mRemoved.insert(aItem.mId).second);
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
  const auto pushed = Push(aQueue, item, 0, time_point(0s));
  if (pushed.mDisplaced) {
    RC_ASSERT(isFull);
    RC_ASSERT(pushed.mDisplaced->mCustomer != item.mCustomer);
    aOracle.Leave(*pushed.mDisplaced);
  }
  RC_ASSERT(pushed.mIsQueued == (!isFull || pushed.mDisplaced.has_value()));
  RC_ASSERT(pushed.mIsQueued || pushed.mRetryAfter > 0ms);
  if (pushed.mIsQueued) {
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

/** Waits and refusals of small customers while another one floods the queue. */
struct flood_result
{
  int mRefused = 0;
  milliseconds mLongestWait{ 0 };
  int mLargeRefused = 0;
};

/** Simulates one slot that serves a token per millisecond. Each of seven small
 * customers sends 10 tokens every 160 ms, half of its fair share of one eighth;
 * the eighth customer sends ten times its share. */
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
    const auto pushed = Push(queue, item, 0, time_point(aNow));
    const bool isLarge = aCustomer == 0;
    result.mRefused += !isLarge && !pushed.mIsQueued;
    result.mLargeRefused += isLarge && !pushed.mIsQueued;
    if (pushed.mDisplaced) {
      const bool isOfLarge = pushed.mDisplaced->mCustomer == NameOf(0);
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

// The share of a customer with waiting requests stays within one request of its
// weight, no request is lost or served twice, and Pop returns an item whenever
// one is waiting.
BOOST_AUTO_TEST_CASE(SharesStayFairAndNoRequestIsLost)
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
    RC_ASSERT(queue.mFlows.empty());
  }));
}

// With first come, first served, a customer that sends ten times its share
// fills the queue, and requests of other customers are refused or wait behind
// hundreds of its requests.
BOOST_AUTO_TEST_CASE(AFloodOfOneCustomerAffectsOnlyThatCustomer)
{
  const auto before = Flood(queue_policy::FirstComeFirstServed);
  BOOST_TEST(before.mRefused > 0);
  BOOST_TEST(before.mLongestWait.count() > 500);
  const auto after = Flood(queue_policy::Fair);
  BOOST_TEST(after.mRefused == 0);
  // At most one request of each other customer runs first.
  BOOST_TEST(after.mLongestWait.count() <= 80);
  BOOST_TEST(after.mLargeRefused > 0);
}

// If the queue were bounded only by a count of requests, whatever they cost,
// callers would wait seconds after an overload until its backlog is worked off.
BOOST_AUTO_TEST_CASE(TheQueueIsBoundedByItsDelay)
{
  BOOST_TEST(rc::check("queued cost against the measured throughput", [] {
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
      const auto pushed = Push(queue, item, 0, time_point(0s));
      RC_ASSERT(pushed.mIsQueued || !hasRoom);
      RC_ASSERT(!pushed.mDisplaced || !hasRoom);
      RC_ASSERT(queue.mSize <= size || hasRoom || delay <= 1001ms);
      if (*rc::gen::inRange(0, 4) == 0) {
        Pop(queue);
      }
    }
  }));
}

// A request that is queued, waits past its deadline and is then dropped would
// cost the caller the time in which it could have retried elsewhere.
BOOST_AUTO_TEST_CASE(RefusesImmediatelyWhatCantMeetItsDeadline)
{
  fair_queue queue;
  queue.mLimits.mSlots = 1;
  // 100 tokens per second.
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
