#pragma once

#include "Duties/Membership/DirectoryState.h"
#include "Duties/Membership/PollPool.h"
#include "Libraries/Core/Clock.h"
#include "Libraries/Metrics/Metrics.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace lavender::membership {

/** Revision and age of an entry's configuration, sent to agents with each
 * poll. */
struct configuration_digest
{
  /** Revision of the last change to the configuration. */
  std::int64_t mRevision = 0;
  milliseconds mVerificationAge{ 0 };
};

struct directory_options
{
  platform::client mPlatform;
  std::string mEntryIncarnation;
  milliseconds mPollInterval{ 500 };
  milliseconds mListInterval{ 1000 };
  /** Threads that poll responsive agents. A quarter of this number is added for
   * the unresponsive ones. */
  std::size_t mPollThreads = 16;
  /** Timeout of one poll. */
  milliseconds mPollTimeout{ 1000 };
  std::function<configuration_digest()> mDigest;
  directory_limits mLimits;
  /** Folder in which the last list is saved, for a start while the platform is
   * down; empty to save nothing. */
  std::string mDataFolder;
  /** Optional; null disables the metrics. */
  metrics::registry* mMetrics = nullptr;
};

/** How many agents were polled, since when each reachable one has been
 * reachable without a gap, and the most recent state of the
 * configuration that they know of. */
struct agent_freshness
{
  std::optional<std::size_t> mKnown;
  std::size_t mPolled = 0;
  std::vector<time_point> mReachableSince;
  std::int64_t mHighestChangedRevision = 0;
  std::optional<time_point> mLatestVerifiedAt;
};

/** Maintains the state of all servers: one thread fetches the platform's
 * instance list, and a bounded number of threads polls the agents. */
class server_directory
{
public:
  explicit server_directory(directory_options aOptions);
  ~server_directory();
  server_directory(const server_directory&) = delete;
  server_directory& operator=(const server_directory&) = delete;

  void Start();
  void Stop();

  /** Returns copies of all server views. */
  std::vector<server_view> Servers() const;
  /** Returns the entries on the platform's list. */
  std::vector<platform::instance> Entries() const;
  std::optional<server_view> Find(const std::string& aName) const;
  /** Adds aChange to the number of this entry's unanswered requests to it. */
  void AddInFlight(const std::string& aName, int aChange);
  /** Sets a callback that the polling threads call with a copy of each server
   * view after a report has changed it. Must be called before Start. */
  void SetReportObserver(std::function<void(const server_view&)> aObserver);
  /** Updates the server's state from the agent's incarnation and draining flag
   * in the response to a request. */
  void ApplyReply(const std::string& aName, const wire::dispatch_reply& aReply);

  /** Summarises what the agents report about the configuration. */
  agent_freshness AgentFreshness() const;
  /** Sets the gauges that count servers by pool and state. */
  void WriteGauges(metrics::registry& aMetrics) const;

private:
  void ListLoop();
  void ApplyNewList(const std::vector<platform::instance>& aList);
  void LoadList();
  void SaveList(const std::vector<platform::instance>& aList);
  poll_outcome PollOnce(const std::string& aName);
  void CountPoll(const char* aResult);
  bool WaitOrStop(milliseconds aWait);

  const directory_options mOptions;
  mutable std::mutex mMutex;
  std::condition_variable mStopped;
  bool mIsStopping = false;
  directory_state mState;
  std::string mSavedListBytes;
  std::function<void(const server_view&)> mObserver;
  std::thread mListThread;
  poll_pool mPolls;
};

} // namespace lavender::membership
