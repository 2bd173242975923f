#pragma once

#include "Duties/Leases/GuardedPost.h"
#include "Libraries/Metrics/Metrics.h"

#include <cstdint>
#include <optional>
#include <string>

namespace lavender::orders {

/** How far an order got. */
enum class order_stage
{
  /** Nothing is under way. */
  Settled,
  /** A stop whose server drains first; nothing was sent. */
  Draining,
  /** It may have been sent. */
  Sent
};

/** An order to the platform and how far it got: what the Object API holds for
 * a zone, kind "ZoneOrder". It is written before the next step is taken, so
 * that a successor finishes what a holder left. */
struct order_record
{
  /** The platform carries out one order of an id. */
  std::string mId;
  /** "start" or "stop". */
  std::string mAction;
  std::string mPool;
  /** For a stop. */
  std::string mServer;
  std::int64_t mFencing = 0;
  order_stage mStage = order_stage::Settled;
};

json::value
ToJson(const order_record& aRecord);
order_record
ParseRecord(const json::value& aValue);

enum class order_outcome
{
  /** The platform has it. */
  Done,
  /** The platform refused it for good. */
  Refused,
  /** Not known or not possible now: the same step is to be tried again. */
  TryAgain
};

/** Sends orders for one zone, one at a time. All calls are for the holder of
 * the zone's lease, from one thread. */
class order_channel
{
public:
  order_channel(std::string aZone, platform::client aPlatform);

  /** Takes the zone's record over under a lease that is new to this channel.
   * The write makes a predecessor's later writes fail. False while the store
   * doesn't answer; nothing may be sent then. */
  bool TakeOver(const leases::held_lease& aLease);
  /** Order under way; Settled stage when there is none. */
  const order_record& Current() const { return mRecord; }
  /** Writes the intent of a new order. */
  bool Begin(order_record aRecord, const leases::held_lease& aLease);
  /** Sends the order under way, or sends it again after an unknown outcome. */
  order_outcome Send(const leases::held_lease& aLease);
  /** Drops an order that was never sent. */
  bool Cancel(const leases::held_lease& aLease);

  /** When an order was last sent without an answer: its bytes may still
   * arrive for a while. */
  std::optional<time_point> UnansweredAt() const { return mUnansweredAt; }

private:
  bool Keep(order_record aRecord, const leases::held_lease& aLease);
  void Count(const char* aResult) const;

  const std::string mZone;
  const platform::client mPlatform;
  std::int64_t mFencing = 0;
  std::int64_t mRevision = 0;
  order_record mRecord;
  std::optional<time_point> mUnansweredAt;
};

/** Name of the lease for a zone's orders. */
std::string
LeaseName(const std::string& aZone);

} // namespace lavender::orders
