#include "Services/Entry/SiteEntry.h"

#include "Duties/Batches/PeerCall.h"
#include "Libraries/EventLog/EventLog.h"

#include <algorithm>

namespace lavender::entry {

using namespace std::chrono_literals;

namespace {

/** Minimum time between the signal to stop and the end. The balancer polls
 * readiness once a second and removes an entry after two failures; new callers
 * can arrive until then. */
constexpr milliseconds kMinimumDrainTime = 3200ms;
/** Requests in flight are answered this long before the end of the grace
 * period, with what is known of them. */
constexpr milliseconds kLastAnswerMargin = 600ms;
/** The process exits this long before the end of the grace period, even with
 * requests in flight. Answers that are ready have been written by then. */
constexpr milliseconds kGraceMargin = 300ms;
/** Open batches are handed over to other entries this long before the grace
 * period ends. Most batches finish before that, and a run that moves to another
 * entry loses the text generated so far. */
constexpr milliseconds kHandOverLead = 2000ms;
constexpr milliseconds kDrainCheckInterval = 100ms;

} // namespace

void
site_entry::StartDrain()
{
  mDrainStart = boot_clock::now();
  events::line("leaving").With("requests",
                               static_cast<std::int64_t>(mCallers.Requests()));
  const auto answersUntil =
    *mDrainStart + mSettings.mGracePeriod - kLastAnswerMargin;
  mBatches.StopAccepting(answersUntil);
  mForwarder.StartStopping(answersUntil);
  mCallers.StartDraining();
  CheckDrained();
}

void
site_entry::CheckDrained()
{
  const auto since = boot_clock::now() - *mDrainStart;
  const bool isIdle = since >= kMinimumDrainTime && mCallers.Requests() == 0 &&
                      mBatches.OpenBatches() == 0;
  if (!mHasHandedOver && since >= mSettings.mGracePeriod - kHandOverLead) {
    mHasHandedOver = true;
    mBatches.HandOver();
  }
  if (!mHasAnsweredOpenRequests &&
      since >= mSettings.mGracePeriod - kLastAnswerMargin) {
    mHasAnsweredOpenRequests = true;
    AnswerOpenRequests();
  }
  const bool isDone = mHasAnsweredOpenRequests && mCallers.Requests() == 0 &&
                      mBatches.OpenBatches() == 0;
  if (isIdle || isDone || since >= mSettings.mGracePeriod - kGraceMargin) {
    EndStop();
    return;
  }
  mDrainTimer.expires_after(kDrainCheckInterval);
  mDrainTimer.async_wait([this](const auto& aError) {
    if (!aError) {
      CheckDrained();
    }
  });
}

void
site_entry::AnswerOpenRequests()
{
  mGivenUpRequests = mForwarder.EndWaiting();
  mBatches.AnswerWaitingReads();
  for (const auto& open : mCallers.Unanswered()) {
    // A read has changed nothing; a submission or an end that the store hasn't
    // answered may take effect.
    const bool isRead = open->mRequest.mMethod == "GET";
    mGivenUpRequests += isRead ? 0 : 1;
    Deny(open, isRead ? 503 : 504, "process stops");
  }
  for (const auto& open : mPeerListener.Unanswered()) {
    const auto& target = open->mRequest.mTarget;
    if (target.rfind(batches::kPeerPath, 0) == 0 ||
        target.rfind(batches::kPeerSubmissionPath, 0) == 0) {
      edge::AnswerOwn(open, 504);
    }
  }
}

void
site_entry::EndStop()
{
  mForwarder.CutBegun();
  const auto counts = mCallers.DrainCounts();
  // Beside those broken off, answers that a slow caller hasn't taken.
  const auto cut = counts.mCut + mCallers.Requests();
  const auto notServed = counts.mRefused + mGivenUpRequests;
  events::line("stop_ended")
    .With("served",
          static_cast<std::int64_t>(counts.mAnswered -
                                    std::min(counts.mAnswered, notServed)))
    .With("refused", static_cast<std::int64_t>(counts.mRefused))
    .With("given_up", static_cast<std::int64_t>(mGivenUpRequests))
    .With("cut", static_cast<std::int64_t>(cut))
    .With("took_ms",
          std::chrono::duration_cast<milliseconds>(boot_clock::now() -
                                                   *mDrainStart));
  mLoop.stop();
}

} // namespace lavender::entry
