#pragma once

#include "Libraries/Core/Clock.h"
#include "Libraries/Platform/PlatformClient.h"
#include "Libraries/Wire/ConnectionPool.h"
#include "Libraries/Wire/Generated/agent_service.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

/** Which backend servers exist, and what is known of each. */
namespace lavender::membership {

using agent_pool = wire::connection_pool<wire::agent_serviceClient>;

/** What an entry knows of one backend server. */
struct server_view
{
  platform::instance mInstance;
  /** Of the agent that answered last; empty before the first answer. */
  std::string mIncarnation;
  wire::load_figures mLoad;
  /** The agent said so, or the platform's list does. */
  bool mIsLeaving = false;
  bool mIsServerReachable = false;
  std::string mModel;
  std::int64_t mWeightVersion = 0;
  std::int64_t mWitnessedRevision = 0;
  milliseconds mWitnessedFreshAge{ 0 };
  std::optional<time_point> mHeardAt;
  /** When the last answered poll left: its report is no older. */
  time_point mReportedAt;
  /** The agent's clock when the entry heard from it at mHeardAt. */
  milliseconds mAgentClock{ 0 };
  /** Requests that this entry sent and has no answer to. */
  int mOwnInFlight = 0;
  std::shared_ptr<agent_pool> mConnections;
};

/** What an entry tells agents of its configuration with each poll. */
struct own_digest
{
  std::int64_t mRevision = 0;
  milliseconds mFreshAge{ 0 };
};

struct directory_options
{
  platform::client mPlatform;
  std::string mEntryIncarnation;
  milliseconds mPollEvery{ 500 };
  milliseconds mListEvery{ 1000 };
  /** Longest silence of one poll. */
  milliseconds mPollTimeout{ 1000 };
  std::function<own_digest()> mDigest;
};

/** Keeps the views fresh with a thread for the platform's list and one for
 * each agent's report. */
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
  void OnReport(std::function<void(const server_view&)> aObserver);
  /** Takes what any reply told of its agent. */
  void TakeReply(const std::string& aName, const wire::dispatch_reply& aReply);

private:
  void ListLoop();
  void PollLoop(const std::string& aName);
  void TakeList(const std::vector<platform::instance>& aList);
  void PollOnce(const std::string& aName);
  bool WaitOrStop(milliseconds aWait);

  const directory_options mOptions;
  mutable std::mutex mMutex;
  std::condition_variable mStopped;
  bool mIsStopping = false;
  std::map<std::string, server_view> mServers;
  std::vector<platform::instance> mEntries;
  std::function<void(const server_view&)> mObserver;
  std::thread mListThread;
  std::map<std::string, std::thread> mPollThreads;
};

} // namespace lavender::membership
