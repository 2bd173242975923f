#include "Duties/Admission/FairQueue.h"

#include <algorithm>

namespace lavender::admission {
namespace {

using namespace std::chrono_literals;
using seconds = std::chrono::duration<double>;

/** Bounds of the retry time told to a refused caller, and its value while the
 * throughput is unknown. */
constexpr milliseconds kMinimumRetryAfter = 100ms;
constexpr milliseconds kMaximumRetryAfter = 30000ms;
constexpr milliseconds kDefaultRetryAfter = 1000ms;

/** Factor by which the sums of earlier runs decay with each run. */
constexpr double kThroughputDecay = 0.95;

/** The throughput counts as unknown below this many tokens, so that requests
 * aren't refused because of an inaccurate measurement. */
constexpr double kMinimumMeasuredCost = 100;

/** A customer is displaced only when its waiting cost for its weight is at
 * least this many times that of the customer whose request arrives. */
constexpr double kDisplaceMargin = 1.5;

constexpr double kMinimumWeight = 1e-6;

const std::string&
FlowOf(const fair_queue& aQueue, const queue_item& aItem)
{
  static const std::string kSingleFlow;
  return aQueue.mLimits.mPolicy == queue_policy::Fair ? aItem.mCustomer
                                                      : kSingleFlow;
}

milliseconds
EstimateTime(const fair_queue& aQueue, double aCost)
{
  const double rate = MeasuredThroughput(aQueue);
  return rate > 0 ? std::chrono::duration_cast<milliseconds>(
                      seconds(std::max(aCost, 0.0) / rate))
                  : 0ms;
}

milliseconds
RetryAfter(const fair_queue& aQueue, double aCost)
{
  if (MeasuredThroughput(aQueue) <= 0) {
    return kDefaultRetryAfter;
  }
  return std::clamp(
    EstimateTime(aQueue, aCost), kMinimumRetryAfter, kMaximumRetryAfter);
}

/** Cost of the items of the same customer that run before the item. */
double
OwnCostAhead(const customer_flow& aFlow, const queue_item& aItem)
{
  double cost = 0;
  for (const auto& item : aFlow.mItems) {
    if (item.mPriority >= aItem.mPriority) {
      cost += static_cast<double>(item.mCost);
    }
  }
  return cost;
}

/** Cost of the items of all customers that run before the item. */
double
CostAhead(const fair_queue& aQueue, const queue_item& aItem)
{
  const auto& name = FlowOf(aQueue, aItem);
  const auto own = aQueue.mFlows.find(name);
  double start = aQueue.mVirtualTime;
  double ahead = 0;
  if (own != aQueue.mFlows.end()) {
    ahead = OwnCostAhead(own->second, aItem);
    start = std::max(start, own->second.mVirtualStart);
  }
  start += ahead / aItem.mWeight;
  for (const auto& [customer, flow] : aQueue.mFlows) {
    if (customer == name || flow.mItems.empty()) {
      continue;
    }
    const double share =
      (start - flow.mVirtualStart) * flow.mItems.front().mWeight;
    ahead += std::clamp(share, 0.0, static_cast<double>(flow.mCost));
  }
  return ahead;
}

/** Flow with the most waiting cost for its weight. */
std::map<std::string, customer_flow>::iterator
FindLargestBacklog(fair_queue& aQueue)
{
  const auto backlog = [](const customer_flow& aFlow) {
    return aFlow.mItems.empty()
             ? 0.0
             : static_cast<double>(aFlow.mCost) / aFlow.mItems.front().mWeight;
  };
  return std::max_element(aQueue.mFlows.begin(),
                          aQueue.mFlows.end(),
                          [&](const auto& aLeft, const auto& aRight) {
                            return backlog(aLeft.second) <
                                   backlog(aRight.second);
                          });
}

void
SubtractCost(fair_queue& aQueue, customer_flow& aFlow, const queue_item& aItem)
{
  aFlow.mCost -= aItem.mCost;
  aQueue.mCost -= aItem.mCost;
  --aQueue.mSize;
}

/** Removes flows without items whose virtual start time has passed, because
 * they carry no state. */
void
RemoveIdleFlows(fair_queue& aQueue)
{
  for (auto flow = aQueue.mFlows.begin(); flow != aQueue.mFlows.end();) {
    const bool isIdle =
      flow->second.mItems.empty() &&
      (aQueue.mSize == 0 || flow->second.mVirtualStart <= aQueue.mVirtualTime);
    flow = isIdle ? aQueue.mFlows.erase(flow) : std::next(flow);
  }
}

bool
IsFull(const fair_queue& aQueue, const queue_item& aItem, double aRunning)
{
  const auto& limits = aQueue.mLimits;
  if (aQueue.mSize >= limits.mMaximumQueued) {
    return true;
  }
  const double cost =
    static_cast<double>(aQueue.mCost + aItem.mCost) + aRunning / 2;
  return limits.mPolicy == queue_policy::Fair &&
         aQueue.mSize >= limits.mSlots &&
         EstimateTime(aQueue, cost) > limits.mMaximumDelay;
}

/** Removes and returns an item to make room in a full queue; none when the
 * item's own customer has the most waiting cost or isn't far enough below the
 * one that has. */
std::optional<queue_item>
Displace(fair_queue& aQueue, const queue_item& aItem)
{
  const auto largest = FindLargestBacklog(aQueue);
  if (largest == aQueue.mFlows.end() || largest->second.mItems.empty()) {
    return std::nullopt;
  }
  const auto& name = FlowOf(aQueue, aItem);
  const auto own = aQueue.mFlows.find(name);
  const double ownCost =
    own == aQueue.mFlows.end() ? 0 : static_cast<double>(own->second.mCost);
  const double withItem =
    (ownCost + static_cast<double>(aItem.mCost)) / aItem.mWeight;
  const double largestCost = static_cast<double>(largest->second.mCost) /
                             largest->second.mItems.front().mWeight;
  // Without the margin, customers with equal shares would displace each other
  // alternately, and requests would be refused after having waited.
  if (largest->first == name || withItem * kDisplaceMargin > largestCost) {
    return std::nullopt;
  }
  auto item = std::move(largest->second.mItems.back());
  largest->second.mItems.pop_back();
  SubtractCost(aQueue, largest->second, item);
  return item;
}

void
Insert(fair_queue& aQueue, queue_item aItem)
{
  auto& flow = aQueue.mFlows[FlowOf(aQueue, aItem)];
  if (flow.mItems.empty()) {
    flow.mVirtualStart = std::max(flow.mVirtualStart, aQueue.mVirtualTime);
  }
  flow.mCost += aItem.mCost;
  aQueue.mCost += aItem.mCost;
  ++aQueue.mSize;
  const bool isFair = aQueue.mLimits.mPolicy == queue_policy::Fair;
  const auto place =
    isFair ? std::find_if(flow.mItems.begin(),
                          flow.mItems.end(),
                          [&](const queue_item& aOther) {
                            return aOther.mPriority < aItem.mPriority;
                          })
           : flow.mItems.end();
  flow.mItems.insert(place, std::move(aItem));
}

} // namespace

double
MeasuredThroughput(const fair_queue& aQueue)
{
  const auto& throughput = aQueue.mThroughput;
  if (throughput.mCost < kMinimumMeasuredCost || throughput.mTime <= 0s) {
    return 0;
  }
  return throughput.mCost / throughput.mTime.count() *
         static_cast<double>(aQueue.mLimits.mSlots);
}

push_result
Push(fair_queue& aQueue,
     queue_item aItem,
     std::int64_t aRunningCost,
     time_point aNow)
{
  aItem.mWeight = std::max(aItem.mWeight, kMinimumWeight);
  aItem.mCost = std::max<std::int64_t>(aItem.mCost, 1);
  const bool isFair = aQueue.mLimits.mPolicy == queue_policy::Fair;
  const double running = static_cast<double>(aRunningCost);
  push_result result;
  if (isFair && aQueue.mSize > 0) {
    const double ahead = CostAhead(aQueue, aItem) + running / 2;
    const auto wait = EstimateTime(aQueue, ahead);
    const auto run = EstimateTime(aQueue,
                                  static_cast<double>(aItem.mCost) *
                                    static_cast<double>(aQueue.mLimits.mSlots));
    if (aNow + wait + run > aItem.mDeadline) {
      result.mReason = "deadline_unreachable";
      result.mRetryAfter = RetryAfter(aQueue, ahead);
      return result;
    }
  }
  if (IsFull(aQueue, aItem, running)) {
    if (isFair) {
      result.mDisplaced = Displace(aQueue, aItem);
    }
    if (!result.mDisplaced) {
      result.mReason = "queue_full";
      result.mRetryAfter =
        RetryAfter(aQueue, static_cast<double>(aQueue.mCost) + running / 2);
      return result;
    }
    result.mRetryAfter = RetryAfter(aQueue, static_cast<double>(aQueue.mCost));
  }
  Insert(aQueue, std::move(aItem));
  result.mIsQueued = true;
  return result;
}

std::optional<queue_item>
Pop(fair_queue& aQueue)
{
  auto first = aQueue.mFlows.end();
  for (auto flow = aQueue.mFlows.begin(); flow != aQueue.mFlows.end(); ++flow) {
    if (!flow->second.mItems.empty() &&
        (first == aQueue.mFlows.end() ||
         flow->second.mVirtualStart < first->second.mVirtualStart)) {
      first = flow;
    }
  }
  if (first == aQueue.mFlows.end()) {
    return std::nullopt;
  }
  auto& flow = first->second;
  auto item = std::move(flow.mItems.front());
  flow.mItems.pop_front();
  SubtractCost(aQueue, flow, item);
  aQueue.mVirtualTime = std::max(aQueue.mVirtualTime, flow.mVirtualStart);
  flow.mVirtualStart += static_cast<double>(item.mCost) / item.mWeight;
  RemoveIdleFlows(aQueue);
  return item;
}

bool
Remove(fair_queue& aQueue, const std::string& aCustomer, const std::string& aId)
{
  queue_item key;
  key.mCustomer = aCustomer;
  const auto flow = aQueue.mFlows.find(FlowOf(aQueue, key));
  if (flow == aQueue.mFlows.end()) {
    return false;
  }
  auto& items = flow->second.mItems;
  const auto item =
    std::find_if(items.begin(), items.end(), [&](const queue_item& aItem) {
      return aItem.mId == aId;
    });
  if (item == items.end()) {
    return false;
  }
  SubtractCost(aQueue, flow->second, *item);
  items.erase(item);
  RemoveIdleFlows(aQueue);
  return true;
}

void
RecordRun(fair_queue& aQueue,
          std::int64_t aCost,
          std::chrono::nanoseconds aTime)
{
  auto& throughput = aQueue.mThroughput;
  throughput.mCost =
    throughput.mCost * kThroughputDecay + static_cast<double>(aCost);
  throughput.mTime = throughput.mTime * kThroughputDecay + seconds(aTime);
}

milliseconds
QueueDelay(const fair_queue& aQueue, std::int64_t aRunningCost)
{
  if (aQueue.mSize == 0) {
    return 0ms;
  }
  return EstimateTime(aQueue,
                      static_cast<double>(aQueue.mCost) +
                        static_cast<double>(aRunningCost) / 2);
}

} // namespace lavender::admission
