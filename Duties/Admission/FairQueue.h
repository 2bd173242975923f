#pragma once

#include "Libraries/Core/Clock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

/** Who may enter, and in which order. */
namespace lavender::admission {

enum class queue_policy
{
  /** Start-time fair queueing over customers, weighted, by cost. */
  Fair,
  /** One line for all; the baseline of the experiments. */
  FirstComeFirstServed
};

/** One request that waits for a slot. */
struct queue_item
{
  std::string mId;
  std::string mCustomer;
  /** Share of the customer relative to others; above 0. */
  double mWeight = 1;
  /** Expected cost in tokens; at least 1. */
  std::int64_t mCost = 1;
  /** Orders the requests of one customer; it never overtakes another one. */
  int mPriority = 0;
  time_point mDeadline;
};

struct fair_queue_limits
{
  queue_policy mPolicy = queue_policy::Fair;
  /** Requests that may wait, over all customers. */
  std::size_t mMaximumQueued = 64;
  /** Requests that run side by side; the drain rate counts all of them. */
  std::size_t mSlots = 16;
  /** Time in which the measured rate should drain what waits. A line that is
   * longer counts as full, though as many requests as there are slots may
   * always wait. A long line serves nobody sooner, and after an overload all
   * who come wait until it is gone. */
  milliseconds mMaximumDelay{ 1000 };
};

/** The waiting requests of one customer. */
struct customer_line
{
  std::deque<queue_item> mItems;
  std::int64_t mCost = 0;
  /** Virtual time at which the first item is due: the finish time of the
   * customer's item before it, or the queue's virtual time at arrival. */
  double mStart = 0;
};

/** How long runs took, newest counting most. */
struct drain_measure
{
  double mCost = 0;
  std::chrono::duration<double> mTime{ 0 };
};

/** Waiting requests of all customers. Copyable plain state. */
struct fair_queue
{
  fair_queue_limits mLimits;
  /** Lines with items, and those whose last item finishes after now. */
  std::map<std::string, customer_line> mLines;
  /** Start time of the item that was taken last. */
  double mVirtualTime = 0;
  std::size_t mSize = 0;
  std::int64_t mCost = 0;
  drain_measure mDrain;
};

struct push_answer
{
  bool mIsQueued = false;
  /** Stable reason code of a refusal. */
  std::string mReason;
  /** When the drain rate says that coming back makes sense. */
  milliseconds mRetryAfter{ 0 };
  /** Item that had to go to make room: it never ran. */
  std::optional<queue_item> mDisplaced;
};

/** Takes a request in, or refuses it.
 *
 * A full queue makes room for a customer well below its share by giving up the
 * last item of the customer whose line holds most cost for its weight: a
 * flood by one customer then costs only its own requests. A request whose
 * deadline the measured drain rate can't meet is refused at once, so that it
 * doesn't take a slot for an answer that nobody reads.
 * @param aRunningCost cost of the requests that hold slots now */
push_answer
Push(fair_queue& aQueue,
     queue_item aItem,
     std::int64_t aRunningCost,
     time_point aNow);

/** Takes the next request out; none when nothing waits. */
std::optional<queue_item>
Pop(fair_queue& aQueue);

/** Takes a cancelled request out; false when it doesn't wait here. Its
 * customer isn't charged for it. */
bool
Remove(fair_queue& aQueue,
       const std::string& aCustomer,
       const std::string& aId);

/** Learns from a run that ended. */
void
RecordRun(fair_queue& aQueue,
          std::int64_t aCost,
          std::chrono::nanoseconds aTime);

/** Tokens a second that are drained with all slots busy; zero while too little
 * was measured. */
double
MeasuredThroughput(const fair_queue& aQueue);

/** Time until a request of average cost that came now would start: the
 * queue's whole cost by the measured rate; zero while no run was measured. */
milliseconds
QueueDelay(const fair_queue& aQueue, std::int64_t aRunningCost);

} // namespace lavender::admission
