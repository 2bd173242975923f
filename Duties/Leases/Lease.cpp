#include "Duties/Leases/Lease.h"

#include <algorithm>

namespace lavender::leases {
namespace {

using namespace std::chrono_literals;

/** Candidates from this rank on read less often the higher their rank is: with
 * hundreds of entries, frequent reads by all of them would exceed the Object
 * API's rate limit. */
constexpr std::size_t kFrequentReaders = 3;
/** A lease is renewed after its duration divided by this. */
constexpr int kRenewalDivisor = 3;

void
Observe(lease_state& aState,
        std::int64_t aRevision,
        const lease_record& aRecord,
        const candidate& aSelf,
        time_point aNow)
{
  if (aState.mRevision && aRevision != 0 && aRevision < *aState.mRevision) {
    return;
  }
  aState.mLastSeenAt = aNow;
  if (!aState.mRevision || *aState.mRevision != aRevision) {
    aState.mRevision = aRevision;
    aState.mRecord = aRecord;
    aState.mFirstSeenAt = aNow;
  }
  if (aState.mRecord.mHolder != aSelf.mIncarnation ||
      aState.mRecord.mIsReleased) {
    aState.mHeld.reset();
  }
}

void
ApplyPendingWrite(lease_state& aState,
                  std::int64_t aRevision,
                  const lease_settings& aSettings,
                  time_point aNow)
{
  const auto& pending = *aState.mPending;
  aState.mRevision = aRevision;
  aState.mRecord = pending.mRecord;
  aState.mFirstSeenAt = aNow;
  if (pending.mRecord.mIsReleased) {
    aState.mHeld.reset();
  } else {
    aState.mHeld = held_lease{ aState.mName,
                               pending.mRecord.mFencing,
                               pending.mSentAt + pending.mRecord.mDuration };
    aState.mNextStepAt =
      pending.mSentAt + aSettings.mDuration / kRenewalDivisor;
  }
  aState.mPending.reset();
}

milliseconds
TransitWait(const lease_settings& aSettings)
{
  return aSettings.mMaximumTransitTime +
         aSettings.mMaximumTransitTime / aSettings.mDriftDivisor + 1ms;
}

/** When this process may acquire a lease that it doesn't hold. */
time_point
AvailableAt(const lease_state& aState,
            const candidate& aSelf,
            const lease_settings& aSettings)
{
  const auto rank = std::min(aSelf.mRank, kFrequentReaders);
  const auto rankDelay = aSettings.mDelayPerRank * static_cast<int>(rank);
  if (*aState.mRevision == 0 || aState.mRecord.mIsReleased) {
    return aState.mFirstSeenAt + rankDelay;
  }
  return aState.mFirstSeenAt + TakeoverWait(aState.mRecord, aSettings) +
         rankDelay;
}

lease_step
MakeWrite(const lease_state& aState,
          const candidate& aSelf,
          const lease_settings& aSettings,
          const std::string& aNonce,
          std::int64_t aFencing)
{
  lease_step step;
  step.mAction = lease_action::Write;
  step.mExpected = *aState.mRevision;
  step.mRecord = {
    aSelf.mIncarnation, aNonce, aFencing, aSettings.mDuration, false
  };
  return step;
}

} // namespace

json::value
ToJson(const lease_record& aRecord)
{
  json::value encoded;
  encoded.Set("holder", aRecord.mHolder);
  encoded.Set("nonce", aRecord.mNonce);
  encoded.Set("fencing", aRecord.mFencing);
  encoded.Set("duration_ms",
              static_cast<std::int64_t>(aRecord.mDuration.count()));
  encoded.Set("released", aRecord.mIsReleased);
  return encoded;
}

lease_record
ParseRecord(const json::value& aValue)
{
  return { json::StringAt(aValue, "holder", ""),
           json::StringAt(aValue, "nonce", ""),
           json::IntegerAt(aValue, "fencing", 0),
           milliseconds(json::IntegerAt(aValue, "duration_ms", 0)),
           json::BooleanAt(aValue, "released", false) };
}

milliseconds
TakeoverWait(const lease_record& aRecord, const lease_settings& aSettings)
{
  // The holder may run with a longer duration than this process.
  const auto duration = std::max(aRecord.mDuration, aSettings.mDuration);
  const auto wait = duration + aSettings.mMaximumTransitTime;
  return wait + wait / aSettings.mDriftDivisor + 1ms;
}

milliseconds
ReadInterval(std::size_t aRank, const lease_settings& aSettings)
{
  const auto ordinal = static_cast<int>(aRank + 1);
  return aRank >= kFrequentReaders ? aSettings.mDuration * ordinal
                                   : aSettings.mDuration / 6 * ordinal;
}

lease_step
Decide(const lease_state& aState,
       const candidate& aSelf,
       const lease_settings& aSettings,
       const std::string& aNonce,
       time_point aNow)
{
  lease_step step;
  if (aNow < aState.mNextStepAt) {
    return step;
  }
  if (!aState.mRevision || aState.mPending) {
    step.mAction = lease_action::Read;
    return step;
  }
  const auto& record = aState.mRecord;
  if (*aState.mRevision != 0 && !record.mIsReleased &&
      record.mHolder == aSelf.mIncarnation) {
    // No other process has written since, so this process can renew. After an
    // expiry it needs a new fencing number, because work under the old one was
    // aborted.
    const auto held = HeldAt(aState, aNow);
    const bool isSame = held && held->mFencing == record.mFencing;
    if (!held && aState.mHeld &&
        aNow < aState.mHeld->mExpiresAt + TransitWait(aSettings)) {
      // Bytes sent under the old number may still be in transit and must not
      // arrive after bytes sent under the new one.
      return step;
    }
    return MakeWrite(aState,
                     aSelf,
                     aSettings,
                     aNonce,
                     isSame ? record.mFencing : record.mFencing + 1);
  }
  const auto availableAt = AvailableAt(aState, aSelf, aSettings);
  // Writes only when a response received after that time still contained the
  // revision: a candidate that reads rarely would otherwise use a stale
  // revision and cause a conflict each time.
  if (aNow >= availableAt && aState.mLastSeenAt >= availableAt) {
    return MakeWrite(aState, aSelf, aSettings, aNonce, record.mFencing + 1);
  }
  step.mAction = lease_action::Read;
  return step;
}

void
BeginWrite(lease_state& aState, const lease_record& aRecord, time_point aNow)
{
  aState.mPending = pending_write{ aRecord, aNow };
}

void
ApplyWrite(lease_state& aState,
           const platform::write_result& aWritten,
           const candidate& aSelf,
           const lease_settings& aSettings,
           time_point aNow)
{
  if (!aState.mPending) {
    return;
  }
  switch (aWritten.mState) {
    case platform::write_state::Done:
      ApplyPendingWrite(aState, aWritten.mRevision, aSettings, aNow);
      return;
    case platform::write_state::Conflict:
      if (aWritten.mCurrent) {
        const auto current = ParseRecord(aWritten.mCurrent->mValue);
        if (current.mNonce == aState.mPending->mRecord.mNonce) {
          // The write was executed twice and the first execution succeeded.
          ApplyPendingWrite(
            aState, aWritten.mCurrent->mRevision, aSettings, aNow);
          return;
        }
        Observe(aState, aWritten.mCurrent->mRevision, current, aSelf, aNow);
      } else {
        aState.mRevision.reset();
        aState.mHeld.reset();
      }
      aState.mPending.reset();
      aState.mNextStepAt = aNow + aSettings.mRetryInterval;
      return;
    case platform::write_state::Refused:
      aState.mPending.reset();
      aState.mNextStepAt = aNow + aSettings.mRetryInterval;
      return;
    case platform::write_state::Unknown:
      // The write stays pending; the next step reads the object.
      aState.mNextStepAt = aNow;
      return;
  }
}

void
ApplyRead(lease_state& aState,
          const platform::read_result& aRead,
          const candidate& aSelf,
          const lease_settings& aSettings,
          time_point aNow)
{
  if (aRead.mState == platform::read_state::Failed) {
    aState.mNextStepAt = aNow + aSettings.mRetryInterval;
    return;
  }
  const bool isFound = aRead.mState == platform::read_state::Found;
  const auto record =
    isFound ? ParseRecord(aRead.mObject.mValue) : lease_record();
  const auto revision = isFound ? aRead.mObject.mRevision : 0;
  if (aState.mPending && isFound &&
      record.mNonce == aState.mPending->mRecord.mNonce) {
    ApplyPendingWrite(aState, revision, aSettings, aNow);
    return;
  }
  // The pending write may still take effect later. Its condition prevents it
  // from overwriting another process's write, and a later read reveals it.
  aState.mPending.reset();
  Observe(aState, revision, record, aSelf, aNow);
  aState.mNextStepAt = aNow;
  if (record.mHolder != aSelf.mIncarnation || record.mIsReleased) {
    const auto availableAt = AvailableAt(aState, aSelf, aSettings);
    aState.mNextStepAt = aNow + ReadInterval(aSelf.mRank, aSettings);
    if (aSelf.mRank < kFrequentReaders || availableAt <= aNow) {
      aState.mNextStepAt = std::clamp(availableAt, aNow, aState.mNextStepAt);
    }
  }
}

std::optional<held_lease>
HeldAt(const lease_state& aState, time_point aNow)
{
  return aState.mHeld && aNow < aState.mHeld->mExpiresAt ? aState.mHeld
                                                         : std::nullopt;
}

std::optional<lease_step>
Release(lease_state& aState, const std::string& aNonce, time_point aNow)
{
  const auto held = HeldAt(aState, aNow);
  aState.mHeld.reset();
  if (!held || aState.mPending) {
    return std::nullopt;
  }
  lease_step step;
  step.mAction = lease_action::Write;
  step.mExpected = *aState.mRevision;
  step.mRecord = aState.mRecord;
  step.mRecord.mNonce = aNonce;
  step.mRecord.mIsReleased = true;
  return step;
}

} // namespace lavender::leases
