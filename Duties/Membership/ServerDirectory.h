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

/** What an entry tells agents of its configuration with each poll. */
struct configuration_digest
{
  /** Of the last change to the configuration. */
  std::int64_t mRevision = 0;
  milliseconds mVerificationAge{ 0 };
};

struct directory_options
{
  platform::client mPlatform;
  std::string mEntryIncarnation;
  milliseconds mPollInterval{ 500 };
  milliseconds mListEvery{ 1000 };
  /** Threads that poll agents; a quarter as many again poll silent ones. */
  std::size_t mPollThreads = 16;
  /** Longest silence of one poll. */
  milliseconds mPollTimeout{ 1000 };
  std::function<configuration_digest()> mDigest;
  directory_limits mLimits;
  /** Folder that keeps the last list for a start while the platform is down;
   * empty to keep nothing. */
  std::string mDataFolder;
  /** May be null. */
  metrics::registry* mMetrics = nullptr;
};

/** How many servers could be asked and heard, and the freshest they know of
 * the configuration. */
struct agent_freshness
{
  std::optional<std::size_t> mKnown;
  std::size_t mPolled = 0;
  std::size_t mReachable = 0;
  std::int64_t mHighestChangedRevision = 0;
  std::optional<time_point> mLatestVerifiedAt;
};

/** Keeps the views fresh with a thread for the platform's list and a bounded
 * number of them for the agents' reports. */
class server_directory
{
public:
  explicit server_directory(directory_options aOptions);
  ~server_directory();
  server_directory(const server_directory&) = delete;
  server_directory& operator=(const server_directory&) = delete;

  void Start();
  void Stop();

  /** Copies of all views. */
  std::vector<server_view> Servers() const;
  /** Other entries by the platform's list. */
  std::vector<platform::instance> Entries() const;
  std::optional<server_view> Find(const std::string& aName) const;
  /** Counts a request sent to, or answered by, a server. */
  void AddInFlight(const std::string& aName, int aChange);
  /** Called with a copy of each view that a report has changed, from the
   * polling threads. Set before Start. */
  void SetReportObserver(std::function<void(const server_view&)> aObserver);
  /** Takes what any reply told of its agent. */
  void ApplyReply(const std::string& aName, const wire::dispatch_reply& aReply);

  /** What the agents tell of the configuration. */
  agent_freshness AgentFreshness() const;
  /** Sets the gauges of servers by pool and state. */
  void WriteGauges(metrics::registry& aMetrics) const;

private:
  void ListLoop();
  void TakeNewList(const std::vector<platform::instance>& aList);
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
  std::string mSavedList;
  std::function<void(const server_view&)> mObserver;
  std::thread mListThread;
  poll_pool mPolls;
};

} // namespace lavender::membership
