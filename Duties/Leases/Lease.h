#pragma once

#include "Duties/Leases/HeldLease.h"
#include "Libraries/Core/Result.h"
#include "Libraries/Json/Value.h"
#include "Libraries/Platform/PlatformClient.h"

#include <optional>
#include <string>

/** The decisions of a lease, without I/O: when to read, write and believe.
 *
 * Why at most one process believes: a holder counts its time from before its
 * write left, so its belief ends no later than the write's effect plus the
 * duration. A successor has seen that same revision stand unchanged for longer
 * than this by its own clock, and its own write is conditional on it. No clock
 * of one process is compared with another's. */
namespace lavender::leases {

/** Times of all leases; the same in all processes. */
struct lease_settings
{
  milliseconds mDuration{ 9000 };
  /** Within this a byte sent before a lease's end has arrived or is lost. A
   * successor waits it out on top of the duration. */
  milliseconds mMaximumTransitTime{ 3000 };
  /** How far the rates of two processes' clocks may differ: one part in this
   * many. */
  std::int64_t mDriftPart = 64;
  /** How long after a failed call the next one is made. */
  milliseconds mRetryEvery{ 300 };
  /** How much longer each less preferred candidate waits. */
  milliseconds mDelayPerRank{ 1500 };
};

/** What the Object API holds of a lease, kind "Lease". */
struct lease_record
{
  std::string mHolder;
  /** New with each write, so that a lost answer can be settled. */
  std::string mNonce;
  std::int64_t mFencing = 0;
  milliseconds mDuration{ 0 };
  bool mIsReleased = false;
};

json::value
ToJson(const lease_record& aRecord);
lease_record
ParseRecord(const json::value& aValue);

/** A write whose outcome isn't known yet. */
struct pending_write
{
  lease_record mRecord;
  /** Before the request left. */
  time_point mSentAt;
};

/** What one process knows of one lease. */
struct lease_state
{
  std::string mName;
  /** Revision last seen; none before the first answer, 0 for absent. */
  std::optional<std::int64_t> mRevision;
  lease_record mRecord;
  /** When an answer first showed that revision. */
  time_point mSeenAt;
  /** When an answer last showed it. */
  time_point mCheckedAt;
  std::optional<pending_write> mPending;
  std::optional<held_lease> mHeld;
  time_point mNextAt;
};

/** The process that asks, and how many others are preferred to it. */
struct candidate
{
  std::string mIncarnation;
  std::size_t mRank = 0;
};

enum class lease_action
{
  Wait,
  Read,
  Write
};

struct lease_step
{
  lease_action mAction = lease_action::Wait;
  /** For Write: the condition and the value. */
  std::int64_t mExpected = 0;
  lease_record mRecord;
};

/** Next step at that time.
 * @param aNonce fresh nonce, used when the step is a write */
lease_step
Decide(const lease_state& aState,
       const candidate& aSelf,
       const lease_settings& aSettings,
       const std::string& aNonce,
       time_point aNow);

/** Notes a write that is about to leave. */
void
BeginWrite(lease_state& aState, const lease_record& aRecord, time_point aNow);

/** Takes the answer to the pending write, or its loss. */
void
TakeWrite(lease_state& aState,
          const platform::write_result& aWritten,
          const candidate& aSelf,
          const lease_settings& aSettings,
          time_point aNow);

/** Takes the answer to a read, or its loss. */
void
TakeRead(lease_state& aState,
         const platform::read_result& aRead,
         const candidate& aSelf,
         const lease_settings& aSettings,
         time_point aNow);

/** The lease, while this process may act under it. */
std::optional<held_lease>
HeldAt(const lease_state& aState, time_point aNow);

/** Ends the belief and gives the write that lets a successor in at once; none
 * when the lease isn't held. */
std::optional<lease_step>
Release(lease_state& aState, const std::string& aNonce, time_point aNow);

/** How long a successor sees one revision unchanged before it takes over. */
milliseconds
TakeoverWait(const lease_record& aRecord, const lease_settings& aSettings);

/** How often a candidate of that rank reads a lease that another holds. */
milliseconds
ReadEvery(std::size_t aRank, const lease_settings& aSettings);

} // namespace lavender::leases
