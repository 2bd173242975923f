#pragma once

#include "Duties/Leases/HeldLease.h"
#include "Libraries/Core/Result.h"
#include "Libraries/Json/Value.h"
#include "Libraries/Platform/PlatformClient.h"

#include <optional>
#include <string>

/** Lease protocol without I/O: when to read and write the lease's object, and
 * when a process may consider itself the holder.
 *
 * Mutual exclusion: a holder counts the duration from before it sent its write,
 * so it stops acting no later than the write's effect plus the duration. A
 * successor takes over only after its own clock has shown the same revision
 * unchanged for longer than that, and its write is conditional on that
 * revision. Clocks of different processes are never compared. */
namespace lavender::leases {

/** Timing of all leases. All processes must use the same values. */
struct lease_settings
{
  milliseconds mDuration{ 9000 };
  /** Longest time in transit: a byte sent before the lease expired has arrived
   * or is lost after this. A successor waits this long after the duration. */
  milliseconds mMaximumTransitTime{ 3000 };
  /** Largest difference between the rates of two processes' clocks: one part in
   * this many. */
  std::int64_t mDriftDivisor = 64;
  /** Delay between a failed call and the next one. */
  milliseconds mRetryInterval{ 300 };
  /** Additional delay of a candidate for each candidate preferred to it. */
  milliseconds mDelayPerRank{ 1500 };
};

/** State of a lease as stored in the Object API under the kind "Lease". */
struct lease_record
{
  std::string mHolder;
  /** Unique for each write. After a lost response, a read compares the nonce to
   * find out whether the write took effect. */
  std::string mNonce;
  std::int64_t mFencing = 0;
  milliseconds mDuration{ 0 };
  bool mIsReleased = false;
};

json::value
ToJson(const lease_record& aRecord);
lease_record
ParseRecord(const json::value& aValue);

/** A write whose outcome is still unknown. */
struct pending_write
{
  lease_record mRecord;
  /** Taken just before the request was sent. */
  time_point mSentAt;
};

/** What one process knows about one lease. */
struct lease_state
{
  std::string mName;
  /** Last observed revision; none before the first response, 0 when the object
   * doesn't exist. */
  std::optional<std::int64_t> mRevision;
  lease_record mRecord;
  /** When a response first contained that revision. */
  time_point mFirstSeenAt;
  /** When a response last contained that revision. */
  time_point mLastSeenAt;
  std::optional<pending_write> mPending;
  std::optional<held_lease> mHeld;
  /** No step is taken before this. */
  time_point mNextStepAt;
};

/** A process that competes for a lease, and how many others are preferred to
 * it. */
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
  /** Write only: the revision that the stored object must have. */
  std::int64_t mExpected = 0;
  /** Write only: the value to store. */
  lease_record mRecord;
};

/** Decides the next step.
 * @param aNonce unused nonce for the case that the step is a write */
lease_step
Decide(const lease_state& aState,
       const candidate& aSelf,
       const lease_settings& aSettings,
       const std::string& aNonce,
       time_point aNow);

/** Records a write that is about to be sent. */
void
BeginWrite(lease_state& aState, const lease_record& aRecord, time_point aNow);

/** Processes the response to the pending write, or its absence. */
void
ApplyWrite(lease_state& aState,
           const platform::write_result& aWritten,
           const candidate& aSelf,
           const lease_settings& aSettings,
           time_point aNow);

/** Processes the response to a read, or its absence. */
void
ApplyRead(lease_state& aState,
          const platform::read_result& aRead,
          const candidate& aSelf,
          const lease_settings& aSettings,
          time_point aNow);

/** Returns the lease while this process may act under it. */
std::optional<held_lease>
HeldAt(const lease_state& aState, time_point aNow);

/** Stops holding the lease. Returns the write that lets a successor acquire the
 * lease without waiting; none when the lease isn't held or a write is pending.
 */
std::optional<lease_step>
Release(lease_state& aState, const std::string& aNonce, time_point aNow);

/** How long a revision must be unchanged before a successor may take over. */
milliseconds
TakeoverWait(const lease_record& aRecord, const lease_settings& aSettings);

/** Interval at which a candidate of that rank reads a lease that another
 * process holds. */
milliseconds
ReadInterval(std::size_t aRank, const lease_settings& aSettings);

} // namespace lavender::leases
