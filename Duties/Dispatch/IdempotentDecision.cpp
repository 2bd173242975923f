#include "Duties/Dispatch/IdempotentDecision.h"

namespace lavender::dispatch {
namespace {

using platform::read_state;
using platform::write_state;

constexpr int kMaximumWrites = 6;
constexpr const char* kNoServer = "no_server";

/** Decides on the record that the platform returned: it is either this
 * request's own, if the response to its write was lost, or another request's.
 */
record_step
ApplyRecord(idempotent_state& aState, const platform::stored_object& aObject)
{
  const auto record = ReadCallRecord(aObject.mValue);
  if (!record) {
    return Stop(aState, ran::OutcomeUnknown, "call_record_unreadable");
  }
  if (record->mTicket.mId == aState.mOwnRecord.mTicket.mId) {
    aState.mExpectedRevision = aObject.mRevision;
    return record_step::RunOwn;
  }
  if (record->mFingerprint != aState.mFingerprint) {
    return Stop(aState, ran::NotRun, "idempotency_key_reused");
  }
  aState.mExistingRecord = *record;
  aState.mExistingRevision = aObject.mRevision;
  return record_step::FollowExisting;
}

} // namespace

record_step
Begin(idempotent_state& aState, const std::string& aFingerprint)
{
  aState.mFingerprint = aFingerprint;
  aState.mProgress.mIsRepeatable = false;
  return record_step::WriteNew;
}

record_step
ApplyNoServer(idempotent_state& aState)
{
  return aState.mProgress.mAttempts == 0
           ? record_step::ReadBack
           : Stop(aState, ran::OutcomeUnknown, kNoServer);
}

record_step
ApplyWrite(idempotent_state& aState, const platform::write_result& aWritten)
{
  ++aState.mWrites;
  if (aWritten.mState == write_state::Done) {
    aState.mExpectedRevision = aWritten.mRevision;
    return record_step::RunOwn;
  }
  if (aWritten.mState == write_state::Conflict && aWritten.mCurrent) {
    return ApplyRecord(aState, *aWritten.mCurrent);
  }
  if (aWritten.mState == write_state::Conflict) {
    // The record to be replaced was removed in the meantime, because it
    // expired.
    return Stop(aState, ran::OutcomeUnknown, "call_record_removed");
  }
  if (aWritten.mState == write_state::Unknown) {
    return record_step::ReadBack;
  }
  return StopWithoutRecord(aState);
}

record_step
ApplyRead(idempotent_state& aState, const platform::read_result& aRead)
{
  if (aRead.mState == read_state::Failed) {
    // Whether or not the record was written, its attempt is never dispatched.
    return StopWithoutRecord(aState);
  }
  const bool isOldRecord = aRead.mState == read_state::Found &&
                           aState.mExpectedRevision != 0 &&
                           aRead.mObject.mRevision == aState.mExpectedRevision;
  if (aRead.mState == read_state::Found && !isOldRecord) {
    return ApplyRecord(aState, aRead.mObject);
  }
  if (aState.mOwnRecord.mTicket.mId.empty()) {
    // Another request's write may still be in transit.
    return Stop(aState, ran::OutcomeUnknown, kNoServer);
  }
  // The earlier write may still take effect. Both writes name the same attempt,
  // so writing it again is harmless.
  return aState.mWrites < kMaximumWrites ? record_step::WriteAgain
                                         : StopWithoutRecord(aState);
}

record_step
ApplyOwnOutcome(idempotent_state& aState, const call_outcome& aOutcome)
{
  aState.mOutcome = aOutcome;
  const bool mayRetry = ApplyAttemptOutcome(aState.mProgress, aOutcome) &&
                        aOutcome.mRan == ran::NotRun &&
                        aState.mWrites < kMaximumWrites;
  return mayRetry ? record_step::WriteNew : record_step::Finish;
}

record_step
ApplyExistingOutcome(idempotent_state& aState, const call_outcome& aOutcome)
{
  aState.mExpectedRevision = aState.mExistingRevision;
  return ApplyOwnOutcome(aState, aOutcome);
}

record_step
StopWithoutRecord(idempotent_state& aState)
{
  return Stop(aState, ran::OutcomeUnknown, "platform_unavailable");
}

record_step
Stop(idempotent_state& aState, ran aRan, const std::string& aReason)
{
  aState.mOutcome = {};
  aState.mOutcome.mRan = aRan;
  aState.mOutcome.mReason = aReason;
  aState.mOutcome.mRetryAfter = milliseconds(1000);
  return record_step::Finish;
}

} // namespace lavender::dispatch
