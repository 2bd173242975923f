#pragma once

#include "Duties/Leases/GuardedPost.h"
#include "Libraries/Metrics/Metrics.h"

#include <cstdint>
#include <optional>
#include <string>

namespace lavender::orders {

/** Progress of an order. */
enum class order_stage
{
  /** No order is in progress. */
  Settled,
  /** A stop order whose server is draining; nothing was sent to the platform.
   */
  Draining,
  /** The order may have been sent. */
  Sent
};

/** An order to the platform and its progress, as stored in the Object API per
 * zone under the kind "ZoneOrder". It is written before each step, so that the
 * next holder of the zone's lease can finish the order. */
struct order_record
{
  /** Unique id; the platform executes an id at most once. */
  std::string mId;
  /** "start" or "stop". */
  std::string mAction;
  std::string mPool;
  /** Stop only: name of the server. */
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
  /** The platform accepted the order. */
  Done,
  /** The platform refused the order permanently. */
  Refused,
  /** The outcome is unknown, or sending isn't possible now; Send must be called
   * again. */
  TryAgain
};

/** Sends orders for one zone to the platform, one at a time. Only the holder of
 * the zone's lease may use it, from one thread. */
class order_channel
{
public:
  order_channel(std::string aZone, platform::client aPlatform);

  /** Takes the zone's record over under a lease that is new to this channel.
   * This rewrites the record, so that later conditional writes of the previous
   * holder fail. Returns false when the object store doesn't respond or the
   * lease is outdated; nothing may be sent then. */
  bool TakeOver(const leases::held_lease& aLease);
  /** The order in progress; its stage is Settled when there is none. */
  const order_record& Current() const { return mRecord; }
  /** Stores a new order before anything is sent. */
  bool Begin(order_record aRecord, const leases::held_lease& aLease);
  /** Sends the order in progress, or resends it after an unknown outcome. */
  order_outcome Send(const leases::held_lease& aLease);
  /** Discards an order that was never sent. */
  bool Cancel(const leases::held_lease& aLease);

  /** When an order was last sent without a response. Its bytes may still be in
   * transit for a while. */
  std::optional<time_point> UnansweredAt() const { return mUnansweredAt; }

private:
  bool WriteRecord(order_record aRecord, const leases::held_lease& aLease);
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
