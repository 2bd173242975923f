#pragma once

#include "Libraries/Core/Clock.h"
#include "Libraries/Edge/Message.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace lavender::site {

/** A backend server's own record in the platform's list. */
struct backend_server
{
  /** Usually changes when the server restarts. */
  std::string mId;
  /** Start time; distinguishes two starts under the same id. */
  std::int64_t mStartedAt = 0;
  std::string mPool;
  edge::endpoint mAddress;
  std::string mAvailabilityZone;
  int mSlots = 1;
  bool mIsLeaving = false;
  /** Version of the weights that the server holds, by model. */
  std::map<std::string, std::int64_t> mVersions;
  /** How much longer the server warms up, as of the writing of its record. */
  milliseconds mWarmUpLeft{ 0 };
  /** Revision of the server's record; grows with each change of it. */
  std::int64_t mRecordRevision = 0;
};

/** A server and when it is dropped from the directory. */
struct directory_row
{
  backend_server mServer;
  /** When the server is dropped. Set while its record is missing from the list
   * though the server may only have been unable to renew it. */
  std::optional<time_point> mRemoveAt;
  /** When the server is warm, by its record. */
  time_point mWarmAt;
  /** Until when the server counts as warming whatever its record says, because
   * the record may be older than the server's start. */
  time_point mAssumedWarmAt;
};

/** A server that has no record any more. It may serve on until its planned
 * end, so it can still be asked whether it runs. */
struct dropped_server
{
  std::int64_t mStartedAt = 0;
  edge::endpoint mAddress;
  time_point mDroppedAt;
};

/** A dropped server is remembered for this time. */
constexpr std::chrono::minutes kDroppedMemory{ 10 };

struct server_directory
{
  std::map<std::string, directory_row> mRows;
  /** The servers that were dropped within kDroppedMemory, by id. */
  std::map<std::string, dropped_server> mDropped;
  /** Until when a missing record doesn't mean that its server is gone. After an
   * outage of the store servers renew their records within two seconds. */
  std::optional<time_point> mGraceUntil;
  /** Zones whose servers get no requests and no orders, and since when. */
  std::map<std::string, time_point> mEvacuatedZones;
  /** Region of each availability zone; doesn't change while the process runs.
   */
  std::map<std::string, std::string> mRegions;
};

/** When the server has warmed up; in the past for a warm server. */
inline time_point
WarmAt(const directory_row& aRow)
{
  return std::max(aRow.mWarmAt, aRow.mAssumedWarmAt);
}

/** Records that expired during an outage of the store are renewed within this
 * time after its end, as the platform specifies. */
constexpr milliseconds kRenewalAfterOutage{ 2000 };

void
ApplyServer(server_directory& aDirectory,
            backend_server aServer,
            time_point aNow);

/** Handles the removal of a server's record. Drops the server at once, except
 * right after an outage, when a server that isn't leaving is kept until
 * mGraceUntil. */
void
ApplyRemoval(server_directory& aDirectory,
             const std::string& aId,
             time_point aNow);

/** Applies a complete listing: servers that it lacks count as removed. */
void
TakeListing(server_directory& aDirectory,
            const std::map<std::string, backend_server>& aListed,
            time_point aNow);

/** Starts the grace period for missing records, as the store answers again
 * after an outage. */
void
RecordOutageEnd(server_directory& aDirectory, time_point aNow);

/** Drops the servers whose grace period is over.
 * @return when to call this again; none if no server is in its grace period */
std::optional<time_point>
RemoveExpired(server_directory& aDirectory, time_point aNow);

} // namespace lavender::site
