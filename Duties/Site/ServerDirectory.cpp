#include "Duties/Site/ServerDirectory.h"

#include <algorithm>

namespace lavender::site {

namespace {

using row_iterator = std::map<std::string, directory_row>::iterator;

/** @return the row that follows */
row_iterator
Drop(server_directory& aDirectory, row_iterator aRow, time_point aNow)
{
  auto& dropped = aDirectory.mDropped;
  for (auto old = dropped.begin(); old != dropped.end();) {
    old = aNow - old->second.mDroppedAt >= kDroppedMemory ? dropped.erase(old)
                                                          : std::next(old);
  }
  const auto& server = aRow->second.mServer;
  dropped[aRow->first] = { server.mStartedAt, server.mAddress, aNow };
  return aDirectory.mRows.erase(aRow);
}

} // namespace

void
ApplyServer(server_directory& aDirectory,
            backend_server aServer,
            time_point aNow)
{
  auto& row = aDirectory.mRows[aServer.mId];
  // A record that is only listed again was written at an unknown time before.
  if (row.mServer.mRecordRevision != aServer.mRecordRevision) {
    row.mWarmAt = aNow + aServer.mWarmUpLeft;
  }
  row.mServer = std::move(aServer);
  row.mRemoveAt.reset();
}

void
ApplyRemoval(server_directory& aDirectory,
             const std::string& aId,
             time_point aNow)
{
  const auto found = aDirectory.mRows.find(aId);
  if (found == aDirectory.mRows.end()) {
    return;
  }
  if (aDirectory.mGraceUntil && aNow < *aDirectory.mGraceUntil &&
      !found->second.mServer.mIsLeaving) {
    if (!found->second.mRemoveAt) {
      found->second.mRemoveAt = aDirectory.mGraceUntil;
    }
    return;
  }
  Drop(aDirectory, found, aNow);
}

void
TakeListing(server_directory& aDirectory,
            const std::map<std::string, backend_server>& aListed,
            time_point aNow)
{
  std::vector<std::string> missing;
  for (const auto& [id, row] : aDirectory.mRows) {
    if (aListed.count(id) == 0) {
      missing.push_back(id);
    }
  }
  for (const auto& id : missing) {
    ApplyRemoval(aDirectory, id, aNow);
  }
  for (const auto& [id, server] : aListed) {
    ApplyServer(aDirectory, server, aNow);
  }
}

void
RecordOutageEnd(server_directory& aDirectory, time_point aNow)
{
  aDirectory.mGraceUntil = aNow + kRenewalAfterOutage;
}

std::optional<time_point>
RemoveExpired(server_directory& aDirectory, time_point aNow)
{
  std::optional<time_point> next;
  for (auto row = aDirectory.mRows.begin(); row != aDirectory.mRows.end();) {
    const auto removeAt = row->second.mRemoveAt;
    if (removeAt && *removeAt <= aNow) {
      row = Drop(aDirectory, row, aNow);
      continue;
    }
    if (removeAt) {
      next = next ? std::min(*next, *removeAt) : *removeAt;
    }
    ++row;
  }
  return next;
}

} // namespace lavender::site
