#include "Duties/Dispatch/Ledger.h"

#include <algorithm>
#include <utility>

namespace lavender::dispatch {
namespace {

using wire::run_state;
using namespace std::chrono_literals;

constexpr milliseconds kLeastRetryAfter = 50ms;
constexpr milliseconds kMostRetryAfter = 30000ms;
/** Taken as a run's time before one was measured. */
constexpr milliseconds kAssumedServiceTime = 1000ms;
/** An entry that lives asks for an end within this while: longer than the
 * silence after which it drops a connection. */
constexpr milliseconds kFetchWithin = 2500ms;

ledger_answer
Describe(const ledger_row& aRow)
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

/** Counts a request that comes or goes with its customer and its entry. */
void
CountHeld(ledger& aLedger, const wire::dispatch_order& aOrder, int aChange)
{
  auto& entries = aLedger.mHeld[aOrder.customer];
  auto& count = entries[aOrder.entry_incarnation];
  count += aChange;
  if (count == 0) {
    entries.erase(aOrder.entry_incarnation);
  }
  if (entries.empty()) {
    aLedger.mHeld.erase(aOrder.customer);
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
    CountHeld(aLedger, row.mOrder, -1);
  }
  SetState(row, run_state::NOT_RUN, aReason, aNow);
  row.mOrder = {};
  aLedger.mRefused.emplace_back(aNow, aId);
}

std::size_t
SizeOf(const ledger_row& aRow)
{
  return aRow.mResult.body.size();
}

void
Forget(ledger& aLedger, ended_list& aList)
{
  const auto row = aLedger.mRows.find(aList.front().second);
  aLedger.mAnswerBytes -= SizeOf(row->second);
  aLedger.mRows.erase(row);
  aList.pop_front();
}

/** Whether an id without a row may have had one. Such an id must neither be
 * run nor be called "not run": a caller who asks again after its answer was
 * forgotten would otherwise get a second run. */
bool
IsPerhapsForgotten(const ledger& aLedger, time_point aIssuedAt)
{
  return aLedger.mForgottenThrough && aIssuedAt <= *aLedger.mForgottenThrough;
}

/** Forgets the oldest row, and remembers up to which time rows were. */
void
ForgetForGood(ledger& aLedger, ended_list& aList)
{
  const auto endedAt = aList.front().first;
  aLedger.mForgottenThrough =
    std::max(aLedger.mForgottenThrough.value_or(endedAt), endedAt);
  Forget(aLedger, aList);
}

/** Refusal of an order that this process can never take, whenever it comes;
 * none when it might. Such a refusal needs no row: a second copy of the order
 * is refused for the same reason. */
std::optional<ledger_answer>
FindLastingRefusal(const ledger& aLedger,
                   const wire::dispatch_order& aOrder,
                   time_point aNow)
{
  const auto refuse = [](const char* aReason) {
    return ledger_answer{ run_state::NOT_RUN, aReason };
  };
  if (aOrder.agent_incarnation != aLedger.mIncarnation) {
    return refuse("other_incarnation");
  }
  if (aOrder.deadline_left_ms <= 0) {
    return refuse("deadline");
  }
  const time_point issuedAt{ milliseconds(aOrder.issued_at_ms) };
  if (IsPerhapsForgotten(aLedger, issuedAt)) {
    // An earlier copy of it may have run.
    return ledger_answer{ run_state::OUTCOME_UNKNOWN, "forgotten" };
  }
  if (issuedAt > aNow) {
    return refuse("order_from_future");
  }
  // A dispatch can wait for minutes on a connection that went silent, and
  // arrive after the tombstone of its cancel was forgotten. It would then run
  // although its caller was told "not run". Its age gives it away.
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

/** Puts the order in line, or gives the reason and the time for a refusal. */
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

ledger_answer
Admit(ledger& aLedger, const wire::dispatch_order& aOrder, time_point aNow)
{
  if (const auto known = aLedger.mRows.find(aOrder.request_id);
      known != aLedger.mRows.end()) {
    known->second.mAskedAt = aNow;
    return Describe(known->second);
  }
  if (auto refusal = FindLastingRefusal(aLedger, aOrder, aNow)) {
    return std::move(*refusal);
  }
  const auto deadline = aNow + milliseconds(aOrder.deadline_left_ms);
  if (const auto pushed = Enqueue(aLedger, aOrder, deadline, aNow);
      !pushed.mIsQueued) {
    RefuseRow(aLedger, aOrder.request_id, pushed.mReason, aNow);
    aLedger.mRows.at(aOrder.request_id).mRetryAfter = pushed.mRetryAfter;
    Sweep(aLedger, aNow);
    return { run_state::NOT_RUN, pushed.mReason, pushed.mRetryAfter };
  }
  auto& row = aLedger.mRows[aOrder.request_id];
  row.mOrder = aOrder;
  row.mAskedAt = aNow;
  row.mDeadline = deadline;
  SetState(row, run_state::QUEUED, "", aNow);
  CountHeld(aLedger, aOrder, 1);
  Sweep(aLedger, aNow);
  return Describe(row);
}

ledger_answer
Ask(ledger& aLedger, const std::string& aId, time_point aNow)
{
  const auto found = aLedger.mRows.find(aId);
  if (found == aLedger.mRows.end()) {
    return {};
  }
  found->second.mAskedAt = aNow;
  return Describe(found->second);
}

ledger_answer
Cancel(ledger& aLedger,
       const std::string& aId,
       time_point aIssuedAt,
       time_point aNow)
{
  const auto found = aLedger.mRows.find(aId);
  if (found == aLedger.mRows.end()) {
    if (IsPerhapsForgotten(aLedger, aIssuedAt)) {
      return { run_state::OUTCOME_UNKNOWN, "forgotten" };
    }
    RefuseRow(aLedger, aId, "cancelled_before_arrival", aNow);
    Sweep(aLedger, aNow);
    return { run_state::NOT_RUN, "cancelled_before_arrival" };
  }
  if (found->second.mState == run_state::QUEUED) {
    admission::Remove(aLedger.mQueue, found->second.mOrder.customer, aId);
    RefuseRow(aLedger, aId, "cancelled", aNow);
  }
  return Describe(found->second);
}

std::optional<wire::dispatch_order>
TakeNext(ledger& aLedger, time_point aNow)
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
    if (aNow - row.mAskedAt > aLedger.mLimits.mAbandonAfter) {
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
  CountHeld(aLedger, row.mOrder, -1);
  SetState(row, aState, aReason, aNow);
  row.mResult = std::move(aResult);
  row.mOrder = {};
  aLedger.mRan.emplace_back(aNow, aId);
  aLedger.mAnswerBytes += SizeOf(row);
  const auto took =
    std::chrono::duration_cast<milliseconds>(aNow - row.mStartedAt);
  constexpr int kServerError = 500;
  if (aState == run_state::FINISHED && row.mResult.http_status < kServerError) {
    // A server that fails at once must not look like one that drains fast.
    admission::RecordRun(aLedger.mQueue, cost, aNow - row.mStartedAt);
  }
  auto& smoothed = aLedger.mServiceTime;
  smoothed = smoothed == 0ms ? took : (smoothed * 7 + took) / 8;
  Sweep(aLedger, aNow);
}

void
RefuseQueued(ledger& aLedger, const std::string& aReason, time_point aNow)
{
  while (const auto item = admission::Pop(aLedger.mQueue)) {
    RefuseRow(aLedger, item->mId, aReason, aNow);
  }
}

void
Sweep(ledger& aLedger, time_point aNow)
{
  const auto& limits = aLedger.mLimits;
  auto& refused = aLedger.mRefused;
  auto& ran = aLedger.mRan;
  while (!refused.empty() &&
         aNow - refused.front().first > limits.mKeepRefusal) {
    Forget(aLedger, refused);
  }
  while (!ran.empty() && aNow - ran.front().first > limits.mKeepAnswer) {
    ForgetForGood(aLedger, ran);
  }
  // The newest answer stays, however large: its entry is about to fetch it.
  while (ran.size() > 1 && aLedger.mAnswerBytes > limits.mMaximumAnswerBytes) {
    ForgetForGood(aLedger, ran);
  }
  while (refused.size() + ran.size() > limits.mMaximumEnded) {
    const bool isRefusalOlder =
      ran.empty() || (!refused.empty() && refused.front() < ran.front());
    ForgetForGood(aLedger, isRefusalOlder ? refused : ran);
  }
}

std::vector<wire::customer_load>
CustomerLoads(const ledger& aLedger, const std::string& aEntry)
{
  constexpr std::size_t kMost = 64;
  std::vector<wire::customer_load> loads;
  for (const auto& [customer, entries] : aLedger.mHeld) {
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
  loads.resize(std::min(loads.size(), kMost));
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
    service * waiting / slots, kLeastRetryAfter, kMostRetryAfter);
}

bool
MayBeAskedForEnd(const ledger& aLedger, time_point aNow)
{
  const auto isRecent = [&](const ended_list& aList) {
    return !aList.empty() && aNow - aList.back().first < kFetchWithin;
  };
  return isRecent(aLedger.mRefused) || isRecent(aLedger.mRan);
}

} // namespace lavender::dispatch
