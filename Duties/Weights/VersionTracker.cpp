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

/** Versions that the server held one after the other during a run. */
std::vector<std::int64_t>
HeldDuring(const tracked_run& aRun)
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
IsOneModel(const tracked_run& aRun, const weight_version& aAfter)
{
  return std::all_of(
    aRun.mChanges.begin(), aRun.mChanges.end(), [&](const auto& aChange) {
      return aChange.mModel == aAfter.mModel;
    });
}

/** The account covers each token once and names versions in the order in
 * which the server held them. */
bool
IsClaimPossible(const std::vector<version_part>& aClaim,
                const std::vector<std::int64_t>& aHeld,
                std::int64_t aTokens)
{
  std::int64_t tokens = 0;
  std::vector<std::int64_t> named;
  for (const auto& part : aClaim) {
    if (part.mTokens <= 0) {
      return false;
    }
    tokens += part.mTokens;
    named.push_back(part.mVersion);
  }
  return !named.empty() && tokens == aTokens &&
         std::search(aHeld.begin(), aHeld.end(), named.begin(), named.end()) !=
           aHeld.end();
}

version_label
Unknown(std::string aReason)
{
  version_label label;
  label.mReason = std::move(aReason);
  return label;
}

version_label
LabelUndisturbed(version_tracker& aTracker,
                 const tracked_run& aRun,
                 const std::vector<version_part>& aClaim,
                 std::int64_t aTokens)
{
  version_label label;
  label.mModel = aRun.mBefore->mModel;
  label.mParts = { { aRun.mBefore->mVersion, aTokens } };
  if (!aClaim.empty() && aClaim != label.mParts) {
    // No swap could have happened, so the server's account is wrong here and
    // can't be relied on anywhere.
    label.mIsClaimWrong = true;
    aTracker.mIsClaimTrusted = false;
  } else if (!aClaim.empty() && aRun.mIsAccountDoubtful) {
    // It named the version held and not the one ordered.
    aTracker.mIsAccountDoubtful = false;
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
  run.mIsAccountDoubtful = aTracker.mIsAccountDoubtful;
  run.mHasUnknownOrder =
    aNow - aTracker.mStartedAt <= aTracker.mLimits.mSwapTimeout;
  const auto id = aTracker.mNextRun++;
  aTracker.mRuns.emplace(id, std::move(run));
  return id;
}

void
TakeBefore(version_tracker& aTracker,
           std::uint64_t aRun,
           const weight_version& aHeld,
           std::uint64_t aEvents,
           time_point aNow)
{
  auto& run = aTracker.mRuns.at(aRun);
  // A change that another read showed since the window was opened may lie on
  // either side of this read.
  run.mIsBroken |= run.mUnorderedChanges != aTracker.mUnorderedChanges;
  TakeRead(aTracker, aHeld, aEvents, aNow);
  run.mBefore = aHeld;
  run.mIsAccountDoubtful |= aTracker.mIsAccountDoubtful;
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
       const std::vector<version_part>& aClaim,
       std::int64_t aTokens,
       time_point aNow)
{
  ExpireOpenOrder(aTracker, aNow);
  const auto run = aTracker.mRuns.at(aRun);
  aTracker.mRuns.erase(aRun);
  if (!run.mBefore || !run.mBefore->IsKnown() || !aAfter.IsKnown()) {
    return Unknown("version_not_read");
  }
  if (run.mIsBroken) {
    return Unknown("version_changed_unordered");
  }
  if (run.mHasUnknownOrder) {
    // Each predecessor may have left one order; with two of them before and
    // after can be equal though another version was held in between.
    return Unknown("agent_just_started");
  }
  const bool isOpen = run.mOpenTarget.has_value();
  if (!isOpen && run.mChanges.empty()) {
    return *run.mBefore == aAfter
             ? LabelUndisturbed(aTracker, run, aClaim, aTokens)
             : Unknown("version_changed_unordered");
  }
  if (isOpen && !run.mChanges.empty()) {
    return Unknown("swap_unsettled");
  }
  const auto held = HeldDuring(run);
  if (held.back() != aAfter.mVersion || run.mBefore->mModel != aAfter.mModel ||
      !IsOneModel(run, aAfter)) {
    return Unknown(isOpen ? "swap_unsettled" : "version_changed_unordered");
  }
  if (aClaim.empty()) {
    return Unknown("no_account_of_swap");
  }
  if (!aTracker.mIsClaimTrusted ||
      (run.mIsAccountDoubtful && !run.mChanges.empty()) ||
      !IsClaimPossible(aClaim, held, aTokens)) {
    return Unknown("account_not_believed");
  }
  version_label label;
  label.mModel = aAfter.mModel;
  label.mParts = aClaim;
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
  // A holder that was paused past its lease sends its order on resume; its
  // number is lower than the one its successor has already used here.
  if (aFencing < aTracker.mHighestFencing) {
    return "old_fencing_number";
  }
  if (aTracker.mOpen && aTracker.mOpen->mTarget != aTarget) {
    // Two open orders could take effect in either order and bring a version
    // back unseen. One at a time keeps "before equals after" a proof.
    return "swap_unsettled";
  }
  aTracker.mHighestFencing = aFencing;
  if (aHeld == aTarget && !aTracker.mOpen) {
    // Sent all the same, a late server could carry it out after the next.
    return "already_held";
  }
  ++aTracker.mEvents;
  aTracker.mOpen = open_order{ aTarget, aNow, aTracker.mOpen.has_value() };
  for (auto& [id, run] : aTracker.mRuns) {
    // A second unseen swap within one run could bring the first version back:
    // then the same read before and after proves nothing.
    run.mIsBroken |= run.mOpenTarget && *run.mOpenTarget != aTarget;
    run.mOpenTarget = aTarget;
    ++run.mOpenOrders;
  }
  return {};
}

void
CloseSwap(version_tracker& aTracker,
          swap_answer aAnswer,
          const weight_version& aHeld,
          time_point aNow)
{
  const auto events = aTracker.mEvents;
  const bool isClean = aTracker.mOpen && aAnswer == swap_answer::Done &&
                       aHeld == aTracker.mOpen->mTarget;
  if (!isClean) {
    // Failed, unanswered or late: it may still take effect, so it stays open
    // until a read shows its version or it has expired.
    aTracker.mIsAccountDoubtful = true;
    TakeRead(aTracker, aHeld, events, aNow);
    ++aTracker.mEvents;
    return;
  }
  const bool isRepeated = aTracker.mOpen->mIsRepeated;
  if (!isRepeated) {
    for (auto& [id, run] : aTracker.mRuns) {
      // Only a run that saw no other open order: an earlier one may have
      // taken effect unseen.
      if (run.mOpenOrders == 1) {
        run.mOpenTarget.reset();
        run.mOpenOrders = 0;
        run.mChanges.push_back(aHeld);
      }
    }
    aTracker.mOpen.reset();
    aTracker.mIsAccountDoubtful = false;
  }
  aTracker.mHeld = aHeld;
  ++aTracker.mEvents;
}

void
TakeRead(version_tracker& aTracker,
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
    // A restart, or another process's order: what ran meanwhile can't be
    // told, also when the old version is back at the run's end.
    ++aTracker.mUnorderedChanges;
    aTracker.mIsAccountDoubtful = true;
    ++aTracker.mEvents;
    for (auto& [id, run] : aTracker.mRuns) {
      run.mIsBroken |= run.mBefore.has_value();
    }
  }
  if (isOrdered && !aTracker.mOpen->mIsRepeated) {
    // A late order has taken effect and can't do so again. Runs under way
    // keep it in their windows.
    aTracker.mOpen.reset();
  }
  aTracker.mHeld = aHeld;
}

} // namespace lavender::weights
