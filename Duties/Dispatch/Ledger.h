#pragma once

#include "Duties/Admission/FairQueue.h"
#include "Libraries/Core/Clock.h"
#include "Libraries/Wire/Generated/lavender_types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/** The agent's run-once gate: what became of each request id. */
namespace lavender::dispatch {

/** Limits of one agent's ledger. */
struct ledger_limits
{
  /** Requests that may wait; more are refused at once. */
  std::size_t mMaximumQueued = 64;
  /** Requests that may run side by side. */
  std::size_t mSlots = 16;
  /** How long a finished answer, a refusal or a tombstone is kept. A dispatch
   * can't arrive later than this: entries give a request up far sooner. */
  milliseconds mKeep{ 600000 };
  /** A queued request whose entry has stopped asking is dropped after this. */
  milliseconds mAbandonAfter{ 10000 };
  admission::queue_policy mPolicy = admission::queue_policy::Fair;
};

struct ledger_row
{
  wire::run_state::type mState = wire::run_state::UNKNOWN_ID;
  std::string mReason;
  /** Told with a refusal: when the drain rate says to come back. */
  milliseconds mRetryAfter{ 0 };
  wire::dispatch_order mOrder;
  wire::run_result mResult;
  time_point mDeadline;
  time_point mChangedAt;
  time_point mAskedAt;
  time_point mStartedAt;
};

/** Everything that the gate remembers. Its incarnation is new with each
 * process, so that orders meant for a predecessor are refused. */
struct ledger
{
  std::string mIncarnation;
  ledger_limits mLimits;
  std::map<std::string, ledger_row> mRows;
  admission::fair_queue mQueue;
  std::size_t mRunning = 0;
  /** Expected tokens of the requests that run. */
  std::int64_t mRunningCost = 0;
  bool mIsDraining = false;
};

/** What the asking entry is told. */
struct ledger_answer
{
  wire::run_state::type mState = wire::run_state::UNKNOWN_ID;
  std::string mReason;
  milliseconds mRetryAfter{ 0 };
};

/** Empty ledger of a process with that incarnation. */
ledger
MakeLedger(std::string aIncarnation, const ledger_limits& aLimits);

/** Takes an order in, or refuses it. An id that is already known is never
 * queued again, whatever became of it: its present state is told instead. */
ledger_answer
Admit(ledger& aLedger, const wire::dispatch_order& aOrder, time_point aNow);

/** State of an id, and a sign that its entry still waits for it. */
ledger_answer
Ask(ledger& aLedger, const std::string& aId, time_point aNow);

/** Takes a queued request out. An id not seen gets a tombstone, so that a
 * dispatch which arrives after its cancel is refused; only therefore may the
 * entry say "not run". A running or finished request is left as it is. */
ledger_answer
Cancel(ledger& aLedger, const std::string& aId, time_point aNow);

/** Next request to run, when a slot is free. Requests past their deadline or
 * abandoned by their entry become "not run" on the way. */
std::optional<wire::dispatch_order>
TakeNext(ledger& aLedger, time_point aNow);

/** Ends a run with a whole answer, or with an unknown outcome. */
void
Finish(ledger& aLedger,
       const std::string& aId,
       wire::run_state::type aState,
       const std::string& aReason,
       wire::run_result aResult,
       time_point aNow);

/** Forgets rows older than the limit. */
void
Sweep(ledger& aLedger, time_point aNow);

} // namespace lavender::dispatch
