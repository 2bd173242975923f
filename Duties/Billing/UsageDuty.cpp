#include "Duties/Billing/UsageDuty.h"

#include "Libraries/Edge/RunAfter.h"
#include "Libraries/EventLog/EventLog.h"

#include <algorithm>

namespace lavender::billing {

using namespace std::chrono_literals;
using objects::store_outcome;

namespace {

constexpr char kDutyKind[] = "duties";
constexpr char kDutyName[] = "usage";
/** A peer that doesn't tell its counts within this is left out. */
constexpr milliseconds kPeerTimeout = 400ms;
/** A report leaves this soon after its record was written, or not at all: the
 * process may have been paused, and another entry have taken over. */
constexpr milliseconds kSendWithin = 700ms;
constexpr milliseconds kRetryPause = 500ms;
/** Then the window waits for the next one's turn, which takes it along: in an
 * outage each try is a priced call. */
constexpr int kTries = 6;

std::string
EncodeCounts(const customer_counts& aCounts)
{
  json::value counts = json::object{};
  for (const auto& [customer, count] : aCounts) {
    counts.Set(customer, count);
  }
  return json::Write(counts);
}

customer_counts
DecodeCounts(const json::value& aValue)
{
  customer_counts counts;
  for (const auto& [customer, count] : aValue.Members()) {
    counts[customer] = count.IntegerOr(0);
  }
  return counts;
}

/** Whether the record says that a window's report was taken. */
bool
IsReported(const json::value& aRecord, window_number aWindow)
{
  const auto window = json::IntegerAt(aRecord, "window", 0);
  return window > aWindow ||
         (window == aWindow && json::BooleanAt(aRecord, "sent", false));
}

} // namespace

/** One window on its way to being reported. */
struct usage_duty::round
{
  window_number mWindow = 0;
  /** The newest window to report; earlier ones that were missed come first. */
  window_number mUntil = 0;
  customer_counts mCounts;
  /** Record as read; revision 0 when there is none yet. */
  objects::revision_number mRevision = 0;
  /** Entries whose counts are awaited, and one while they are being asked. */
  int mOpenQuestions = 0;
  time_point mWrittenAt;
  int mTriesLeft = kTries;
};

usage_duty::usage_duty(usage_dependencies aParts)
  : mDependencies(std::move(aParts))
  , mTimer(mDependencies.mLoop)
{
}

void
usage_duty::CountStart(const std::string& aCustomer)
{
  billing::CountStart(
    mCounts,
    aCustomer,
    WindowAt(std::chrono::system_clock::now(), mDependencies.mWindowLength));
}

std::string
usage_duty::CountsAsJson(window_number aWindow) const
{
  const auto found = mCounts.mWindows.find(aWindow);
  return EncodeCounts(found == mCounts.mWindows.end() ? customer_counts{}
                                                      : found->second);
}

void
usage_duty::Start()
{
  mLastWindow =
    WindowAt(std::chrono::system_clock::now(), mDependencies.mWindowLength) - 1;
  PlanNext();
}

std::size_t
usage_duty::Place() const
{
  const auto names = mDependencies.mEntryNames();
  return static_cast<std::size_t>(
    std::count_if(names.begin(), names.end(), [&](const auto& aName) {
      return aName < mDependencies.mName;
    }));
}

std::chrono::system_clock::time_point
usage_duty::DueAt(window_number aWindow) const
{
  return EndOf(aWindow, mDependencies.mWindowLength) + ReportDelay(Place());
}

void
usage_duty::PlanNext()
{
  const auto window = mLastWindow + 1;
  const auto wait = std::chrono::duration_cast<milliseconds>(
    DueAt(window) - std::chrono::system_clock::now());
  mTimer.expires_after(std::max(wait, 1ms));
  mTimer.async_wait([this, window](const auto& aError) {
    if (aError) {
      return;
    }
    // At its start an entry knows only itself and takes its turn for the first;
    // without this look, all of them would write the first window's record.
    if (std::chrono::system_clock::now() >= DueAt(window)) {
      mLastWindow = window;
      Act(window, kTries);
    }
    PlanNext();
  });
}

void
usage_duty::Act(window_number aWindow, int aTriesLeft)
{
  if (Place() == 0) {
    ReadRecord(aWindow, aTriesLeft);
    return;
  }
  // Mostly the first entry has reported it by now. A copy of the record, at a
  // tenth of the price of a read, says so truly, as the record only goes on.
  // With it and with turns taken once the entries are known, a quiet day of 26
  // entries takes 742 priced calls instead of 916.
  mDependencies.mStore.mGet(
    kDutyKind,
    kDutyName,
    objects::freshness::MayBeStale,
    [this, aWindow, aTriesLeft](const objects::object_reply& aReply) {
      if (aReply.mOutcome != store_outcome::Done ||
          !IsReported(aReply.mObject.mSpec, aWindow)) {
        ReadRecord(aWindow, aTriesLeft);
      }
    });
}

void
usage_duty::ReadRecord(window_number aWindow, int aTriesLeft)
{
  mDependencies.mStore.mGet(
    kDutyKind,
    kDutyName,
    objects::freshness::Linearizable,
    [this, aWindow, aTriesLeft](const objects::object_reply& aReply) {
      TakeRecord(aWindow, aTriesLeft, aReply);
    });
}

void
usage_duty::TakeRecord(window_number aWindow,
                       int aTriesLeft,
                       const objects::object_reply& aReply)
{
  const auto next = std::make_shared<round>();
  next->mUntil = aWindow;
  next->mWindow = aWindow;
  next->mTriesLeft = aTriesLeft;
  if (aReply.mOutcome == store_outcome::NotFound) {
    Gather(next);
    return;
  }
  if (aReply.mOutcome != store_outcome::Done) {
    Retry(next);
    return;
  }
  const auto& spec = aReply.mObject.mSpec;
  if (IsReported(spec, aWindow)) {
    return;
  }
  const bool isOwn = json::StringAt(spec, "holder", "") == mDependencies.mName;
  const auto wait =
    isOwn ? 0ms : TurnWait(mLastActAt, boot_clock::now(), mDependencies.mLease);
  if (wait > 0ms) {
    events::line("usage_turn_awaited")
      .With("window", aWindow)
      .With("wait_ms", wait);
    edge::RunAfter(mDependencies.mLoop, wait, [this, aWindow, aTriesLeft] {
      ReadRecord(aWindow, aTriesLeft);
    });
    return;
  }
  next->mRevision = aReply.mObject.mRevision;
  next->mWindow = json::IntegerAt(spec, "window", 0);
  if (json::BooleanAt(spec, "sent", false)) {
    Advance(next);
    return;
  }
  if (const auto* counts = spec.Find("counts")) {
    next->mCounts = DecodeCounts(*counts);
  }
  Fix(next);
}

void
usage_duty::Advance(const std::shared_ptr<round>& aRound)
{
  // Windows are fixed one after the other, each once the one before has been
  // taken, so that a later record means that the earlier windows are reported.
  // After an outage the missed ones follow, as far as they are remembered.
  const auto oldest =
    aRound->mUntil - static_cast<window_number>(kKeptWindows) + 1;
  aRound->mWindow = std::max(aRound->mWindow + 1, oldest);
  aRound->mCounts.clear();
  Gather(aRound);
}

void
usage_duty::Gather(const std::shared_ptr<round>& aRound)
{
  if (const auto own = mCounts.mWindows.find(aRound->mWindow);
      own != mCounts.mWindows.end()) {
    aRound->mCounts = own->second;
  }
  // All at once: asked one after another, entries that are gone would make the
  // report as late as their timeouts add up to.
  aRound->mOpenQuestions = 1;
  for (const auto& name : mDependencies.mEntryNames()) {
    if (const auto peer = mDependencies.mFindPeer(name);
        peer && name != mDependencies.mName) {
      ++aRound->mOpenQuestions;
      AskShare(aRound, name, *peer);
    }
  }
  EndQuestion(aRound);
}

void
usage_duty::AskShare(const std::shared_ptr<round>& aRound,
                     const std::string& aName,
                     const edge::endpoint& aPeer)
{
  edge::request request;
  request.mMethod = "GET";
  request.mTarget = kUsagePath + std::to_string(aRound->mWindow);
  edge::call_options options;
  options.mConnectTimeout = kPeerTimeout;
  edge::FetchWhole(
    mDependencies.mClients,
    mDependencies.mLoop,
    aPeer,
    request,
    options,
    kPeerTimeout,
    64 << 10,
    [this, aRound, aName](edge::call_end aEnd, const edge::response& aAnswer) {
      const auto body = json::Parse(aAnswer.mBody);
      if (aEnd == edge::call_end::Complete && aAnswer.mStatus == 200 && body) {
        AddCounts(aRound->mCounts, DecodeCounts(*body));
      } else {
        events::line("usage_share_missing")
          .With("window", aRound->mWindow)
          .With("entry", aName)
          .With("end", edge::ToString(aEnd));
      }
      EndQuestion(aRound);
    });
}

void
usage_duty::EndQuestion(const std::shared_ptr<round>& aRound)
{
  if (--aRound->mOpenQuestions > 0) {
    return;
  }
  // Nothing is known of a missed window: nobody ran then, or all have
  // restarted since. There is nothing to bill.
  if (aRound->mCounts.empty() && aRound->mWindow < aRound->mUntil) {
    Advance(aRound);
  } else {
    Fix(aRound);
  }
}

void
usage_duty::Fix(const std::shared_ptr<round>& aRound)
{
  const std::string record =
    "{\"window\":" + std::to_string(aRound->mWindow) + ",\"holder\":\"" +
    mDependencies.mName +
    "\",\"sent\":false,\"try\":" + std::to_string(aRound->mTriesLeft) +
    ",\"counts\":" + EncodeCounts(aRound->mCounts) + "}";
  aRound->mWrittenAt = boot_clock::now();
  const auto done = [this, aRound](const objects::object_reply& aReply) {
    if (aReply.mOutcome == store_outcome::Done) {
      aRound->mRevision = aReply.mObject.mRevision;
      Send(aRound);
    } else if (aReply.mOutcome != store_outcome::Conflict) {
      Retry(aRound);
    }
  };
  if (aRound->mRevision == 0) {
    mDependencies.mStore.mCreate(kDutyKind, kDutyName, record, done);
  } else {
    mDependencies.mStore.mReplace(
      kDutyKind, kDutyName, aRound->mRevision, record, done);
  }
}

void
usage_duty::Send(const std::shared_ptr<round>& aRound)
{
  if (boot_clock::now() - aRound->mWrittenAt > kSendWithin) {
    Retry(aRound);
    return;
  }
  mLastActAt = boot_clock::now();
  usage_report report;
  report.mWindow = aRound->mWindow;
  report.mCounts = aRound->mCounts;
  report.mHolder = mDependencies.mName;
  report.mEpoch = aRound->mRevision;
  mDependencies.mSend(report, [this, aRound](report_outcome aOutcome) {
    mLastActAt = boot_clock::now();
    events::line("usage_reported")
      .With("window", aRound->mWindow)
      .With("epoch", aRound->mRevision)
      .With("outcome",
            aOutcome == report_outcome::Accepted ? "taken" : "failed");
    if (aOutcome == report_outcome::Accepted) {
      MarkSent(aRound);
    } else {
      Retry(aRound);
    }
  });
}

void
usage_duty::MarkSent(const std::shared_ptr<round>& aRound)
{
  const std::string record = "{\"window\":" + std::to_string(aRound->mWindow) +
                             ",\"holder\":\"" + mDependencies.mName +
                             "\",\"sent\":true}";
  // Whether this arrives matters little: without it the next entry sends the
  // same counts again.
  mDependencies.mStore.mReplace(
    kDutyKind,
    kDutyName,
    aRound->mRevision,
    record,
    [this, aRound](const objects::object_reply& aReply) {
      if (aRound->mWindow >= aRound->mUntil) {
        return;
      }
      if (aReply.mOutcome == store_outcome::Done) {
        aRound->mRevision = aReply.mObject.mRevision;
        Advance(aRound);
      } else {
        Retry(aRound);
      }
    });
}

void
usage_duty::Retry(const std::shared_ptr<round>& aRound)
{
  if (aRound->mTriesLeft-- <= 0) {
    events::line("usage_given_up").With("window", aRound->mWindow);
    return;
  }
  // Starts over from the record: a lost answer may have written it.
  edge::RunAfter(mDependencies.mLoop, kRetryPause, [this, aRound] {
    Act(aRound->mUntil, aRound->mTriesLeft);
  });
}

} // namespace lavender::billing
