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

/** The agent's ledger: the state of each request id, which guarantees that no
 * request runs more than once. */
namespace lavender::dispatch {

/** Limits of one agent's ledger. */
struct ledger_limits
{
  /** Maximum number of waiting requests; more are refused immediately. */
  std::size_t mMaximumQueued = 64;
  /** Maximum number of requests that run concurrently. */
  std::size_t mSlots = 16;
  /** An unknown order issued longer ago than this is refused. Orders are sent
   * as soon as they are issued, so only delayed ones become this old. */
  milliseconds mMaximumOrderAge{ 30000 };
  /** How long a refusal or tombstone is kept; longer than mMaximumOrderAge, so
   * that an order that arrives after its tombstone was removed is refused as
   * too old. */
  milliseconds mRefusalRetention{ 60000 };
  /** How long a result is kept for entries that query it. */
  milliseconds mResultRetention{ 600000 };
  /** A queued request is refused when its entry hasn't queried it for this
   * long. */
  milliseconds mAbandonAfter{ 10000 };
  /** Maximum estimated queue delay. */
  milliseconds mMaximumDelay{ 1000 };
  admission::queue_policy mPolicy = admission::queue_policy::Fair;
  /** Maximum number of rows of ended requests; above it the oldest are evicted
   * early. */
  std::size_t mMaximumEnded = 8000;
  /** Maximum size of all kept results; above it the oldest are evicted early.
   */
  std::size_t mMaximumResultBytes = 8u << 20;
};

struct ledger_row
{
  wire::run_state::type mState = wire::run_state::UNKNOWN_ID;
  std::string mReason;
  /** Retry time of a refusal for lack of capacity. */
  milliseconds mRetryAfter{ 0 };
  wire::dispatch_order mOrder;
  wire::run_result mResult;
  time_point mDeadline;
  time_point mChangedAt;
  time_point mQueriedAt;
  time_point mStartedAt;
};

/** End times and ids of ended requests, oldest first. */
using ended_list = std::deque<std::pair<time_point, std::string>>;

/** State of all requests of one agent process. Each process has a new
 * incarnation, so that orders addressed to its predecessor are refused. */
struct ledger
{
  std::string mIncarnation;
  ledger_limits mLimits;
  std::map<std::string, ledger_row> mRows;
  admission::fair_queue mQueue;
  std::size_t mRunning = 0;
  /** Expected tokens of the running requests. */
  std::int64_t mRunningCost = 0;
  /** Number of requests queued or running, by customer and by the incarnation
   * of the entry that sent them. */
  std::map<std::string, std::map<std::string, int>> mInFlight;
  bool mIsDraining = false;
  /** Requests that did not run, tombstones included. */
  ended_list mRefusals;
  /** Requests that ran or may have run. */
  ended_list mEndedRuns;
  std::size_t mResultBytes = 0;
  /** Latest end time of the evicted rows, except of refusals that reached their
   * retention time. An unknown id issued later was never received; one issued
   * earlier may have run. */
  std::optional<time_point> mEvictedThrough;
  /** Smoothed duration of a run; zero before the first run has ended. */
  milliseconds mServiceTime{ 0 };
};

/** State of a request as returned to an entry. */
struct request_status
{
  wire::run_state::type mState = wire::run_state::UNKNOWN_ID;
  std::string mReason;
  milliseconds mRetryAfter{ 0 };
};

/** Queues an order or refuses it. An order with a known id is never queued
 * again, whatever its state; the current state is returned instead. */
request_status
Admit(ledger& aLedger, const wire::dispatch_order& aOrder, time_point aNow);

/** Returns the state of an id, and records that its entry still waits for it.
 */
request_status
Query(ledger& aLedger, const std::string& aId, time_point aNow);

/** Cancels a queued request. An unknown id gets a tombstone, so that an order
 * which arrives after its cancel is refused; without it the entry couldn't tell
 * its caller "not run". A running or ended request isn't changed. The outcome
 * of an id whose row may have been evicted is unknown.
 * @param aIssuedAt when the request's order was issued */
request_status
Cancel(ledger& aLedger,
       const std::string& aId,
       time_point aIssuedAt,
       time_point aNow);

/** Starts the next queued request if a slot is free. Refuses queued requests
 * that are past their deadline or abandoned by their entry. */
std::optional<wire::dispatch_order>
StartNextRun(ledger& aLedger, time_point aNow);

/** Records how a run ended: with a complete response, with an unknown outcome,
 * or as "not run" if the server couldn't be reached. */
void
Finish(ledger& aLedger,
       const std::string& aId,
       wire::run_state::type aState,
       const std::string& aReason,
       wire::run_result aResult,
       time_point aNow);

/** Refuses all queued requests, when the process stops. */
void
RefuseQueued(ledger& aLedger, const std::string& aReason, time_point aNow);

/** Removes rows of ended requests that reached their retention time, and the
 * oldest ones while the size limits are exceeded. */
void
RemoveExpired(ledger& aLedger, time_point aNow);

/** Customers with requests at this agent, those with most requests first; at
 * most 64.
 * @param aEntry incarnation of the entry whose own requests are counted
 *   separately */
std::vector<wire::customer_load>
CustomerLoads(const ledger& aLedger, const std::string& aEntry);

/** Estimated time until a request added to the queue now would start, by the
 * smoothed service time; returned with a refusal. */
milliseconds
EstimateQueueDelay(const ledger& aLedger);

/** Whether an entry may still query the outcome of a request. A reply may be
 * lost with its connection; the entry notices by a timeout and queries the
 * outcome again on a new connection. */
bool
MayBeQueriedForOutcome(const ledger& aLedger, time_point aNow);

} // namespace lavender::dispatch
