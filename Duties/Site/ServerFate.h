#pragma once

#include "Duties/Site/ServerDirectory.h"

#include <tuple>

/** Decides whether a server whose connection broke has ended. No I/O.
 *
 * A reset, a cut path and a server that ended look the same to the sender of a
 * request. Only an answer of the same start of the server shows that it lives.
 */
namespace lavender::site {

/** One start of a backend server; a server that starts again may keep its id.
 */
struct server_start
{
  std::string mId;
  /** As in backend_server; 0 if unknown. */
  std::int64_t mStartedAt = 0;

  bool operator<(const server_start& aOther) const
  {
    return std::tie(mId, mStartedAt) < std::tie(aOther.mId, aOther.mStartedAt);
  }
  bool operator==(const server_start& aOther) const
  {
    return mId == aOther.mId && mStartedAt == aOther.mStartedAt;
  }
};

server_start
StartOf(const backend_server& aServer);

enum class server_fate
{
  /** Neither its end nor its life is shown yet. */
  Unknown,
  Running,
  Ended
};

const char*
ToString(server_fate aFate);

/** What a server says of itself when it is asked for one of its starts. */
struct server_identity
{
  /** It says that it isn't the server that was asked for. */
  bool mIsOther = false;
  /** Empty if it doesn't say. */
  std::string mId;
  /** 0 if it doesn't say. */
  std::int64_t mStartedAt = 0;
};

/** Whether the answer is of a server with another id. Such an answer
 * tells of the start only if the start was at the same address. */
bool
IsOtherServer(const server_start& aStart, const server_identity& aReply);

/** @param aReply none if no answer came */
server_fate
FateByReply(const server_start& aStart,
            const std::optional<server_identity>& aReply);

/** What the directory shows. Never Running: a record outlives its server, and
 * longer while the store is away. A record of an earlier start shows nothing:
 * the directory may be behind. */
server_fate
FateByDirectory(const server_start& aStart, const server_directory& aDirectory);

/** Whether the directory holds a later start of the server. */
bool
HasStartedAgain(const server_start& aStart, const server_directory& aDirectory);

/** Time until a server is asked again.
 * @param aChecks number of times that it has been asked; at least 1 */
milliseconds
CheckDelay(int aChecks);

} // namespace lavender::site
