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

// A booking's outcome is called unknown though its record names the attempt:
// all agents were silent to the entry for a moment, and it didn't look.
BOOST_AUTO_TEST_CASE(ARecordedAttemptIsFollowedThoughNoServerIsKnown)
{
  idempotent_state state;
  BOOST_TEST((Begin(state, "fingerprint") == record_step::WriteNew));
  BOOST_TEST((TakeNoServer(state) == record_step::ReadBack));
  call_record kept;
  kept.mTicket.mId = "other.1";
  kept.mTicket.mServerName = "desk-1";
  kept.mTicket.mIncarnation = "life";
  kept.mTicket.mIssuedAt = std::chrono::milliseconds(1);
  kept.mKeepUntil = std::chrono::system_clock::now();
  kept.mFingerprint = "fingerprint";
  BOOST_TEST((TakeRead(state, ReadOf(kept)) == record_step::FollowKept));
  BOOST_TEST(state.mKept.mTicket.mId == "other.1");
}

// Without a record nothing was proven, and nothing may be written for it.
BOOST_AUTO_TEST_CASE(WithoutServerAndRecordTheOutcomeIsUnknown)
{
  idempotent_state state;
  Begin(state, "fingerprint");
  TakeNoServer(state);
  platform::read_result missing;
  missing.mState = platform::read_state::Absent;
  BOOST_TEST((TakeRead(state, missing) == record_step::Finish));
  BOOST_TEST((state.mOutcome.mRan == ran::OutcomeUnknown));
  BOOST_TEST(state.mOutcome.mReason == "no_server");
}

BOOST_AUTO_TEST_SUITE_END()
