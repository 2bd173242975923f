#include "Duties/Versions/OrderDuty.h"

#include "Duties/Versions/Assignments.h"
#include "Libraries/EventLog/EventLog.h"

namespace lavender::versions {

using namespace std::chrono_literals;

namespace {

constexpr milliseconds kRetryPause = 500ms;
/** When no entry answers, as in an outage of the store: the list of entries is
 * a priced call. */
constexpr milliseconds kAllSilentPause = 1000ms;
/** An entry holds a question for eight seconds; probes on the connection find
 * one that was dropped on the way. */
constexpr milliseconds kAskTimeout = 10s;
constexpr milliseconds kServerTimeout = 1s;
/** All givers should ask one entry: it knows who is alive, and all loads. */
constexpr milliseconds kPreferredAgainAfter = 10s;

bool
HoldsAll(const server_report& aReport, const target_versions& aWanted)
{
  for (const auto& [model, version] : aWanted) {
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
order_duty::After(milliseconds aPause, void (order_duty::*aStep)())
{
  mTimer.expires_after(aPause);
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
      After(kRetryPause, &order_duty::Claim);
      return;
    }
    mRight = *aRight;
    mWanted.clear();
    events::line("server_claimed")
      .With("server", mDependencies.mServer.Text())
      .With("epoch", mRight.mEpoch)
      .With("first_order_in_ms",
            std::chrono::duration_cast<milliseconds>(mRight.mNotBefore -
                                                     boot_clock::now()));
    FindEntries();
  });
}

void
order_duty::FindEntries()
{
  mDependencies.mEntries([this](std::vector<edge::endpoint> aEntries) {
    // What was known stays in use while the list can't be had.
    if (!aEntries.empty()) {
      mEntries = std::move(aEntries);
    }
    mEntry = 0;
    if (mEntries.empty()) {
      After(kRetryPause, &order_duty::FindEntries);
    } else {
      Ask();
    }
  });
}

void
order_duty::Ask()
{
  edge::call_options options;
  options.mSilenceTimeout = kAskTimeout;
  options.mProbesConnection = true;
  assignment_request question;
  question.mServer = mDependencies.mServer;
  question.mClaim.mController = mDependencies.mName;
  question.mClaim.mEpoch = mRight.mEpoch;
  question.mHeld = mHeld;
  question.mKnown = mWanted;
  edge::FetchWhole(mDependencies.mClients,
                   mDependencies.mLoop,
                   mEntries[mEntry],
                   EncodeAssignmentRequest(question),
                   options,
                   kAskTimeout,
                   64 << 10,
                   [this](edge::call_end aEnd, const edge::response& aAnswer) {
                     TakeAnswer(aEnd, aAnswer);
                   });
}

void
order_duty::TakeAnswer(edge::call_end aEnd, const edge::response& aAnswer)
{
  const bool isComplete = aEnd == edge::call_end::Complete;
  if (isComplete && aAnswer.mStatus == kNotController) {
    events::line("claim_lost")
      .With("server", mDependencies.mServer.Text())
      .With("epoch", mRight.mEpoch);
    Claim();
    return;
  }
  const auto wanted =
    isComplete ? DecodeAssignmentResponse(aAnswer) : std::nullopt;
  if (!wanted) {
    events::line("entry_silent")
      .With("entry", mEntries[mEntry].Text())
      .With("end", edge::ToString(aEnd));
    ++mEntry;
    mPreferredAgainAt = boot_clock::now() + kPreferredAgainAfter;
    if (mEntry >= mEntries.size()) {
      After(kAllSilentPause, &order_duty::FindEntries);
    } else {
      After(50ms, &order_duty::Ask);
    }
    return;
  }
  mWanted = *wanted;
  mToldAt = boot_clock::now();
  if (mEntry != 0 && mToldAt >= mPreferredAgainAt) {
    mEntry = 0;
  }
  if (mWanted.empty()) {
    Ask();
  } else {
    ReadReport();
  }
}

void
order_duty::ReadReport()
{
  edge::call_options options;
  options.mSilenceTimeout = kServerTimeout;
  edge::FetchWhole(mDependencies.mClients,
                   mDependencies.mLoop,
                   mDependencies.mServer,
                   mDependencies.mEncodeReport(),
                   options,
                   kServerTimeout,
                   256 << 10,
                   [this](edge::call_end aEnd, const edge::response& aAnswer) {
                     const auto report =
                       aEnd == edge::call_end::Complete
                         ? mDependencies.mDecodeReport(aAnswer)
                         : std::nullopt;
                     if (report) {
                       HandleReport(*report);
                       return;
                     }
                     // The server may be away for long; the entry decides anew.
                     mWanted.clear();
                     After(kRetryPause, &order_duty::Ask);
                   });
}

void
order_duty::HandleReport(const server_report& aReport)
{
  mHeld = aReport.mVersions;
  if (HoldsAll(aReport, mWanted)) {
    Ask();
    return;
  }
  auto order = DecideOrder(aReport, mWanted);
  if (!order) {
    After(mDependencies.mLoadLook, &order_duty::ReadReport);
    return;
  }
  const auto now = boot_clock::now();
  if (now < mRight.mNotBefore) {
    // Until then another giver's last order may arrive.
    mWanted.clear();
    After(std::chrono::ceil<milliseconds>(mRight.mNotBefore - now),
          &order_duty::Ask);
    return;
  }
  if (now - mToldAt > kAnswerHolds) {
    mWanted.clear();
    Ask();
    return;
  }
  order->mHolder = mDependencies.mName;
  order->mEpoch = mRight.mEpoch;
  Give(*order);
}

void
order_duty::Give(const weight_order& aOrder)
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
    [this, aOrder](edge::call_end aEnd, const edge::response& aAnswer) {
      events::line("order_given")
        .With("server", aOrder.mServerId)
        .With("model", aOrder.mModel)
        .With("version", aOrder.mVersion)
        .With("epoch", aOrder.mEpoch)
        .With("expect", aOrder.mAcceptedOrders)
        .With("end", edge::ToString(aEnd))
        .With("status", static_cast<std::int64_t>(aAnswer.mStatus));
      // The report tells what became of it, with or without an answer. One that
      // was turned down isn't sent again at once: the reason lasts.
      const bool isTurnedDown =
        aEnd == edge::call_end::Complete && aAnswer.mStatus >= 300;
      After(isTurnedDown ? kRetryPause : mDependencies.mLoadLook,
            &order_duty::ReadReport);
    });
}

} // namespace lavender::versions
