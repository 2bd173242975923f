#include "Duties/Dispatch/IdempotentDecision.h"

#include <boost/test/unit_test.hpp>

using namespace lavender;
using namespace lavender::dispatch;

namespace {

platform::read_result
ReadOf(const call_record& aRecord)
{
  platform::read_result read;
  read.mState = platform::read_state::Found;
  read.mObject.mRevision = 7;
  read.mObject.mValue = ToValue(aRecord);
  return read;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestIdempotentDecision)

// When no agent responds to the entry for a moment, the entry must still read
// the record and follow its attempt. Otherwise the outcome of a recorded
// request would be reported as unknown.
BOOST_AUTO_TEST_CASE(ARecordedAttemptIsFollowedWithoutAKnownServer)
{
  idempotent_state state;
  BOOST_TEST((Begin(state, "fingerprint") == record_step::WriteNew));
  BOOST_TEST((ApplyNoServer(state) == record_step::ReadBack));
  call_record existing;
  existing.mTicket.mId = "other.1";
  existing.mTicket.mServerName = "desk-1";
  existing.mTicket.mIncarnation = "life";
  existing.mTicket.mIssuedAt = std::chrono::milliseconds(1);
  existing.mKeepUntil = std::chrono::system_clock::now();
  existing.mFingerprint = "fingerprint";
  BOOST_TEST(
    (ApplyRead(state, ReadOf(existing)) == record_step::FollowExisting));
  BOOST_TEST(state.mExistingRecord.mTicket.mId == "other.1");
}

// Without a server and without a record the outcome is unknown, because another
// request's write may still be in transit; no record may be written.
BOOST_AUTO_TEST_CASE(WithoutServerAndRecordTheOutcomeIsUnknown)
{
  idempotent_state state;
  Begin(state, "fingerprint");
  ApplyNoServer(state);
  platform::read_result missing;
  missing.mState = platform::read_state::Absent;
  BOOST_TEST((ApplyRead(state, missing) == record_step::Finish));
  BOOST_TEST((state.mOutcome.mRan == ran::OutcomeUnknown));
  BOOST_TEST(state.mOutcome.mReason == "no_server");
}

BOOST_AUTO_TEST_SUITE_END()
