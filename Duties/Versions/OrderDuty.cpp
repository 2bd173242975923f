#include "Duties/Versions/OrderDuty.h"

#include "Duties/Versions/Assignments.h"
#include "Libraries/EventLog/EventLog.h"

namespace lavender::versions {

using namespace std::chrono_literals;

namespace {

constexpr milliseconds kRetryDelay = 500ms;
/** Pause after no entry answered, as in an outage of the store. Longer than
 * kRetryDelay because the next step lists the entries, which is a billed
 * call. */
constexpr milliseconds kNoResponseDelay = 1000ms;
/** An entry holds a request for up to eight seconds; probes detect a connection
 * that was lost meanwhile. */
constexpr milliseconds kAskTimeout = 10s;
constexpr milliseconds kServerTimeout = 1s;
/** All controllers should ask the same entry, because it can then see which of
 * them are alive and which servers are loading. */
constexpr milliseconds kPreferredAgainAfter = 10s;

bool
HoldsAll(const server_report& aReport, const target_versions& aTargetVersions)
{
  for (const auto& [model, version] : aTargetVersions) {
    const auto held = aReport.mVersions.find(model);
    if (held == aReport.mVersions.end() || held->second < version) {
      return false;
    }
  }
  return true;
}

} // namespace

order_duty::order_duty(order_dependencies aParts)
  : mDependencies(std::move(aParts))
  , mTimer(mDependencies.mLoop)
{
}

void
order_duty::Start()
{
  Claim();
}

void
order_duty::ScheduleStep(milliseconds aDelay, void (order_duty::*aStep)())
{
  mTimer.expires_after(aDelay);
  mTimer.async_wait([this, aStep](const auto& aError) {
    if (!aError) {
      (this->*aStep)();
    }
  });
}

void
order_duty::Claim()
{
  mDependencies.mClaim([this](std::optional<order_permission> aRight) {
    if (!aRight) {
      ScheduleStep(kRetryDelay, &order_duty::Claim);
      return;
    }
    mGrant = *aRight;
    mTargetVersions.clear();
    events::line("server_claimed")
      .With("server", mDependencies.mServer.Text())
      .With("epoch", mGrant.mEpoch)
      .With("first_order_in_ms",
            std::chrono::duration_cast<milliseconds>(mGrant.mNotBefore -
                                                     boot_clock::now()));
    if (mGrant.mIsFirstClaim) {
      ScheduleStep(mDependencies.mNewSiteDelay, &order_duty::FindEntries);
    } else {
      FindEntries();
    }
  });
}

void
order_duty::FindEntries()
{
  mDependencies.mEntries([this](std::vector<edge::endpoint> aEntries) {
    // Keep the previous list if the entries could not be listed.
    if (!aEntries.empty()) {
      mEntries = std::move(aEntries);
    }
    mEntry = 0;
    if (mEntries.empty()) {
      ScheduleStep(kRetryDelay, &order_duty::FindEntries);
    } else {
      RequestAssignment();
    }
  });
}

void
order_duty::RequestAssignment()
{
  edge::call_options options;
  options.mSilenceTimeout = kAskTimeout;
  options.mProbesConnection = true;
  assignment_request request;
  request.mServer = mDependencies.mServer;
  request.mClaim.mController = mDependencies.mName;
  request.mClaim.mEpoch = mGrant.mEpoch;
  request.mHeld = mHeld;
  request.mKnown = mTargetVersions;
  edge::FetchWhole(
    mDependencies.mClients,
    mDependencies.mLoop,
    mEntries[mEntry],
    EncodeAssignmentRequest(request),
    options,
    kAskTimeout,
    64 << 10,
    [this](edge::call_end aEnd, const edge::response& aResponse) {
      HandleAssignmentResponse(aEnd, aResponse);
    });
}

void
order_duty::HandleAssignmentResponse(edge::call_end aEnd,
                                     const edge::response& aResponse)
{
  const bool isComplete = aEnd == edge::call_end::Complete;
  if (isComplete && aResponse.mStatus == kNotController) {
    HandleClaimLost();
    return;
  }
  const auto target =
    isComplete ? DecodeAssignmentResponse(aResponse) : std::nullopt;
  if (!target) {
    events::line("entry_silent")
      .With("entry", mEntries[mEntry].Text())
      .With("end", edge::ToString(aEnd));
    ++mEntry;
    mPreferredAgainAt = boot_clock::now() + kPreferredAgainAfter;
    if (mEntry >= mEntries.size()) {
      ScheduleStep(kNoResponseDelay, &order_duty::FindEntries);
    } else {
      ScheduleStep(50ms, &order_duty::RequestAssignment);
    }
    return;
  }
  mTargetVersions = *target;
  mAssignedAt = boot_clock::now();
  if (mEntry != 0 && mAssignedAt >= mPreferredAgainAt) {
    mEntry = 0;
  }
  if (mTargetVersions.empty()) {
    RequestAssignment();
  } else {
    ReadReport();
  }
}

void
order_duty::ReadReport()
{
  edge::call_options options;
  options.mSilenceTimeout = kServerTimeout;
  edge::FetchWhole(
    mDependencies.mClients,
    mDependencies.mLoop,
    mDependencies.mServer,
    mDependencies.mEncodeReport(),
    options,
    kServerTimeout,
    256 << 10,
    [this](edge::call_end aEnd, const edge::response& aResponse) {
      const auto report = aEnd == edge::call_end::Complete
                            ? mDependencies.mDecodeReport(aResponse)
                            : std::nullopt;
      if (report) {
        HandleReport(*report);
        return;
      }
      // The server may be unreachable for long, so ask the entry
      // again for the target versions.
      mTargetVersions.clear();
      ScheduleStep(kRetryDelay, &order_duty::RequestAssignment);
    });
}

void
order_duty::HandleReport(const server_report& aReport)
{
  mHeld = aReport.mVersions;
  if (HoldsAll(aReport, mTargetVersions)) {
    RequestAssignment();
    return;
  }
  auto order = DecideOrder(aReport, mTargetVersions);
  if (!order) {
    ScheduleStep(mDependencies.mLoadPollInterval, &order_duty::ReadReport);
    return;
  }
  const auto now = boot_clock::now();
  if (now < mGrant.mNotBefore) {
    // Until then the last order of the previous controller may still arrive.
    mTargetVersions.clear();
    ScheduleStep(std::chrono::ceil<milliseconds>(mGrant.mNotBefore - now),
                 &order_duty::RequestAssignment);
    return;
  }
  if (now - mAssignedAt > kAssignmentValidity) {
    mTargetVersions.clear();
    RequestAssignment();
    return;
  }
  order->mHolder = mDependencies.mName;
  order->mEpoch = mGrant.mEpoch;
  CheckAndSendOrder(*order);
}

void
order_duty::HandleClaimLost()
{
  events::line("claim_lost")
    .With("server", mDependencies.mServer.Text())
    .With("epoch", mGrant.mEpoch);
  Claim();
}

void
order_duty::CheckAndSendOrder(const weight_order& aOrder)
{
  if (!mDependencies.mCheckClaim) {
    SendOrder(aOrder);
    return;
  }
  mDependencies.mCheckClaim(
    mGrant.mEpoch,
    [this, aOrder, askedAt = boot_clock::now()](claim_check aCheck) {
      if (aCheck == claim_check::Lost) {
        HandleClaimLost();
        return;
      }
      if (aCheck == claim_check::Unknown ||
          boot_clock::now() - askedAt > kClaimCheckValidity) {
        mTargetVersions.clear();
        ScheduleStep(kRetryDelay, &order_duty::RequestAssignment);
        return;
      }
      SendOrder(aOrder);
    });
}

void
order_duty::SendOrder(const weight_order& aOrder)
{
  edge::call_options options;
  options.mSilenceTimeout = kServerTimeout;
  edge::FetchWhole(
    mDependencies.mClients,
    mDependencies.mLoop,
    mDependencies.mServer,
    mDependencies.mEncodeOrder(aOrder),
    options,
    kServerTimeout,
    64 << 10,
    [this, aOrder](edge::call_end aEnd, const edge::response& aResponse) {
      events::line("order_given")
        .With("server", aOrder.mServerId)
        .With("model", aOrder.mModel)
        .With("version", aOrder.mVersion)
        .With("epoch", aOrder.mEpoch)
        .With("expect", aOrder.mAcceptedOrders)
        .With("end", edge::ToString(aEnd))
        .With("status", static_cast<std::int64_t>(aResponse.mStatus));
      // The server's report shows whether the order was carried out, even if
      // the response was lost. A rejected order isn't repeated at once, because
      // the reason for its rejection usually still holds.
      const bool isRejected =
        aEnd == edge::call_end::Complete && aResponse.mStatus >= 300;
      ScheduleStep(isRejected ? kRetryDelay : mDependencies.mLoadPollInterval,
                   &order_duty::ReadReport);
    });
}

} // namespace lavender::versions
