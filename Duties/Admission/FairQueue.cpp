#include "Duties/Admission/FairQueue.h"

#include <algorithm>

namespace lavender::admission {
namespace {

using namespace std::chrono_literals;
using seconds = std::chrono::duration<double>;

/** Bounds of what a refused caller is told. */
constexpr milliseconds kShortestRetryAfter = 100ms;
constexpr milliseconds kLongestRetryAfter = 30000ms;
constexpr milliseconds kUnmeasuredRetryAfter = 1000ms;

/** Weight of all earlier runs against the newest one. */
constexpr double kDrainMemory = 0.95;

/** Under this many tokens a measured rate says too little for a refusal. */
constexpr double kEnoughCost = 100;

/** How much more a line has to hold to make room for another customer. */
constexpr double kDisplaceMargin = 1.5;

constexpr double kLowestWeight = 1e-6;

const std::string&
LineOf(const fair_queue& aQueue, const queue_item& aItem)
{
  static const std::string kOnlyLine;
  return aQueue.mLimits.mPolicy == queue_policy::Fair ? aItem.mCustomer
                                                      : kOnlyLine;
}

milliseconds
TimeFor(const fair_queue& aQueue, double aCost)
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
    return kUnmeasuredRetryAfter;
  }
  return std::clamp(
    TimeFor(aQueue, aCost), kShortestRetryAfter, kLongestRetryAfter);
}

/** Cost of the item's own customer that goes before it. */
double
OwnCostAhead(const customer_line& aLine, const queue_item& aItem)
{
  double cost = 0;
  for (const auto& item : aLine.mItems) {
    if (item.mPriority >= aItem.mPriority) {
      cost += static_cast<double>(item.mCost);
    }
  }
  return cost;
}

/** Cost that the fair order serves before the item. */
double
CostAhead(const fair_queue& aQueue, const queue_item& aItem)
{
  const auto& name = LineOf(aQueue, aItem);
  const auto own = aQueue.mLines.find(name);
  double start = aQueue.mVirtualTime;
  double ahead = 0;
  if (own != aQueue.mLines.end()) {
    ahead = OwnCostAhead(own->second, aItem);
    start = std::max(start, own->second.mStart);
  }
  start += ahead / aItem.mWeight;
  for (const auto& [customer, line] : aQueue.mLines) {
    if (customer == name || line.mItems.empty()) {
      continue;
    }
    const double share = (start - line.mStart) * line.mItems.front().mWeight;
    ahead += std::clamp(share, 0.0, static_cast<double>(line.mCost));
  }
  return ahead;
}

/** Line with the most waiting cost for its weight. */
std::map<std::string, customer_line>::iterator
FindLongest(fair_queue& aQueue)
{
  const auto length = [](const customer_line& aLine) {
    return aLine.mItems.empty()
             ? 0.0
             : static_cast<double>(aLine.mCost) / aLine.mItems.front().mWeight;
  };
  return std::max_element(aQueue.mLines.begin(),
                          aQueue.mLines.end(),
                          [&](const auto& aLeft, const auto& aRight) {
                            return length(aLeft.second) < length(aRight.second);
                          });
}

void
Forget(fair_queue& aQueue, customer_line& aLine, const queue_item& aItem)
{
  aLine.mCost -= aItem.mCost;
  aQueue.mCost -= aItem.mCost;
  --aQueue.mSize;
}

/** Drops lines that remember nothing: without items, and due by now. */
void
DropIdleLines(fair_queue& aQueue)
{
  for (auto line = aQueue.mLines.begin(); line != aQueue.mLines.end();) {
    const bool isIdle =
      line->second.mItems.empty() &&
      (aQueue.mSize == 0 || line->second.mStart <= aQueue.mVirtualTime);
    line = isIdle ? aQueue.mLines.erase(line) : std::next(line);
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
         TimeFor(aQueue, cost) > limits.mMaximumDelay;
}

/** Makes room for the item in a full queue; none when the item's own customer
 * is the one that holds most. */
std::optional<queue_item>
Displace(fair_queue& aQueue, const queue_item& aItem)
{
  const auto longest = FindLongest(aQueue);
  if (longest == aQueue.mLines.end() || longest->second.mItems.empty()) {
    return std::nullopt;
  }
  const auto& name = LineOf(aQueue, aItem);
  const auto own = aQueue.mLines.find(name);
  const double ownCost =
    own == aQueue.mLines.end() ? 0 : static_cast<double>(own->second.mCost);
  const double with =
    (ownCost + static_cast<double>(aItem.mCost)) / aItem.mWeight;
  const double most = static_cast<double>(longest->second.mCost) /
                      longest->second.mItems.front().mWeight;
  // Without the margin, customers that ask for equal shares displace each
  // other in turn, and requests are refused after they have waited.
  if (longest->first == name || with * kDisplaceMargin > most) {
    return std::nullopt;
  }
  auto item = std::move(longest->second.mItems.back());
  longest->second.mItems.pop_back();
  Forget(aQueue, longest->second, item);
  return item;
}

void
Insert(fair_queue& aQueue, queue_item aItem)
{
  auto& line = aQueue.mLines[LineOf(aQueue, aItem)];
  if (line.mItems.empty()) {
    line.mStart = std::max(line.mStart, aQueue.mVirtualTime);
  }
  line.mCost += aItem.mCost;
  aQueue.mCost += aItem.mCost;
  ++aQueue.mSize;
  const bool isFair = aQueue.mLimits.mPolicy == queue_policy::Fair;
  const auto place =
    isFair ? std::find_if(line.mItems.begin(),
                          line.mItems.end(),
                          [&](const queue_item& aOther) {
                            return aOther.mPriority < aItem.mPriority;
                          })
           : line.mItems.end();
  line.mItems.insert(place, std::move(aItem));
}

} // namespace

double
MeasuredThroughput(const fair_queue& aQueue)
{
  const auto& drain = aQueue.mDrain;
  if (drain.mCost < kEnoughCost || drain.mTime <= 0s) {
    return 0;
  }
  return drain.mCost / drain.mTime.count() *
         static_cast<double>(aQueue.mLimits.mSlots);
}

push_answer
Push(fair_queue& aQueue,
     queue_item aItem,
     std::int64_t aRunningCost,
     time_point aNow)
{
  aItem.mWeight = std::max(aItem.mWeight, kLowestWeight);
  aItem.mCost = std::max<std::int64_t>(aItem.mCost, 1);
  const bool isFair = aQueue.mLimits.mPolicy == queue_policy::Fair;
  const double running = static_cast<double>(aRunningCost);
  push_answer answer;
  if (isFair && aQueue.mSize > 0) {
    const double ahead = CostAhead(aQueue, aItem) + running / 2;
    const auto wait = TimeFor(aQueue, ahead);
    const auto run = TimeFor(aQueue,
                             static_cast<double>(aItem.mCost) *
                               static_cast<double>(aQueue.mLimits.mSlots));
    if (aNow + wait + run > aItem.mDeadline) {
      answer.mReason = "deadline_unreachable";
      answer.mRetryAfter = RetryAfter(aQueue, ahead);
      return answer;
    }
  }
  if (IsFull(aQueue, aItem, running)) {
    if (isFair) {
      answer.mDisplaced = Displace(aQueue, aItem);
    }
    if (!answer.mDisplaced) {
      answer.mReason = "queue_full";
      answer.mRetryAfter =
        RetryAfter(aQueue, static_cast<double>(aQueue.mCost) + running / 2);
      return answer;
    }
    answer.mRetryAfter = RetryAfter(aQueue, static_cast<double>(aQueue.mCost));
  }
  Insert(aQueue, std::move(aItem));
  answer.mIsQueued = true;
  return answer;
}

std::optional<queue_item>
Pop(fair_queue& aQueue)
{
  auto first = aQueue.mLines.end();
  for (auto line = aQueue.mLines.begin(); line != aQueue.mLines.end(); ++line) {
    if (!line->second.mItems.empty() &&
        (first == aQueue.mLines.end() ||
         line->second.mStart < first->second.mStart)) {
      first = line;
    }
  }
  if (first == aQueue.mLines.end()) {
    return std::nullopt;
  }
  auto& line = first->second;
  auto item = std::move(line.mItems.front());
  line.mItems.pop_front();
  Forget(aQueue, line, item);
  aQueue.mVirtualTime = std::max(aQueue.mVirtualTime, line.mStart);
  line.mStart += static_cast<double>(item.mCost) / item.mWeight;
  DropIdleLines(aQueue);
  return item;
}

bool
Remove(fair_queue& aQueue, const std::string& aCustomer, const std::string& aId)
{
  queue_item key;
  key.mCustomer = aCustomer;
  const auto line = aQueue.mLines.find(LineOf(aQueue, key));
  if (line == aQueue.mLines.end()) {
    return false;
  }
  auto& items = line->second.mItems;
  const auto item =
    std::find_if(items.begin(), items.end(), [&](const queue_item& aItem) {
      return aItem.mId == aId;
    });
  if (item == items.end()) {
    return false;
  }
  Forget(aQueue, line->second, *item);
  items.erase(item);
  DropIdleLines(aQueue);
  return true;
}

void
RecordRun(fair_queue& aQueue,
          std::int64_t aCost,
          std::chrono::nanoseconds aTime)
{
  auto& drain = aQueue.mDrain;
  drain.mCost = drain.mCost * kDrainMemory + static_cast<double>(aCost);
  drain.mTime = drain.mTime * kDrainMemory + seconds(aTime);
}

milliseconds
QueueDelay(const fair_queue& aQueue, std::int64_t aRunningCost)
{
  if (aQueue.mSize == 0) {
    return 0ms;
  }
  return TimeFor(aQueue,
                 static_cast<double>(aQueue.mCost) +
                   static_cast<double>(aRunningCost) / 2);
}

} // namespace lavender::admission
