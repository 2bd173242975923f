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
  /** Entries that can be heard, this one among them. */
  std::function<std::vector<std::string>()> mEntries;
  std::function<status_inputs()> mFacts;
  milliseconds mCheckInterval{ 1000 };
  /** A resource's status is written at most this often. */
  milliseconds mWriteEvery{ 5000 };
  /** Status writes of this process; they must never crowd out leases. */
  double mWritesPerSecond = 5;
};

/** Writes what operators see of each resource, in a thread of its own. */
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
    held_resource mResource;
    std::optional<time_point> mWrittenAt;
  };

  void Loop();
  void TakeChanges();
  void TakeAll();
  void WriteDue(time_point aNow);
  bool WriteStatus(pending_resource& aPending, json::value aStatus);

  const status_options mOptions;
  configuration_store& mStore;
  std::mutex mMutex;
  std::condition_variable mStopped;
  bool mIsStopping = false;
  std::int64_t mSeen = 0;
  std::map<identity, pending_resource> mPending;
  platform::token_bucket mBucket;
  std::thread mThread;
};

} // namespace lavender::configuration
