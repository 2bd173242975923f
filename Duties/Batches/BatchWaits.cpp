#include "Duties/Batches/BatchRunner.h"

#include "Libraries/EventLog/EventLog.h"

namespace lavender::batches {

std::optional<wait_reason>
batch_runner::WaitReasonOf(const running_batch& aBatch,
                           const item_progress& aItem)
{
  if (aBatch.mIsEndAsked) {
    return wait_reason::EndAsked;
  }
  switch (aBatch.mTerm.mPhase) {
    case term_phase::Checking:
      return wait_reason::ServersChecked;
    case term_phase::Beginning:
      return wait_reason::TermNotStored;
    case term_phase::Begun:
      break;
  }
  if (aItem.mPhase == item_phase::Reserved) {
    return IsCountStored(aItem.mLedger) &&
               IsStored(aItem.mLedger, ServerOf(aItem))
             ? wait_reason::ServerAsked
             : wait_reason::CountNotStored;
  }
  if (const auto unsettled = UnsettledCount(aItem)) {
    return unsettled;
  }
  return aItem.mPhase == item_phase::Scoring || MaySend(aItem.mErrors)
           ? std::nullopt
           : std::optional(wait_reason::CountNotStored);
}

void
batch_runner::RecordWait(const running_batch& aBatch,
                         item_progress& aItem,
                         wait_reason aReason,
                         time_point aNow)
{
  if (!mWaits || !aItem.mWait || !HasWaitedLong(*aItem.mWait, aNow)) {
    return;
  }
  auto& wait = *aItem.mWait;
  CountWait(*mWaits, wait, aReason, aNow);
  if (mWaitLines >= kMaximumWaitLines || !IsWorthLogging(wait, aReason, aNow)) {
    return;
  }
  ++mWaitLines;
  wait.mLoggedReason = aReason;
  wait.mLoggedAt = aNow;
  events::line("item_waits")
    .With("request", aItem.mItem->mId)
    .With("batch", aBatch.mMetadata.mId)
    .With("reason", ToString(aReason))
    .With("waited_ms",
          static_cast<std::int64_t>(TimeSince(wait.mSince, aNow).count()))
    .With("servers_lost",
          static_cast<std::int64_t>(ServersLost(aItem.mLedger)));
}

std::optional<wait_reason>
batch_runner::RecordRewardWait(const running_batch& aBatch,
                               item_progress& aItem,
                               time_point aNow)
{
  const auto wait = mDependencies.mRewards.WaitOf(aItem.mRewardCall);
  if (!wait) {
    aItem.mWait.reset();
    return std::nullopt;
  }
  if (!aItem.mWait || aItem.mWait->mSince != wait->mSince) {
    aItem.mWait = item_wait{ wait->mSince, std::nullopt, {} };
  }
  auto reason = WaitReasonOf(aBatch, aItem);
  if (!reason) {
    reason = ReasonOf(wait->mReason);
  }
  if (reason) {
    RecordWait(aBatch, aItem, *reason, aNow);
  }
  return reason;
}

void
batch_runner::PublishWaits(time_point aNow)
{
  const auto publish = [this](wait_reason aReason, const wait_count& aCount) {
    const metrics::labels reason{ { "reason", ToString(aReason) } };
    mDependencies.mMetrics.SetGauge("lavender_batch_items_waiting",
                                    reason,
                                    static_cast<double>(aCount.mItems));
    mDependencies.mMetrics.SetGauge(
      "lavender_batch_longest_wait_seconds",
      reason,
      std::chrono::duration<double>(aCount.mLongest).count());
  };
  for (const auto& [reason, count] : mPublishedWaits) {
    if (mWaits->count(reason) == 0) {
      publish(reason, {});
    }
  }
  for (const auto& [reason, count] : *mWaits) {
    publish(reason, count);
  }
  mPublishedWaits = std::move(*mWaits);
  mWaits.reset();
  mWaitsReportedAt = aNow;
  mWaitLines = 0;
}

} // namespace lavender::batches
