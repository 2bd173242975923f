#pragma once

#include "Libraries/Core/Clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/** Tracks which weight version a backend server holds and which versions
 * produced a sample. */
namespace lavender::weights {

/** One version of one model's weights; version 0 means unknown. */
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

/** Number of a response's tokens that one version produced. */
struct version_part
{
  std::int64_t mVersion = 0;
  std::int64_t mTokens = 0;

  bool operator==(const version_part& aOther) const
  {
    return mVersion == aOther.mVersion && mTokens == aOther.mTokens;
  }
};

/** Result of a swap order at the server. */
enum class swap_result
{
  Done,
  Failed,
  /** The order may have been executed or may be executed later. */
  NoResponse
};

/** A run in progress: everything seen between the version read before it and
 * the one after it. */
struct tracked_run
{
  std::optional<weight_version> mBefore;
  /** Value of version_tracker::mUnorderedChanges at StartRun. */
  std::uint64_t mUnorderedChanges = 0;
  /** Swaps during the run that the server acknowledged and a read confirmed at
   * once, in order. */
  std::vector<weight_version> mChanges;
  /** Target of a swap that may take effect unnoticed during the run. */
  std::optional<weight_version> mOpenTarget;
  /** Number of orders that were open at some time during the run. */
  int mOpenOrders = 0;
  /** An earlier process of this agent may have left a swap open. */
  bool mMayHaveInheritedOrder = false;
  /** At its start the server had been ordered to load a version that it doesn't
   * hold. A server that reports the ordered version would then be wrong. */
  bool mIsReportDoubtful = false;
  /** The version changed without an order of this process, or may have changed
   * more than once, so that the reads don't reveal what produced the tokens. */
  bool mIsUntraceable = false;
};

/** A swap order that may still take effect. */
struct open_order
{
  weight_version mTarget;
  time_point mOrderedAt;
  /** It was sent more than once and may take effect more than once. */
  bool mIsRepeated = false;
};

struct tracker_limits
{
  /** An order that hasn't taken effect after this counts as dropped. */
  milliseconds mSwapTimeout{ 10000 };
};

/** What an agent process knows about its server's weights. */
struct version_tracker
{
  tracker_limits mLimits;
  time_point mStartedAt;
  weight_version mHeld;
  std::optional<open_order> mOpen;
  std::int64_t mHighestFencing = 0;
  /** Counts events; a read that began before the latest event is stale. */
  std::uint64_t mEvents = 0;
  /** Counts observed changes that no order of this process explains. */
  std::uint64_t mUnorderedChanges = 0;
  std::uint64_t mNextRunId = 1;
  std::map<std::uint64_t, tracked_run> mRuns;
  /** The last order didn't take effect at once, or an order of an earlier
   * process may not have, and the reads have confirmed no reported version
   * since. */
  bool mIsReportDoubtful = true;
  /** False once the reads have contradicted the versions that the server
   * reported for a run. */
  bool mIsReportTrusted = true;
};

/** The versions that produced a response; unknown when there are no parts. */
struct version_label
{
  std::string mModel;
  std::vector<version_part> mParts;
  /** Stable reason why the versions are unknown; empty when they are known. */
  std::string mReason;
  /** The reads before and after the run contradict the server's report. */
  bool mIsReportWrong = false;
};

/** Starts to track a run. Must precede the version read before the run.
 * @return id of the run */
std::uint64_t
StartRun(version_tracker& aTracker, time_point aNow);

/** Records the version read between StartRun and the run itself.
 * @param aEvents value of mEvents when the read began */
void
RecordVersionBefore(version_tracker& aTracker,
                    std::uint64_t aRun,
                    const weight_version& aHeld,
                    std::uint64_t aEvents,
                    time_point aNow);

/** Stops tracking a run that has no response to label. */
void
DropRun(version_tracker& aTracker, std::uint64_t aRun);

/** Stops tracking a run and determines the versions that produced its response.
 *
 * The versions that the server reports (aReported) aren't sufficient: a server
 * that swaps late or fails a swap may report the version that it was ordered to
 * load. Only the versions read before and after the run are certain. The report
 * is used for the time between them, and only if it matches every swap that a
 * read confirmed. */
version_label
EndRun(version_tracker& aTracker,
       std::uint64_t aRun,
       const weight_version& aAfter,
       const std::vector<version_part>& aReported,
       std::int64_t aTokens,
       time_point aNow);

/** Accepts an order as the open one, or refuses it.
 * @param aHeld version just read from the server
 * @return stable reason why the order must not be sent; empty when it may be */
std::string
OpenSwap(version_tracker& aTracker,
         const weight_version& aTarget,
         const weight_version& aHeld,
         std::int64_t aFencing,
         time_point aNow);

/** Records the server's response to the open order and the version read after
 * it. */
void
CloseSwap(version_tracker& aTracker,
          swap_result aResult,
          const weight_version& aHeld,
          time_point aNow);

/** Records a version read at any other time.
 * @param aEvents value of mEvents when the read began */
void
ApplyRead(version_tracker& aTracker,
          const weight_version& aHeld,
          std::uint64_t aEvents,
          time_point aNow);

} // namespace lavender::weights
