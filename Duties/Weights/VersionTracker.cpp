#include "Duties/Weights/VersionTracker.h"

#include <algorithm>

namespace lavender::weights {
namespace {

void
ExpireOpenOrder(version_tracker& aTracker, time_point aNow)
{
  if (aTracker.mOpen &&
      aNow - aTracker.mOpen->mOrderedAt > aTracker.mLimits.mSwapTimeout) {
    aTracker.mOpen.reset();
    ++aTracker.mEvents;
  }
}

/** Versions that the server held during a run, in order. */
std::vector<std::int64_t>
VersionsHeldDuring(const tracked_run& aRun)
{
  std::vector<std::int64_t> held = { aRun.mBefore->mVersion };
  for (const auto& change : aRun.mChanges) {
    if (change.mVersion != held.back()) {
      held.push_back(change.mVersion);
    }
  }
  return held;
}

bool
HasOneModel(const tracked_run& aRun, const weight_version& aAfter)
{
  return std::all_of(
    aRun.mChanges.begin(), aRun.mChanges.end(), [&](const auto& aChange) {
      return aChange.mModel == aAfter.mModel;
    });
}

/** Whether the reported parts cover each token once and list versions in the
 * order in which the server held them. */
bool
IsReportPlausible(const std::vector<version_part>& aReported,
                  const std::vector<std::int64_t>& aHeld,
                  std::int64_t aTokens)
{
  std::int64_t tokens = 0;
  std::vector<std::int64_t> versions;
  for (const auto& part : aReported) {
    if (part.mTokens <= 0) {
      return false;
    }
    tokens += part.mTokens;
    versions.push_back(part.mVersion);
  }
  return !versions.empty() && tokens == aTokens &&
         std::search(
           aHeld.begin(), aHeld.end(), versions.begin(), versions.end()) !=
           aHeld.end();
}

version_label
UnknownLabel(std::string aReason)
{
  version_label label;
  label.mReason = std::move(aReason);
  return label;
}

version_label
LabelWithoutSwap(version_tracker& aTracker,
                 const tracked_run& aRun,
                 const std::vector<version_part>& aReported,
                 std::int64_t aTokens)
{
  version_label label;
  label.mModel = aRun.mBefore->mModel;
  label.mParts = { { aRun.mBefore->mVersion, aTokens } };
  if (!aReported.empty() && aReported != label.mParts) {
    // No swap can have happened, so the server's report is wrong, and none of
    // its reports can be trusted.
    label.mIsReportWrong = true;
    aTracker.mIsReportTrusted = false;
  } else if (!aReported.empty() && aRun.mIsReportDoubtful) {
    // The server reported the version that it held, not the ordered one.
    aTracker.mIsReportDoubtful = false;
  }
  return label;
}

} // namespace

std::uint64_t
StartRun(version_tracker& aTracker, time_point aNow)
{
  ExpireOpenOrder(aTracker, aNow);
  tracked_run run;
  if (aTracker.mOpen) {
    run.mOpenTarget = aTracker.mOpen->mTarget;
    run.mOpenOrders = 1;
  }
  run.mUnorderedChanges = aTracker.mUnorderedChanges;
  run.mIsReportDoubtful = aTracker.mIsReportDoubtful;
  run.mMayHaveInheritedOrder =
    aNow - aTracker.mStartedAt <= aTracker.mLimits.mSwapTimeout;
  const auto id = aTracker.mNextRunId++;
  aTracker.mRuns.emplace(id, std::move(run));
  return id;
}

void
RecordVersionBefore(version_tracker& aTracker,
                    std::uint64_t aRun,
                    const weight_version& aHeld,
                    std::uint64_t aEvents,
                    time_point aNow)
{
  auto& run = aTracker.mRuns.at(aRun);
  // A change that another read revealed since StartRun may have happened before
  // or after this read.
  run.mIsUntraceable |= run.mUnorderedChanges != aTracker.mUnorderedChanges;
  ApplyRead(aTracker, aHeld, aEvents, aNow);
  run.mBefore = aHeld;
  run.mIsReportDoubtful |= aTracker.mIsReportDoubtful;
}

void
DropRun(version_tracker& aTracker, std::uint64_t aRun)
{
  aTracker.mRuns.erase(aRun);
}

version_label
EndRun(version_tracker& aTracker,
       std::uint64_t aRun,
       const weight_version& aAfter,
       const std::vector<version_part>& aReported,
       std::int64_t aTokens,
       time_point aNow)
{
  ExpireOpenOrder(aTracker, aNow);
  const auto run = aTracker.mRuns.at(aRun);
  aTracker.mRuns.erase(aRun);
  if (!run.mBefore || !run.mBefore->IsKnown() || !aAfter.IsKnown()) {
    return UnknownLabel("version_not_read");
  }
  if (run.mIsUntraceable) {
    return UnknownLabel("version_changed_unordered");
  }
  if (run.mMayHaveInheritedOrder) {
    // Each earlier process may have left one order open. After two such orders
    // the versions before and after can be equal although another version was
    // held in between.
    return UnknownLabel("agent_just_started");
  }
  const bool isOpen = run.mOpenTarget.has_value();
  if (!isOpen && run.mChanges.empty()) {
    return *run.mBefore == aAfter
             ? LabelWithoutSwap(aTracker, run, aReported, aTokens)
             : UnknownLabel("version_changed_unordered");
  }
  if (isOpen && !run.mChanges.empty()) {
    return UnknownLabel("swap_unsettled");
  }
  const auto held = VersionsHeldDuring(run);
  if (held.back() != aAfter.mVersion || run.mBefore->mModel != aAfter.mModel ||
      !HasOneModel(run, aAfter)) {
    return UnknownLabel(isOpen ? "swap_unsettled"
                               : "version_changed_unordered");
  }
  if (aReported.empty()) {
    return UnknownLabel("no_account_of_swap");
  }
  if (!aTracker.mIsReportTrusted ||
      (run.mIsReportDoubtful && !run.mChanges.empty()) ||
      !IsReportPlausible(aReported, held, aTokens)) {
    return UnknownLabel("account_not_believed");
  }
  version_label label;
  label.mModel = aAfter.mModel;
  label.mParts = aReported;
  return label;
}

std::string
OpenSwap(version_tracker& aTracker,
         const weight_version& aTarget,
         const weight_version& aHeld,
         std::int64_t aFencing,
         time_point aNow)
{
  ExpireOpenOrder(aTracker, aNow);
  // A holder that was paused until after its lease expired may send its order
  // on resume. Its fencing number is lower than the one that the next holder
  // has already used.
  if (aFencing < aTracker.mHighestFencing) {
    return "old_fencing_number";
  }
  if (aTracker.mOpen && aTracker.mOpen->mTarget != aTarget) {
    // Two open orders could take effect in either order and restore a version
    // unnoticed. With one open order, equal versions before and after a run
    // prove that it didn't change in between.
    return "swap_unsettled";
  }
  aTracker.mHighestFencing = aFencing;
  if (aHeld == aTarget && !aTracker.mOpen) {
    // If the order were sent, a slow server could execute it after the next
    // one.
    return "already_held";
  }
  ++aTracker.mEvents;
  aTracker.mOpen = open_order{ aTarget, aNow, aTracker.mOpen.has_value() };
  for (auto& [id, run] : aTracker.mRuns) {
    // A second unnoticed swap during a run could restore the first version, so
    // that equal reads before and after would prove nothing.
    run.mIsUntraceable |= run.mOpenTarget && *run.mOpenTarget != aTarget;
    run.mOpenTarget = aTarget;
    ++run.mOpenOrders;
  }
  return {};
}

void
CloseSwap(version_tracker& aTracker,
          swap_result aResult,
          const weight_version& aHeld,
          time_point aNow)
{
  const auto events = aTracker.mEvents;
  const bool isConfirmed = aTracker.mOpen && aResult == swap_result::Done &&
                           aHeld == aTracker.mOpen->mTarget;
  if (!isConfirmed) {
    // A failed, unanswered or late order may still take effect, so it stays
    // open until a read returns its version or it expires.
    aTracker.mIsReportDoubtful = true;
    ApplyRead(aTracker, aHeld, events, aNow);
    ++aTracker.mEvents;
    return;
  }
  const bool isRepeated = aTracker.mOpen->mIsRepeated;
  if (!isRepeated) {
    for (auto& [id, run] : aTracker.mRuns) {
      // Only runs without another open order: an earlier one may have taken
      // effect unnoticed.
      if (run.mOpenOrders == 1) {
        run.mOpenTarget.reset();
        run.mOpenOrders = 0;
        run.mChanges.push_back(aHeld);
      }
    }
    aTracker.mOpen.reset();
    aTracker.mIsReportDoubtful = false;
  }
  aTracker.mHeld = aHeld;
  ++aTracker.mEvents;
}

void
ApplyRead(version_tracker& aTracker,
          const weight_version& aHeld,
          std::uint64_t aEvents,
          time_point aNow)
{
  if (!aHeld.IsKnown() || aEvents != aTracker.mEvents) {
    return;
  }
  ExpireOpenOrder(aTracker, aNow);
  const bool isChanged = aTracker.mHeld.IsKnown() && aHeld != aTracker.mHeld;
  const bool isOrdered = aTracker.mOpen && aHeld == aTracker.mOpen->mTarget;
  if (isChanged && !isOrdered) {
    // The server restarted or executed another process's order. Runs in
    // progress can't be labelled, even if the old version is back when they
    // end.
    ++aTracker.mUnorderedChanges;
    aTracker.mIsReportDoubtful = true;
    ++aTracker.mEvents;
    for (auto& [id, run] : aTracker.mRuns) {
      run.mIsUntraceable |= run.mBefore.has_value();
    }
  }
  if (isOrdered && !aTracker.mOpen->mIsRepeated) {
    // A late order has taken effect and can't do so again. Runs in progress
    // keep it as their open target.
    aTracker.mOpen.reset();
  }
  aTracker.mHeld = aHeld;
}

} // namespace lavender::weights
