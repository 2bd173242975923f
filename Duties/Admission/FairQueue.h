#pragma once

#include "Libraries/Core/Clock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

/** Admission control and the order in which requests run. */
namespace lavender::admission {

enum class queue_policy
{
  /** Weighted start-time fair queueing over customers, by cost. */
  Fair,
  /** A single queue for all customers; a baseline for experiments. */
  FirstComeFirstServed
};

/** One request that waits for a slot. */
struct queue_item
{
  std::string mId;
  std::string mCustomer;
  /** Weight of the customer relative to other customers; above 0. */
  double mWeight = 1;
  /** Expected cost in tokens; at least 1. */
  std::int64_t mCost = 1;
  /** Orders the requests of one customer only. */
  int mPriority = 0;
  time_point mDeadline;
};

struct fair_queue_limits
{
  queue_policy mPolicy = queue_policy::Fair;
  /** Maximum number of waiting requests of all customers. */
  std::size_t mMaximumQueued = 64;
  /** Requests that run concurrently; the throughput is that of all slots. */
  std::size_t mSlots = 16;
  /** The queue is full when running the waiting requests would take longer than
   * this at the measured throughput, though as many requests as there are slots
   * may always wait. A longer queue doesn't increase the throughput, and after
   * an overload new requests would wait until it has been worked off. */
  milliseconds mMaximumDelay{ 1000 };
};

/** The waiting requests of one customer; a flow in terms of fair queueing. */
struct customer_flow
{
  std::deque<queue_item> mItems;
  std::int64_t mCost = 0;
  /** Virtual start time of the first item: the virtual finish time of the
   * customer's previous item or the queue's virtual time at the item's arrival,
   * whichever is later. */
  double mVirtualStart = 0;
};

/** Exponentially decayed sums of the cost and duration of ended runs. */
struct throughput_measure
{
  double mCost = 0;
  std::chrono::duration<double> mTime{ 0 };
};

/** Waiting requests of all customers. Copyable plain data. */
struct fair_queue
{
  fair_queue_limits mLimits;
  /** Flows that have items, or whose last item has a virtual finish time after
   * the queue's virtual time. */
  std::map<std::string, customer_flow> mFlows;
  /** Highest virtual start time of the items popped so far. */
  double mVirtualTime = 0;
  std::size_t mSize = 0;
  std::int64_t mCost = 0;
  throughput_measure mThroughput;
};

struct push_result
{
  bool mIsQueued = false;
  /** Stable reason code of a refusal. */
  std::string mReason;
  /** Time until a retry makes sense at the measured throughput; also for the
   * displaced item. */
  milliseconds mRetryAfter{ 0 };
  /** Item that was removed to make room; it never ran. */
  std::optional<queue_item> mDisplaced;
};

/** Queues a request or refuses it.
 *
 * A full queue makes room for a customer well below its share by displacing the
 * last item of the customer with the most waiting cost for its weight, so that
 * a flood of requests by one customer affects only that customer. A request
 * whose deadline can't be met at the measured throughput is refused
 * immediately, because it would take a slot for a response that arrives too
 * late.
 * @param aRunningCost cost of the requests that are running */
push_result
Push(fair_queue& aQueue,
     queue_item aItem,
     std::int64_t aRunningCost,
     time_point aNow);

/** Removes and returns the next request; none when the queue is empty. */
std::optional<queue_item>
Pop(fair_queue& aQueue);

/** Removes a cancelled request without charging its customer; false when the
 * request isn't in the queue. */
bool
Remove(fair_queue& aQueue,
       const std::string& aCustomer,
       const std::string& aId);

/** Adds an ended run to the throughput measurement. */
void
RecordRun(fair_queue& aQueue,
          std::int64_t aCost,
          std::chrono::nanoseconds aTime);

/** Measured tokens per second with all slots busy; zero while too few runs have
 * ended. */
double
MeasuredThroughput(const fair_queue& aQueue);

/** Estimated time until a request arriving now would start: the cost of the
 * whole queue divided by the measured throughput; zero while the queue is empty
 * or the throughput is unknown. */
milliseconds
QueueDelay(const fair_queue& aQueue, std::int64_t aRunningCost);

} // namespace lavender::admission
