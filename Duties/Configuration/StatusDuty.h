#pragma once

#include "Duties/Configuration/ConfigurationStore.h"
#include "Duties/Configuration/ResourceStatus.h"
#include "Libraries/Metrics/Metrics.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace lavender::configuration {

struct status_options
{
  platform::client mPlatform;
  std::string mOwnName;
  /** Names of the reachable entries, including this one. */
  std::function<std::vector<std::string>()> mEntries;
  std::function<status_inputs()> mFacts;
  milliseconds mCheckInterval{ 1000 };
  /** Minimum interval between two status writes to one resource. */
  milliseconds mMinimumWriteInterval{ 5000 };
  /** Rate limit for the status writes of this process, so that they never delay
   * lease renewals. */
  double mWritesPerSecond = 5;
};

/** Writes the status of each resource, which operators read, from a background
 * thread. */
class status_duty
{
public:
  status_duty(status_options aOptions, configuration_store& aStore);
  ~status_duty();
  status_duty(const status_duty&) = delete;
  status_duty& operator=(const status_duty&) = delete;

  void Start();
  void Stop();

private:
  using identity = std::pair<std::string, std::string>;
  struct pending_resource
  {
    stored_resource mResource;
    std::optional<time_point> mWrittenAt;
  };

  void Loop();
  void ReadChanges();
  void ReadAll();
  void WritePending(time_point aNow);
  bool WriteStatus(pending_resource& aPending, json::value aStatus);

  const status_options mOptions;
  configuration_store& mStore;
  std::mutex mMutex;
  std::condition_variable mStopped;
  bool mIsStopping = false;
  std::int64_t mSeenRevision = 0;
  std::map<identity, pending_resource> mPending;
  platform::token_bucket mBucket;
  std::thread mThread;
};

} // namespace lavender::configuration
