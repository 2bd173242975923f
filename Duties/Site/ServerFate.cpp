#include "Duties/Site/ServerFate.h"

namespace lavender::site {

namespace {

constexpr milliseconds kFirstCheckDelay{ 250 };
constexpr int kMaximumDoublings = 2;

/** Whether two known start times differ. */
bool
IsOtherStart(const server_start& aStart, std::int64_t aStartedAt)
{
  return aStart.mStartedAt != 0 && aStartedAt != 0 &&
         aStart.mStartedAt != aStartedAt;
}

} // namespace

server_start
StartOf(const backend_server& aServer)
{
  return { aServer.mId, aServer.mStartedAt };
}

const char*
ToString(server_fate aFate)
{
  switch (aFate) {
    case server_fate::Unknown:
      return "unknown";
    case server_fate::Running:
      return "running";
    case server_fate::Ended:
      return "ended";
  }
  return "unknown";
}

bool
IsOtherServer(const server_start& aStart, const server_identity& aReply)
{
  return aReply.mIsOther || (!aReply.mId.empty() && aReply.mId != aStart.mId);
}

server_fate
FateByReply(const server_start& aStart,
            const std::optional<server_identity>& aReply)
{
  if (!aReply) {
    return server_fate::Unknown;
  }
  const bool isOther =
    IsOtherServer(aStart, *aReply) || IsOtherStart(aStart, aReply->mStartedAt);
  return isOther ? server_fate::Ended : server_fate::Running;
}

server_fate
FateByDirectory(const server_start& aStart, const server_directory& aDirectory)
{
  // An empty directory hasn't been filled yet.
  if (aDirectory.mRows.empty()) {
    return server_fate::Unknown;
  }
  const auto row = aDirectory.mRows.find(aStart.mId);
  if (row == aDirectory.mRows.end()) {
    return server_fate::Ended;
  }
  const auto startedAt = row->second.mServer.mStartedAt;
  // A directory that is behind still has the start before.
  const bool isOlder = startedAt < aStart.mStartedAt;
  return IsOtherStart(aStart, startedAt) && !isOlder ? server_fate::Ended
                                                     : server_fate::Unknown;
}

bool
HasStartedAgain(const server_start& aStart, const server_directory& aDirectory)
{
  const auto row = aDirectory.mRows.find(aStart.mId);
  return row != aDirectory.mRows.end() && aStart.mStartedAt != 0 &&
         row->second.mServer.mStartedAt > aStart.mStartedAt;
}

milliseconds
CheckDelay(int aChecks)
{
  return kFirstCheckDelay *
         (1 << std::clamp(aChecks - 1, 0, kMaximumDoublings));
}

} // namespace lavender::site
