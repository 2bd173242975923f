#pragma once

#include "Libraries/Core/Clock.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

/** Whether the configuration held is fresh enough to accept keys by. */
namespace lavender::keys {

/** What this entry knows of its own configuration. */
struct local_freshness
{
  /** Every change up to this revision is known; 0 for no state at all. */
  std::int64_t mKnownRevision = 0;
  /** A time at which that was the newest; none when it never was proven. */
  std::optional<time_point> mVerifiedAt;
};

/** What other processes, peers and agents alike, tell of the configuration. */
struct remote_freshness
{
  /** Processes by the last instance list, none before the first list; how
   * many of them were asked since the start, and how many answered lately. */
  std::optional<std::size_t> mKnown;
  std::size_t mPolled = 0;
  std::size_t mReachable = 0;
  /** Revision of the last change that any of them has heard of. */
  std::int64_t mHighestChangedRevision = 0;
  /** Latest proof that any entry had of being up to date. */
  std::optional<time_point> mLatestVerifiedAt;
};

/** A withdrawn key works at most mOwnProof longer at an entry that is cut
 * off, and mCatchUp longer where somebody reachable knows of the withdrawal.
 */
struct freshness_limits
{
  /** Above the longest time between two proofs in health, a watch's wait and
   * its timeout. */
  milliseconds mOwnProof{ 6000 };
  /** By how much another entry's proof must be later than the own one to show
   * that the store answers others. Two entries that lose the store together
   * have proofs that differ by less, or each would take the other's last proof
   * for a living one and refuse. */
  milliseconds mMargin{ 3000 };
  /** Time to fetch a change that somebody else knows, and for the own watch to
   * come back after an outage that ended for others a moment earlier. */
  milliseconds mCatchUp{ 2000 };
};

/** Remembered between two judgements. */
struct freshness_state
{
  std::optional<time_point> mBehindSince;
  std::optional<time_point> mCutOffSince;
  bool mHasJoined = false;
};

enum class freshness
{
  /** Proven lately: accept keys. */
  Current,
  /** The store answers nobody, so that nothing can be withdrawn: go on. */
  PlatformDown,
  /** Just started: not yet known whether somebody knows fresher. */
  Joining,
  /** Others get answers from the store, this entry doesn't. */
  CutOff,
  /** Too few others can be heard to tell a cut from an outage. */
  Isolated,
  /** Somebody knows a later change, and it couldn't be fetched in time. */
  Behind
};

/** Judges by what is known now. Every refusal ends by itself as soon as its
 * cause does. */
freshness
Judge(freshness_state& aState,
      const local_freshness& aOwn,
      const remote_freshness& aWitnesses,
      const freshness_limits& aLimits,
      time_point aNow);

/** True when keys may be accepted. */
bool
IsFreshEnough(freshness aFreshness);

/** Word for logs and metrics. */
const char*
ToString(freshness aFreshness);

} // namespace lavender::keys
