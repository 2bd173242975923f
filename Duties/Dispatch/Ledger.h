#pragma once

#include "Duties/Admission/FairQueue.h"
#include "Libraries/Core/Clock.h"
#include "Libraries/Wire/Generated/lavender_types.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
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
  /** An unknown order issued longer ago is refused. Orders leave as soon as
   * they are issued, so only delayed ones get this old. */
  milliseconds mMaximumOrderAge{ 30000 };
  /** How long a refusal or tombstone is kept; longer than mMaximumOrderAge,
   * so that no order can arrive after its tombstone was forgotten. */
  milliseconds mKeepRefusal{ 60000 };
  /** How long an answer is kept for whoever asks for it. */
  milliseconds mKeepAnswer{ 600000 };
  /** A queued request whose entry has stopped asking is dropped after this. */
  milliseconds mAbandonAfter{ 10000 };
  /** Time in which what waits should be drained. */
  milliseconds mMaximumDelay{ 1000 };
  admission::queue_policy mPolicy = admission::queue_policy::Fair;
  /** Rows of ended requests; beyond it the oldest are forgotten early. */
  std::size_t mMaximumEnded = 8000;
  /** Bytes of kept answers; beyond it the oldest are forgotten early. */
  std::size_t mMaximumAnswerBytes = 8u << 20;
};

struct ledger_row
{
  wire::run_state::type mState = wire::run_state::UNKNOWN_ID;
  std::string mReason;
  /** Told with a refusal for want of room: when to come back. */
  milliseconds mRetryAfter{ 0 };
  wire::dispatch_order mOrder;
  wire::run_result mResult;
  time_point mDeadline;
  time_point mChangedAt;
  time_point mAskedAt;
  time_point mStartedAt;
};

/** Ended requests of one sort, oldest first. */
using ended_list = std::deque<std::pair<time_point, std::string>>;

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
  /** Requests queued or running, by customer and by the entry that sent them.
   */
  std::map<std::string, std::map<std::string, int>> mHeld;
  bool mIsDraining = false;
  /** Rows that say "not run", and rows of requests that ran. */
  ended_list mRefused;
  ended_list mRan;
  std::size_t mAnswerBytes = 0;
  /** Requests that ran, or early ones of any sort, were forgotten when they
   * had ended up to here. An unknown id issued later was never seen; one
   * issued earlier may have run. */
  std::optional<time_point> mForgottenThrough;
  /** Smoothed time that a run takes; zero before the first one ended. */
  milliseconds mServiceTime{ 0 };
};

/** What the asking entry is told. */
struct ledger_answer
{
  wire::run_state::type mState = wire::run_state::UNKNOWN_ID;
  std::string mReason;
  milliseconds mRetryAfter{ 0 };
};

/** Takes an order in, or refuses it. An id that is already known is never
 * queued again, whatever became of it: its present state is told instead. */
ledger_answer
Admit(ledger& aLedger, const wire::dispatch_order& aOrder, time_point aNow);

/** State of an id, and a sign that its entry still waits for it. */
ledger_answer
Ask(ledger& aLedger, const std::string& aId, time_point aNow);

/** Takes a queued request out. An id not seen gets a tombstone, so that a
 * dispatch which arrives after its cancel is refused; only therefore may the
 * entry say "not run". A running or finished request is left as it is. An id
 * of which the ledger may have forgotten that it ran is an unknown outcome.
 * @param aIssuedAt when the request's order was issued */
ledger_answer
Cancel(ledger& aLedger,
       const std::string& aId,
       time_point aIssuedAt,
       time_point aNow);

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

/** Refuses all queued requests for good, when the process ends. */
void
RefuseQueued(ledger& aLedger, const std::string& aReason, time_point aNow);

/** Forgets rows older than the limits, or the oldest ones over the bounds. */
void
Sweep(ledger& aLedger, time_point aNow);

/** Customers with requests here, the busiest first; at most 64.
 * @param aEntry incarnation of the entry whose own requests are told apart */
std::vector<wire::customer_load>
CustomerLoads(const ledger& aLedger, const std::string& aEntry);

/** When a request that finds the queue as it is now would start, by the
 * measured service time; told with a refusal. */
milliseconds
EstimateQueueDelay(const ledger& aLedger);

/** Whether an entry may still be about to ask how a request ended. A reply
 * that was written may never arrive, because its connection went silent; the
 * entry finds that out by the silence and asks again on a new one. */
bool
MayBeAskedForEnd(const ledger& aLedger, time_point aNow);

} // namespace lavender::dispatch
