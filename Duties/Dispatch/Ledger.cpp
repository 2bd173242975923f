#include "Duties/Dispatch/Ledger.h"

#include <algorithm>

namespace lavender::dispatch {
namespace {

using wire::run_state;

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

/** Reason why an order can't be taken now; empty when it can. */
std::string
FindRefusal(const ledger& aLedger, const wire::dispatch_order& aOrder)
{
  if (aOrder.agent_incarnation != aLedger.mIncarnation) {
    return "other_incarnation";
  }
  if (aLedger.mIsDraining) {
    return "draining";
  }
  if (aOrder.deadline_left_ms <= 0) {
    return "deadline";
  }
  return {};
}

admission::queue_item
ToItem(const wire::dispatch_order& aOrder, time_point aDeadline)
{
  return { aOrder.request_id,  aOrder.customer, aOrder.weight,
           aOrder.cost_tokens, aOrder.priority, aDeadline };
}

std::int64_t
CostOf(const wire::dispatch_order& aOrder)
{
  return std::max<std::int64_t>(aOrder.cost_tokens, 1);
}

} // namespace

ledger
MakeLedger(std::string aIncarnation, const ledger_limits& aLimits)
{
  ledger made;
  made.mIncarnation = std::move(aIncarnation);
  made.mLimits = aLimits;
  made.mQueue.mLimits = { aLimits.mPolicy,
                          aLimits.mMaximumQueued,
                          aLimits.mSlots };
  return made;
}

ledger_answer
Admit(ledger& aLedger, const wire::dispatch_order& aOrder, time_point aNow)
{
  auto& row = aLedger.mRows[aOrder.request_id];
  if (row.mState != run_state::UNKNOWN_ID) {
    row.mAskedAt = aNow;
    return Describe(row);
  }
  if (auto refusal = FindRefusal(aLedger, aOrder); !refusal.empty()) {
    SetState(row, run_state::NOT_RUN, refusal, aNow);
    return Describe(row);
  }
  const auto deadline = aNow + milliseconds(aOrder.deadline_left_ms);
  const auto pushed = admission::Push(
    aLedger.mQueue, ToItem(aOrder, deadline), aLedger.mRunningCost, aNow);
  if (const auto& displaced = pushed.mDisplaced) {
    auto& other = aLedger.mRows.at(displaced->mId);
    SetState(other, run_state::NOT_RUN, "displaced", aNow);
    other.mRetryAfter = pushed.mRetryAfter;
    other.mOrder = {};
  }
  if (!pushed.mIsQueued) {
    SetState(row, run_state::NOT_RUN, pushed.mReason, aNow);
    row.mRetryAfter = pushed.mRetryAfter;
    return Describe(row);
  }
  row.mOrder = aOrder;
  row.mAskedAt = aNow;
  row.mDeadline = deadline;
  SetState(row, run_state::QUEUED, "", aNow);
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
Cancel(ledger& aLedger, const std::string& aId, time_point aNow)
{
  auto& row = aLedger.mRows[aId];
  if (row.mState == run_state::UNKNOWN_ID) {
    SetState(row, run_state::NOT_RUN, "cancelled_before_arrival", aNow);
  } else if (row.mState == run_state::QUEUED) {
    admission::Remove(aLedger.mQueue, row.mOrder.customer, aId);
    SetState(row, run_state::NOT_RUN, "cancelled", aNow);
    row.mOrder = {};
  }
  return Describe(row);
}

std::optional<wire::dispatch_order>
TakeNext(ledger& aLedger, time_point aNow)
{
  while (aLedger.mRunning < aLedger.mLimits.mSlots) {
    const auto item = admission::Pop(aLedger.mQueue);
    if (!item) {
      break;
    }
    auto& row = aLedger.mRows.at(item->mId);
    if (aNow >= row.mDeadline) {
      SetState(row, run_state::NOT_RUN, "deadline", aNow);
      row.mOrder = {};
      continue;
    }
    if (aNow - row.mAskedAt > aLedger.mLimits.mAbandonAfter) {
      SetState(row, run_state::NOT_RUN, "abandoned", aNow);
      row.mOrder = {};
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
  auto& row = aLedger.mRows.at(aId);
  SetState(row, aState, aReason, aNow);
  row.mResult = std::move(aResult);
  row.mOrder.payload.clear();
  --aLedger.mRunning;
  aLedger.mRunningCost -= CostOf(row.mOrder);
  if (aState == run_state::FINISHED && row.mResult.http_status < 500) {
    // A server that fails at once must not look like one that drains fast.
    admission::RecordRun(
      aLedger.mQueue, CostOf(row.mOrder), aNow - row.mStartedAt);
  }
}

void
Sweep(ledger& aLedger, time_point aNow)
{
  for (auto row = aLedger.mRows.begin(); row != aLedger.mRows.end();) {
    const bool isOver = row->second.mState != run_state::QUEUED &&
                        row->second.mState != run_state::RUNNING;
    if (isOver && aNow - row->second.mChangedAt > aLedger.mLimits.mKeep) {
      row = aLedger.mRows.erase(row);
    } else {
      ++row;
    }
  }
}

} // namespace lavender::dispatch
