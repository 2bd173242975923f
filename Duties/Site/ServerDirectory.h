#pragma once

#include "Libraries/Core/Clock.h"
#include "Libraries/Edge/Message.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace lavender::site {

/** What a backend server says of itself in the platform's list. */
struct backend_server
{
  /** Name of this start of the server; another start mostly bears another. */
  std::string mId;
  /** Start of the server: tells two starts under one id apart. */
  std::int64_t mStartedAt = 0;
  std::string mPool;
  edge::endpoint mAddress;
  std::string mAvailabilityZone;
  int mSlots = 1;
  bool mIsLeaving = false;
  /** Version of the weights by model. */
  std::map<std::string, std::int64_t> mVersions;
};

/** A server with what this process knows beyond the entry. */
struct directory_row
{
  backend_server mServer;
  /** Set while the entry is missing from the list, though the server may just
   * have been unable to renew it; when it is taken as gone. */
  std::optional<time_point> mGoneAt;
};

struct server_directory
{
  std::map<std::string, directory_row> mRows;
  /** End of the time after an outage of the store in which a missing entry
   * says nothing: servers renew theirs within two seconds. */
  std::optional<time_point> mLenientUntil;
};

/** Entries that lapsed during an outage are back this long after its end, by
 * the platform's word. */
constexpr milliseconds kRenewalAfterOutage{ 2000 };

void
ApplyServer(server_directory& aDirectory, backend_server aServer);

/** An entry was removed. Right after an outage the server is kept for a
 * moment, else it is gone at once. */
void
ApplyRemoval(server_directory& aDirectory,
             const std::string& aId,
             time_point aNow);

/** Takes a whole listing: servers that it lacks count as removed. */
void
TakeListing(server_directory& aDirectory,
            const std::map<std::string, backend_server>& aListed,
            time_point aNow);

/** The store answers again after it didn't. */
void
RecordOutageEnd(server_directory& aDirectory, time_point aNow);

/** Drops the servers whose grace is over.
 * @return when to look again, if any is left waiting */
std::optional<time_point>
RemoveExpired(server_directory& aDirectory, time_point aNow);

} // namespace lavender::site
