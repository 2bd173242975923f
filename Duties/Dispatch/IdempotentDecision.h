#pragma once

#include "Duties/Dispatch/CallOutcome.h"
#include "Duties/Dispatch/CallRecord.h"
#include "Duties/Dispatch/RetryDecision.h"
#include "Libraries/Platform/PlatformClient.h"

#include <cstdint>
#include <string>

/** How one request with an Idempotency-Key finds the one attempt that may run
 * for its key. No I/O: the caller carries out each step and reports what came
 * of it. */
namespace lavender::dispatch {

enum class record_step
{
  /** Select a server, issue an attempt, set mOwn and write it. */
  WriteNew,
  /** Write mOwn once more, under the same condition. */
  WriteAgain,
  ReadBack,
  /** Send mOwn's attempt. */
  RunOwn,
  /** Fetch the end of mKept's attempt. */
  FollowKept,
  Finish
};

struct idempotent_state
{
  std::string mFingerprint;
  /** The record that this request wrote or tries to write. */
  call_record mOwn;
  /** Condition of the write: the revision to replace, 0 to create. */
  std::int64_t mExpectedRevision = 0;
  /** The record found, written by another request. */
  call_record mKept;
  std::int64_t mKeptRevision = 0;
  int mWrites = 0;
  call_progress mProgress;
  /** With Finish. */
  call_outcome mOutcome;
};

/** Where each request with an Idempotency-Key begins. */
record_step
Begin(idempotent_state& aState, const std::string& aFingerprint);

/** No server is known that could take an attempt. One that an earlier request
 * recorded can be followed all the same. */
record_step
TakeNoServer(idempotent_state& aState);

/** After a write. An unknown outcome is read back. */
record_step
TakeWrite(idempotent_state& aState, const platform::write_result& aWritten);

/** After a read-back. */
record_step
TakeRead(idempotent_state& aState, const platform::read_result& aRead);

/** After this request's own attempt. Only a proven "not run" lets another
 * attempt be recorded, by replacing the record under its revision. */
record_step
TakeOwnEnd(idempotent_state& aState, const call_outcome& aOutcome);

/** After following the recorded attempt. When it provably never ran and never
 * will, this request takes the record over under its revision; of several
 * requests that try, one succeeds and the others follow it. */
record_step
TakeKeptEnd(idempotent_state& aState, const call_outcome& aOutcome);

/** Ends the request without another attempt. */
record_step
Stop(idempotent_state& aState, ran aRan, const std::string& aReason);

/** Ends a request whose record can't be read. This submission isn't sent, but
 * an earlier one with the same key may have run, and "not run" would make the
 * caller look elsewhere: the outcome is unknown until the store is back. */
record_step
StopWithoutRecord(idempotent_state& aState);

} // namespace lavender::dispatch
