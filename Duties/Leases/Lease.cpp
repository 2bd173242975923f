#include "Duties/Leases/Lease.h"

#include <algorithm>

namespace lavender::leases {
namespace {

using namespace std::chrono_literals;

/** Candidates beyond these read the more rarely the further they are: with
 * hundreds of entries the reads of all would exceed the Object API's rate. */
constexpr std::size_t kCloseCandidates = 3;
/** A lease is renewed after this part of its duration. */
constexpr int kRenewPart = 3;

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
  aState.mCheckedAt = aNow;
  if (!aState.mRevision || *aState.mRevision != aRevision) {
    aState.mRevision = aRevision;
    aState.mRecord = aRecord;
    aState.mSeenAt = aNow;
  }
  if (aState.mRecord.mHolder != aSelf.mIncarnation ||
      aState.mRecord.mIsReleased) {
    aState.mHeld.reset();
  }
}

void
Adopt(lease_state& aState,
      std::int64_t aRevision,
      const lease_settings& aSettings,
      time_point aNow)
{
  const auto& pending = *aState.mPending;
  aState.mRevision = aRevision;
  aState.mRecord = pending.mRecord;
  aState.mSeenAt = aNow;
  if (pending.mRecord.mIsReleased) {
    aState.mHeld.reset();
  } else {
    aState.mHeld = held_lease{ aState.mName,
                               pending.mRecord.mFencing,
                               pending.mSentAt + pending.mRecord.mDuration };
    aState.mNextAt = pending.mSentAt + aSettings.mDuration / kRenewPart;
  }
  aState.mPending.reset();
}

milliseconds
LateBytesWait(const lease_settings& aSettings)
{
  return aSettings.mMaximumTransitTime +
         aSettings.mMaximumTransitTime / aSettings.mDriftPart + 1ms;
}

/** When a lease that another process holds, or nobody, may be taken. */
time_point
FreeAt(const lease_state& aState,
       const candidate& aSelf,
       const lease_settings& aSettings)
{
  const auto rank = std::min(aSelf.mRank, kCloseCandidates);
  const auto handicap = aSettings.mDelayPerRank * static_cast<int>(rank);
  if (*aState.mRevision == 0 || aState.mRecord.mIsReleased) {
    return aState.mSeenAt + handicap;
  }
  return aState.mSeenAt + TakeoverWait(aState.mRecord, aSettings) + handicap;
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
  json::value described;
  described.Set("holder", aRecord.mHolder);
  described.Set("nonce", aRecord.mNonce);
  described.Set("fencing", aRecord.mFencing);
  described.Set("duration_ms",
                static_cast<std::int64_t>(aRecord.mDuration.count()));
  described.Set("released", aRecord.mIsReleased);
  return described;
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
  // The holder's own duration counts: it may run with other settings.
  const auto duration = std::max(aRecord.mDuration, aSettings.mDuration);
  const auto wait = duration + aSettings.mMaximumTransitTime;
  return wait + wait / aSettings.mDriftPart + 1ms;
}

milliseconds
ReadEvery(std::size_t aRank, const lease_settings& aSettings)
{
  const auto ordinal = static_cast<int>(aRank + 1);
  return aRank >= kCloseCandidates ? aSettings.mDuration * ordinal
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
  if (aNow < aState.mNextAt) {
    return step;
  }
  if (!aState.mRevision || aState.mPending) {
    step.mAction = lease_action::Read;
    return step;
  }
  const auto& record = aState.mRecord;
  if (*aState.mRevision != 0 && !record.mIsReleased &&
      record.mHolder == aSelf.mIncarnation) {
    // Nobody else wrote since, so the lease can go on; but after a lapse as a
    // new one, since work under the old number was broken off.
    const auto held = HeldAt(aState, aNow);
    const bool isSame = held && held->mFencing == record.mFencing;
    if (!held && aState.mHeld &&
        aNow < aState.mHeld->mExpiresAt + LateBytesWait(aSettings)) {
      // Own bytes sent just before the lapse may still arrive, and must not do
      // so after those sent under the new number.
      return step;
    }
    return MakeWrite(aState,
                     aSelf,
                     aSettings,
                     aNonce,
                     isSame ? record.mFencing : record.mFencing + 1);
  }
  const auto freeAt = FreeAt(aState, aSelf, aSettings);
  // Only what an answer still showed after that moment is worth a write: a
  // candidate that reads rarely would otherwise write in vain each time.
  if (aNow >= freeAt && aState.mCheckedAt >= freeAt) {
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
TakeWrite(lease_state& aState,
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
      Adopt(aState, aWritten.mRevision, aSettings, aNow);
      return;
    case platform::write_state::Conflict:
      if (aWritten.mCurrent) {
        const auto current = ParseRecord(aWritten.mCurrent->mValue);
        if (current.mNonce == aState.mPending->mRecord.mNonce) {
          // The write was carried out twice, and the first one counted.
          Adopt(aState, aWritten.mCurrent->mRevision, aSettings, aNow);
          return;
        }
        Observe(aState, aWritten.mCurrent->mRevision, current, aSelf, aNow);
      } else {
        aState.mRevision.reset();
        aState.mHeld.reset();
      }
      aState.mPending.reset();
      aState.mNextAt = aNow + aSettings.mRetryEvery;
      return;
    case platform::write_state::Refused:
      aState.mPending.reset();
      aState.mNextAt = aNow + aSettings.mRetryEvery;
      return;
    case platform::write_state::Unknown:
      // Stays pending: the next step reads back.
      aState.mNextAt = aNow;
      return;
  }
}

void
TakeRead(lease_state& aState,
         const platform::read_result& aRead,
         const candidate& aSelf,
         const lease_settings& aSettings,
         time_point aNow)
{
  if (aRead.mState == platform::read_state::Failed) {
    aState.mNextAt = aNow + aSettings.mRetryEvery;
    return;
  }
  const bool isFound = aRead.mState == platform::read_state::Found;
  const auto record =
    isFound ? ParseRecord(aRead.mObject.mValue) : lease_record();
  const auto revision = isFound ? aRead.mObject.mRevision : 0;
  if (aState.mPending && isFound &&
      record.mNonce == aState.mPending->mRecord.mNonce) {
    Adopt(aState, revision, aSettings, aNow);
    return;
  }
  // A write that didn't take effect yet may still do so; its condition keeps
  // it from undoing anybody else's, and a later answer shows it.
  aState.mPending.reset();
  Observe(aState, revision, record, aSelf, aNow);
  aState.mNextAt = aNow;
  if (record.mHolder != aSelf.mIncarnation || record.mIsReleased) {
    const auto freeAt = FreeAt(aState, aSelf, aSettings);
    aState.mNextAt = aNow + ReadEvery(aSelf.mRank, aSettings);
    if (aSelf.mRank < kCloseCandidates || freeAt <= aNow) {
      aState.mNextAt = std::clamp(freeAt, aNow, aState.mNextAt);
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
