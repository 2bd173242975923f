#include "Duties/Dispatch/Ledger.h"

#include <algorithm>
#include <utility>

namespace lavender::dispatch {
namespace {

using wire::run_state;
using namespace std::chrono_literals;

constexpr milliseconds kMinimumRetryAfter = 50ms;
constexpr milliseconds kMaximumRetryAfter = 30000ms;
/** Assumed duration of a run before the first one has ended. */
constexpr milliseconds kAssumedServiceTime = 1000ms;
/** A running entry queries an outcome within this time, which is longer than
 * the timeout after which it drops a connection. */
constexpr milliseconds kFetchTimeout = 2500ms;

request_status
GetStatus(const ledger_row& aRow)
{
  return { aRow.mState, aRow.mReason, aRow.mRetryAfter };
}

void
SetState(ledger_row& aRow,
         run_state::type aState,
         const std::string& aReason,
         time_point aNow)
{
  aRow.mState = aState;
  aRow.mReason = aReason;
  aRow.mChangedAt = aNow;
}

/** Adds aChange to the number of requests of the order's customer and entry. */
void
CountInFlight(ledger& aLedger, const wire::dispatch_order& aOrder, int aChange)
{
  auto& entries = aLedger.mInFlight[aOrder.customer];
  auto& count = entries[aOrder.entry_incarnation];
  count += aChange;
  if (count == 0) {
    entries.erase(aOrder.entry_incarnation);
  }
  if (entries.empty()) {
    aLedger.mInFlight.erase(aOrder.customer);
  }
}

void
RefuseRow(ledger& aLedger,
          const std::string& aId,
          const std::string& aReason,
          time_point aNow)
{
  auto& row = aLedger.mRows[aId];
  if (row.mState == run_state::QUEUED || row.mState == run_state::RUNNING) {
    CountInFlight(aLedger, row.mOrder, -1);
  }
  SetState(row, run_state::NOT_RUN, aReason, aNow);
  row.mOrder = {};
  aLedger.mRefusals.emplace_back(aNow, aId);
}

std::size_t
ResultSize(const ledger_row& aRow)
{
  return aRow.mResult.body.size();
}

void
RemoveOldest(ledger& aLedger, ended_list& aList)
{
  const auto row = aLedger.mRows.find(aList.front().second);
  aLedger.mResultBytes -= ResultSize(row->second);
  aLedger.mRows.erase(row);
  aList.pop_front();
}

/** Whether an unknown id may have had a row that was evicted. Such a request
 * must neither run nor be reported as "not run"; otherwise a request repeated
 * after its result was evicted would run twice. */
bool
MayHaveBeenEvicted(const ledger& aLedger, time_point aIssuedAt)
{
  return aLedger.mEvictedThrough && aIssuedAt <= *aLedger.mEvictedThrough;
}

/** Removes the oldest row, and records up to which end time rows have been
 * evicted. */
void
EvictOldest(ledger& aLedger, ended_list& aList)
{
  const auto endedAt = aList.front().first;
  aLedger.mEvictedThrough =
    std::max(aLedger.mEvictedThrough.value_or(endedAt), endedAt);
  RemoveOldest(aLedger, aList);
}

/** Refusal of an order that this process will never admit; none if it may. Such
 * a refusal needs no row, because a second copy of the order is refused for the
 * same reason. */
std::optional<request_status>
FindPermanentRefusal(const ledger& aLedger,
                     const wire::dispatch_order& aOrder,
                     time_point aNow)
{
  const auto refuse = [](const char* aReason) {
    return request_status{ run_state::NOT_RUN, aReason };
  };
  if (aOrder.agent_incarnation != aLedger.mIncarnation) {
    return refuse("other_incarnation");
  }
  if (aOrder.deadline_left_ms <= 0) {
    return refuse("deadline");
  }
  const time_point issuedAt{ milliseconds(aOrder.issued_at_ms) };
  if (MayHaveBeenEvicted(aLedger, issuedAt)) {
    // An earlier copy of the order may have run.
    return request_status{ run_state::OUTCOME_UNKNOWN, "forgotten" };
  }
  if (issuedAt > aNow) {
    return refuse("order_from_future");
  }
  // An order may be delayed for minutes on a stalled connection and arrive
  // after the tombstone of its cancel was removed. Without the check of its age
  // it would run although its caller was told "not run".
  if (aNow - issuedAt > aLedger.mLimits.mMaximumOrderAge) {
    return refuse("order_too_old");
  }
  if (aLedger.mIsDraining) {
    return refuse("draining");
  }
  return std::nullopt;
}

std::int64_t
CostOf(const wire::dispatch_order& aOrder)
{
  return std::max<std::int64_t>(aOrder.cost_tokens, 1);
}

/** Queues the order, or returns the reason and retry time of a refusal. */
admission::push_result
Enqueue(ledger& aLedger,
        const wire::dispatch_order& aOrder,
        time_point aDeadline,
        time_point aNow)
{
  const auto& limits = aLedger.mLimits;
  aLedger.mQueue.mLimits = {
    limits.mPolicy, limits.mMaximumQueued, limits.mSlots, limits.mMaximumDelay
  };
  auto pushed = admission::Push(aLedger.mQueue,
                                { aOrder.request_id,
                                  aOrder.customer,
                                  aOrder.weight,
                                  CostOf(aOrder),
                                  aOrder.priority,
                                  aDeadline },
                                aLedger.mRunningCost,
                                aNow);
  if (const auto& displaced = pushed.mDisplaced) {
    RefuseRow(aLedger, displaced->mId, "displaced", aNow);
    aLedger.mRows.at(displaced->mId).mRetryAfter = pushed.mRetryAfter;
  }
  return pushed;
}

} // namespace

request_status
Admit(ledger& aLedger, const wire::dispatch_order& aOrder, time_point aNow)
{
  if (const auto known = aLedger.mRows.find(aOrder.request_id);
      known != aLedger.mRows.end()) {
    known->second.mQueriedAt = aNow;
    return GetStatus(known->second);
  }
  if (auto refusal = FindPermanentRefusal(aLedger, aOrder, aNow)) {
    return std::move(*refusal);
  }
  const auto deadline = aNow + milliseconds(aOrder.deadline_left_ms);
  if (const auto pushed = Enqueue(aLedger, aOrder, deadline, aNow);
      !pushed.mIsQueued) {
    RefuseRow(aLedger, aOrder.request_id, pushed.mReason, aNow);
    aLedger.mRows.at(aOrder.request_id).mRetryAfter = pushed.mRetryAfter;
    RemoveExpired(aLedger, aNow);
    return { run_state::NOT_RUN, pushed.mReason, pushed.mRetryAfter };
  }
  auto& row = aLedger.mRows[aOrder.request_id];
  row.mOrder = aOrder;
  row.mQueriedAt = aNow;
  row.mDeadline = deadline;
  SetState(row, run_state::QUEUED, "", aNow);
  CountInFlight(aLedger, aOrder, 1);
  RemoveExpired(aLedger, aNow);
  return GetStatus(row);
}

request_status
Query(ledger& aLedger, const std::string& aId, time_point aNow)
{
  const auto found = aLedger.mRows.find(aId);
  if (found == aLedger.mRows.end()) {
    return {};
  }
  found->second.mQueriedAt = aNow;
  return GetStatus(found->second);
}

request_status
Cancel(ledger& aLedger,
       const std::string& aId,
       time_point aIssuedAt,
       time_point aNow)
{
  const auto found = aLedger.mRows.find(aId);
  if (found == aLedger.mRows.end()) {
    if (MayHaveBeenEvicted(aLedger, aIssuedAt)) {
      return { run_state::OUTCOME_UNKNOWN, "forgotten" };
    }
    RefuseRow(aLedger, aId, "cancelled_before_arrival", aNow);
    RemoveExpired(aLedger, aNow);
    return { run_state::NOT_RUN, "cancelled_before_arrival" };
  }
  if (found->second.mState == run_state::QUEUED) {
    admission::Remove(aLedger.mQueue, found->second.mOrder.customer, aId);
    RefuseRow(aLedger, aId, "cancelled", aNow);
  }
  return GetStatus(found->second);
}

std::optional<wire::dispatch_order>
StartNextRun(ledger& aLedger, time_point aNow)
{
  while (aLedger.mRunning < aLedger.mLimits.mSlots) {
    const auto item = admission::Pop(aLedger.mQueue);
    if (!item) {
      break;
    }
    const auto& id = item->mId;
    auto& row = aLedger.mRows.at(id);
    if (aNow >= row.mDeadline) {
      RefuseRow(aLedger, id, "deadline", aNow);
      continue;
    }
    if (aNow - row.mQueriedAt > aLedger.mLimits.mAbandonAfter) {
      RefuseRow(aLedger, id, "abandoned", aNow);
      continue;
    }
    SetState(row, run_state::RUNNING, "", aNow);
    row.mStartedAt = aNow;
    ++aLedger.mRunning;
    aLedger.mRunningCost += CostOf(row.mOrder);
    return row.mOrder;
  }
  return std::nullopt;
}

void
Finish(ledger& aLedger,
       const std::string& aId,
       run_state::type aState,
       const std::string& aReason,
       wire::run_result aResult,
       time_point aNow)
{
  --aLedger.mRunning;
  auto& row = aLedger.mRows.at(aId);
  const auto cost = CostOf(row.mOrder);
  aLedger.mRunningCost -= cost;
  if (aState == run_state::NOT_RUN) {
    RefuseRow(aLedger, aId, aReason, aNow);
    return;
  }
  CountInFlight(aLedger, row.mOrder, -1);
  SetState(row, aState, aReason, aNow);
  row.mResult = std::move(aResult);
  row.mOrder = {};
  aLedger.mEndedRuns.emplace_back(aNow, aId);
  aLedger.mResultBytes += ResultSize(row);
  const auto took =
    std::chrono::duration_cast<milliseconds>(aNow - row.mStartedAt);
  constexpr int kServerError = 500;
  if (aState == run_state::FINISHED && row.mResult.http_status < kServerError) {
    // Excludes errors, because a server that fails immediately would appear to
    // have a high throughput.
    admission::RecordRun(aLedger.mQueue, cost, aNow - row.mStartedAt);
  }
  auto& smoothed = aLedger.mServiceTime;
  smoothed = smoothed == 0ms ? took : (smoothed * 7 + took) / 8;
  RemoveExpired(aLedger, aNow);
}

void
RefuseQueued(ledger& aLedger, const std::string& aReason, time_point aNow)
{
  while (const auto item = admission::Pop(aLedger.mQueue)) {
    RefuseRow(aLedger, item->mId, aReason, aNow);
  }
}

void
RemoveExpired(ledger& aLedger, time_point aNow)
{
  const auto& limits = aLedger.mLimits;
  auto& refused = aLedger.mRefusals;
  auto& runs = aLedger.mEndedRuns;
  while (!refused.empty() &&
         aNow - refused.front().first > limits.mRefusalRetention) {
    RemoveOldest(aLedger, refused);
  }
  while (!runs.empty() && aNow - runs.front().first > limits.mResultRetention) {
    EvictOldest(aLedger, runs);
  }
  // The newest result is kept whatever its size, because its entry is about to
  // fetch it.
  while (runs.size() > 1 && aLedger.mResultBytes > limits.mMaximumResultBytes) {
    EvictOldest(aLedger, runs);
  }
  while (refused.size() + runs.size() > limits.mMaximumEnded) {
    const bool isRefusalOlder =
      runs.empty() || (!refused.empty() && refused.front() < runs.front());
    EvictOldest(aLedger, isRefusalOlder ? refused : runs);
  }
}

std::vector<wire::customer_load>
CustomerLoads(const ledger& aLedger, const std::string& aEntry)
{
  constexpr std::size_t kMaximumCustomers = 64;
  std::vector<wire::customer_load> loads;
  for (const auto& [customer, entries] : aLedger.mInFlight) {
    wire::customer_load load;
    load.customer = customer;
    for (const auto& [entry, count] : entries) {
      load.in_flight += count;
      load.own += entry == aEntry ? count : 0;
    }
    loads.push_back(std::move(load));
  }
  const auto isBusier = [](const auto& aLeft, const auto& aRight) {
    return aLeft.in_flight > aRight.in_flight;
  };
  std::sort(loads.begin(), loads.end(), isBusier);
  loads.resize(std::min(loads.size(), kMaximumCustomers));
  return loads;
}

milliseconds
EstimateQueueDelay(const ledger& aLedger)
{
  const auto service =
    aLedger.mServiceTime == 0ms ? kAssumedServiceTime : aLedger.mServiceTime;
  const auto waiting = static_cast<std::int64_t>(aLedger.mQueue.mSize) + 1;
  const auto slots =
    static_cast<std::int64_t>(std::max<std::size_t>(aLedger.mLimits.mSlots, 1));
  return std::clamp(
    service * waiting / slots, kMinimumRetryAfter, kMaximumRetryAfter);
}

bool
MayBeQueriedForOutcome(const ledger& aLedger, time_point aNow)
{
  const auto isRecent = [&](const ended_list& aList) {
    return !aList.empty() && aNow - aList.back().first < kFetchTimeout;
  };
  return isRecent(aLedger.mRefusals) || isRecent(aLedger.mEndedRuns);
}

} // namespace lavender::dispatch
