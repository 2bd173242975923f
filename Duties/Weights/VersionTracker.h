#pragma once

#include "Libraries/Core/Clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/** Which weights a backend server holds, and which of them produced what. */
namespace lavender::weights {

/** One version of one model's weights; version 0 means "not known". */
struct weight_version
{
  std::string mModel;
  std::int64_t mVersion = 0;

  bool IsKnown() const { return mVersion != 0; }
  bool operator==(const weight_version& aOther) const
  {
    return mModel == aOther.mModel && mVersion == aOther.mVersion;
  }
  bool operator!=(const weight_version& aOther) const
  {
    return !(*this == aOther);
  }
};

/** Tokens of an answer that one version produced. */
struct version_part
{
  std::int64_t mVersion = 0;
  std::int64_t mTokens = 0;

  bool operator==(const version_part& aOther) const
  {
    return mVersion == aOther.mVersion && mTokens == aOther.mTokens;
  }
};

/** How the server answered a swap order. */
enum class swap_answer
{
  Done,
  Failed,
  /** It may have been carried out, or may be later. */
  NoAnswer
};

/** A run between the read before it and the read after it. */
struct tracked_run
{
  std::optional<weight_version> mBefore;
  /** The tracker's count when the run's window was opened. */
  std::uint64_t mUnorderedChanges = 0;
  /** Swaps that were answered and read back at once, in order. */
  std::vector<weight_version> mChanges;
  /** Target of a swap that could take effect unseen during the run. */
  std::optional<weight_version> mOpenTarget;
  /** Orders that were open during the run, one after the other. */
  int mOpenOrders = 0;
  /** A predecessor of this process may have left a swap open. */
  bool mHasUnknownOrder = false;
  /** At its start the server had been ordered to a version that it doesn't
   * hold; an account that names ordered versions would be wrong. */
  bool mIsAccountDoubtful = false;
  /** The server changed its version without an order of this process. */
  bool mIsBroken = false;
};

/** A swap order that may still take effect. */
struct open_order
{
  weight_version mTarget;
  time_point mOrderedAt;
  /** Sent more than once: it may take effect more than once. */
  bool mIsRepeated = false;
};

struct tracker_limits
{
  /** An order that isn't carried out after this long counts as dropped. */
  milliseconds mSwapTimeout{ 10000 };
};

/** What one agent process knows of its server's weights. */
struct version_tracker
{
  tracker_limits mLimits;
  time_point mStartedAt;
  weight_version mHeld;
  std::optional<open_order> mOpen;
  std::int64_t mHighestFencing = 0;
  /** Grows with each event; a read that began before an event is stale. */
  std::uint64_t mEvents = 0;
  /** Changes seen that no order of this process explains. */
  std::uint64_t mUnorderedChanges = 0;
  std::uint64_t mNextRun = 1;
  std::map<std::uint64_t, tracked_run> mRuns;
  /** The last order wasn't carried out at once, or a predecessor's may not
   * have been, and no account has been proved right since. */
  bool mIsAccountDoubtful = true;
  /** False once the server's own account of a run was proved wrong. */
  bool mIsClaimTrusted = true;
};

/** The versions that produced an answer; without parts they aren't known. */
struct version_label
{
  std::string mModel;
  std::vector<version_part> mParts;
  /** Stable reason why they aren't known; empty when they are. */
  std::string mReason;
  /** The server's own account was proved wrong by the two reads. */
  bool mIsClaimWrong = false;
};

/** Opens a run's window, before its first read. */
std::uint64_t
StartRun(version_tracker& aTracker, time_point aNow);

/** Takes the read made between StartRun and the run itself.
 * @param aEvents value of mEvents when the read began */
void
TakeBefore(version_tracker& aTracker,
           std::uint64_t aRun,
           const weight_version& aHeld,
           std::uint64_t aEvents,
           time_point aNow);

/** Closes a run that has no answer to label. */
void
DropRun(version_tracker& aTracker, std::uint64_t aRun);

/** Closes a run and names the versions that produced its answer.
 *
 * The server's own account (aClaim) is never enough: a server that swaps late
 * or fails a swap may name the version that it was ordered to hold. Proved
 * are only the versions read before and after. The account counts for what
 * lies between them, and only where it fits each swap that was read back. */
version_label
EndRun(version_tracker& aTracker,
       std::uint64_t aRun,
       const weight_version& aAfter,
       const std::vector<version_part>& aClaim,
       std::int64_t aTokens,
       time_point aNow);

/** Refuses an order, or opens it.
 * @param aHeld what the server was just read to hold
 * @return stable reason why it isn't sent; empty when it may be */
std::string
OpenSwap(version_tracker& aTracker,
         const weight_version& aTarget,
         const weight_version& aHeld,
         std::int64_t aFencing,
         time_point aNow);

/** Takes the server's answer to the open order and the read that follows. */
void
CloseSwap(version_tracker& aTracker,
          swap_answer aAnswer,
          const weight_version& aHeld,
          time_point aNow);

/** Takes a read made at any other time.
 * @param aEvents value of mEvents when the read began */
void
TakeRead(version_tracker& aTracker,
         const weight_version& aHeld,
         std::uint64_t aEvents,
         time_point aNow);

} // namespace lavender::weights
