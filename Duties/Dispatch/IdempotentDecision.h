#pragma once

#include "Duties/Dispatch/CallOutcome.h"
#include "Duties/Dispatch/CallRecord.h"
#include "Duties/Dispatch/RetryDecision.h"
#include "Libraries/Platform/PlatformClient.h"

#include <cstdint>
#include <string>

/** State machine by which a request with an Idempotency-Key determines the one
 * attempt that may run for its key. No I/O: the caller executes each step and
 * passes the result to the next call. */
namespace lavender::dispatch {

enum class record_step
{
  /** Select a server, issue an attempt, set mOwnRecord and write it. */
  WriteNew,
  /** Write mOwnRecord again, under the same condition. */
  WriteAgain,
  ReadBack,
  /** Dispatch the attempt of mOwnRecord. */
  RunOwn,
  /** Wait for the outcome of the attempt of mExistingRecord. */
  FollowExisting,
  Finish
};

struct idempotent_state
{
  std::string mFingerprint;
  /** The record that this request has written or is trying to write. */
  call_record mOwnRecord;
  /** Condition of the write: the revision to replace; 0 to create. */
  std::int64_t mExpectedRevision = 0;
  /** The existing record of the key, written by another request. */
  call_record mExistingRecord;
  std::int64_t mExistingRevision = 0;
  int mWrites = 0;
  call_progress mProgress;
  /** Valid with step Finish. */
  call_outcome mOutcome;
};

/** First step of each request with an Idempotency-Key. */
record_step
Begin(idempotent_state& aState, const std::string& aFingerprint);

/** After no server could be selected. An attempt recorded by an earlier request
 * can still be followed. */
record_step
ApplyNoServer(idempotent_state& aState);

/** After a write. If the outcome of the write is unknown, the record is read
 * back. */
record_step
ApplyWrite(idempotent_state& aState, const platform::write_result& aWritten);

/** After the record was read back. */
record_step
ApplyRead(idempotent_state& aState, const platform::read_result& aRead);

/** After this request's own attempt. Only if it provably did not run, another
 * attempt is recorded, by replacing the record conditionally on its revision.
 */
record_step
ApplyOwnOutcome(idempotent_state& aState, const call_outcome& aOutcome);

/** After following the recorded attempt. If it provably did not run and never
 * will, this request replaces the record conditionally on its revision; of
 * several requests that try, one succeeds and the others follow its attempt. */
record_step
ApplyExistingOutcome(idempotent_state& aState, const call_outcome& aOutcome);

/** Ends the request without another attempt. */
record_step
Stop(idempotent_state& aState, ran aRan, const std::string& aReason);

/** Ends a request whose record can't be read or written. This request isn't
 * dispatched, but an earlier one with the same key may have run. After "not
 * run" the caller might send it elsewhere, so the outcome is unknown. */
record_step
StopWithoutRecord(idempotent_state& aState);

} // namespace lavender::dispatch
