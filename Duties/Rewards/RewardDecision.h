#pragma once

#include "Libraries/Edge/Caller.h"

/** What follows from the end of one sending of a reward call: pure decisions.
 */
namespace lavender::rewards {

/** What one sending brought. */
enum class answer_kind
{
  /** A whole success with the service's signature. */
  Scored,
  /** The server ran the call and failed it; counts towards giving up. */
  ServerError,
  /** The server turned the call away and says that it didn't run it. */
  TurnedAway,
  /** No answer that can be used: reset, silence, another call's answer, bytes
   * that are no answer, a status that says nothing of the call. */
  Unusable
};

const char*
ToString(answer_kind aKind);

struct answer_view
{
  edge::call_end mEnd = edge::call_end::Complete;
  unsigned mStatus = 0;
  bool mIsNotExecuted = false;
  /** The answer doesn't bear the call's id. */
  bool mIsMismatched = false;
  bool mIsSigned = false;
};

answer_kind
Judge(const answer_view& aAnswer);

enum class next_step
{
  Deliver,
  /** To another server, at once. */
  SendAgain,
  /** After a pause. */
  SendLater,
  /** The service has failed the call as often as its route allows. */
  GiveUp
};

/** @param aErrors answers of the kind ServerError so far, this one included;
 * those that an earlier owner of the item got aren't known, so an item is given
 * up late rather than early */
next_step
DecideNext(answer_kind aKind, int aErrors, int aMaximumAttempts);

/** How long to wait before a call is sent again. The first sending may have met
 * one bad server, so the second goes at once; after that the service itself is
 * in trouble, and calls that come again at once would keep it there. */
milliseconds
PauseBefore(next_step aStep, int aSendings);

/** How long a server may be silent before the call goes to another one: twice
 * the target, which all but the slowest answers keep, and at most what is
 * left. */
milliseconds
PatienceFor(milliseconds aTargetLatency, milliseconds aTimeLeft);

/** Calls that may be under way at once to servers with that many places: half
 * of them, so that callers with a target of some tens of ms find the rest. */
int
MostUnderWay(int aPlaces);

} // namespace lavender::rewards
