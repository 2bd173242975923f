#pragma once

#include "Libraries/Core/Clock.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/** Decides whether this entry's copy of the configuration is recent enough to
 * accept customer keys. */
namespace lavender::keys {

/** How recent this entry's own copy of the configuration is. */
struct local_freshness
{
  /** Every change up to this revision is known; 0 before the first state. */
  std::int64_t mKnownRevision = 0;
  /** Last time at which the store confirmed this revision as its newest;
   * none when it never did. */
  std::optional<time_point> mVerifiedAt;
};

/** What other entries and agents report about the configuration. */
struct remote_freshness
{
  /** Number of processes on the last instance list (none before the first
   * list), and how many of them were polled since the start. */
  std::optional<std::size_t> mKnown;
  std::size_t mPolled = 0;
  /** For each process that answered recently, since when it has done so without
   * a gap. */
  std::vector<time_point> mReachableSince;
  /** Revision of the latest configuration change that any of them knows. */
  std::int64_t mHighestChangedRevision = 0;
  /** Latest time at which any entry's copy was verified as the newest. */
  std::optional<time_point> mLatestVerifiedAt;
};

/** Bounds on how long a withdrawn key stays usable: at most
 * mMaximumVerificationAge at an entry that is cut off from the store, and at
 * most mCatchUpTime at an entry that can reach a process which knows of the
 * withdrawal. */
struct freshness_limits
{
  /** Maximum age of the last verification. Must exceed the longest interval
   * between two verifications in normal operation, which is a watch's wait plus
   * its timeout. */
  milliseconds mMaximumVerificationAge{ 6000 };
  /** How much later another entry's verification must be than this entry's to
   * show that the store still answers other entries. Must exceed the difference
   * between the last verifications of two entries that lose the store at the
   * same time: otherwise each would conclude that the store still answers the
   * other, and refuse keys. */
  milliseconds mMinimumLead{ 3000 };
  /** Time allowed for fetching a change that another process knows, for this
   * entry's watch to resume after an outage that ended slightly earlier for
   * other entries, and for the other processes to tell of a change after a
   * pause of this one. */
  milliseconds mCatchUpTime{ 2000 };
};

/** State kept between two evaluations. */
struct freshness_state
{
  std::optional<time_point> mBehindSince;
  std::optional<time_point> mCutOffSince;
  /** None while the entry is joining. */
  std::optional<time_point> mJoinedAt;
};

enum class freshness
{
  /** Verified recently: keys are accepted. */
  Current,
  /** The store answers no entry, so no key can be withdrawn: keys are
   * accepted. */
  PlatformDown,
  /** Just started: other processes may know later changes. */
  Joining,
  /** The store answers other entries but not this one. */
  CutOff,
  /** Too few processes answer to distinguish a network partition from an outage
   * of the store. */
  Isolated,
  /** Another process knows a later change, and either the change couldn't be
   * fetched within mCatchUpTime or this entry's last verification is old. */
  Behind
};

/** Evaluates the freshness of the configuration at aNow. A refusal ends without
 * intervention as soon as its cause is gone. */
freshness
EvaluateFreshness(freshness_state& aState,
                  const local_freshness& aLocal,
                  const remote_freshness& aRemote,
                  const freshness_limits& aLimits,
                  time_point aNow);

/** True when keys may be accepted. */
bool
IsFreshEnough(freshness aFreshness);

/** Name used in logs and metrics. */
const char*
ToString(freshness aFreshness);

} // namespace lavender::keys
