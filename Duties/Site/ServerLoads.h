#pragma once

#include "Duties/Site/ServerDirectory.h"
#include "Duties/Site/ServerProtocol.h"
#include "Libraries/Metrics/Metrics.h"

#include <functional>
#include <unordered_map>

/** What this entry knows of the servers' load. Every response that tells a load
 * counts, whichever kind of request it answers, and all that choose servers
 * read the same figures. */
namespace lavender::site {

/** A load that was told longer ago says nothing: most runs end within a second.
 */
constexpr milliseconds kLoadLifetime{ 600 };
/** For how long a told slowdown describes the server's machine. */
constexpr milliseconds kSlowdownLifetime{ 300 };

/** Whether a server can mean the figure; also false if it is no number. */
bool
IsPossibleSlowdown(double aSlowdown);

/** Returns which figure of the load no server can mean; null if there is none.
 * The slowdown isn't checked. */
const char*
FindImpossibleFigure(const server_load& aLoad);

/** A server's load as it was told last. */
struct told_load
{
  /** Start of the server that told it. */
  std::int64_t mStartedAt = 0;
  /** Requests of all senders, running and waiting. */
  int mRequests = 0;
  /** Those of them that weren't runs of this entry at that time. */
  int mOtherRequests = 0;
  time_point mSeenAt;
  /** Factor by which work took longer than usual on the server's machine. */
  double mSlowdown = 1;
  time_point mSlowdownSeenAt;
  time_point mFaultLoggedAt;
};

class server_loads
{
public:
  using told_handler =
    std::function<void(const std::string& aServer, const told_load& aLoad)>;

  /** @param aOwnRuns number of runs of this entry on a server */
  server_loads(const server_directory& aDirectory,
               metrics::registry& aMetrics,
               std::function<int(const std::string&)> aOwnRuns);

  /** Sets the function that is called with each load that is recorded. */
  void SetHandler(told_handler aHandler) { mHandler = std::move(aHandler); }
  /** Records a load that came with a server's response. Figures that no server
   * can mean are ignored, logged and counted: a wrong load would send all
   * requests to one server. */
  void Record(const std::string& aServer,
              const server_load& aLoad,
              time_point aNow);
  /** Returns the server's load; null if it isn't known, is too old, or was told
   * before the server started again. */
  const told_load* Find(const std::string& aServer, time_point aNow) const;
  /** Slowdown of the server's machine; 1 if it isn't known or too old. */
  double SlowdownOf(const std::string& aServer, time_point aNow) const;
  /** Removes the state of servers that are gone from the directory. */
  void RemoveStaleState();
  /** Number of servers for which state is held. */
  std::size_t KnownServers() const { return mLoads.size(); }

private:
  const told_load* FindOfThisStart(const std::string& aServer) const;
  void ReportFault(const std::string& aServer,
                   told_load& aLoad,
                   const server_load& aReported,
                   const char* aFigure,
                   time_point aNow);

  const server_directory& mDirectory;
  metrics::registry& mMetrics;
  std::function<int(const std::string&)> mOwnRuns;
  told_handler mHandler;
  /** By server. */
  std::unordered_map<std::string, told_load> mLoads;
};

} // namespace lavender::site
