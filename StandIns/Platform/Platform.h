#pragma once

#include "Libraries/Http/Router.h"
#include "StandIns/Platform/ObjectStore.h"

#include <atomic>
#include <deque>
#include <mutex>
#include <set>
#include <string>

namespace lavender::standin {

/** Faults that a test or experiment switches on with POST /control/faults. */
struct platform_faults
{
  /** Every call fails at once with status 503. */
  bool mIsUnavailable = false;
  /** Delay before every call is handled. */
  std::chrono::milliseconds mResponseDelay{ 0 };
  /** Number of following writes that take effect but return status 500. */
  int mLostResponses = 0;
  /** Number of following usage reports that are stored but return status 500.
   * Counted separately, so that other writes don't use them up. */
  int mLostUsageResponses = 0;
  /** Callers that get no response before their timeout. */
  std::set<std::string> mUnresponsiveCallers;
  /** Delay between the receipt of a zone order or usage report and its
   * handling. */
  std::chrono::milliseconds mOrderDelay{ 0 };
  /** Callers whose lists and watches show the state at the time when this fault
   * was set.
   */
  std::set<std::string> mSnapshotCallers;
  /** Zone orders with outdated fencing numbers are accepted. */
  bool mIgnoresFencing = false;
  /** Delay until the instance list shows a change. */
  std::chrono::milliseconds mListLag{ 0 };
};

/** A request received on the order, usage or weight interface. */
struct platform_log_line
{
  std::int64_t mSequence = 0;
  std::string mInterface;
  std::string mCaller;
  json::value mDetail;
  /** Time of receipt by CLOCK_BOOTTIME. */
  std::chrono::milliseconds mArrivedAt{ 0 };
};

/** Simulates the platform: object store, instance list, zone orders, usage
 * reports and weight store. Records the requests that it received. */
class platform
{
public:
  platform();

  http::response Serve(const http::request& aRequest);

private:
  struct instance_list_state
  {
    std::chrono::steady_clock::time_point mAt;
    json::value mList;
  };

  void AddObjectRoutes();
  void AddInterfaceRoutes();
  void AddControlRoutes();
  void RecordReceivedBytes(const http::request& aRequest);
  std::optional<http::response> ApplyFaults(const http::request& aRequest);
  std::optional<http::response> RespondFromSnapshot(
    const http::request& aRequest);
  http::response RespondToWrite(const write_result& aResult,
                                const std::string& aKind,
                                const std::string& aName);
  http::response HandleOrder(const http::request& aRequest,
                             const std::string& aZone);
  /** Returns the stored lease of that name, or null. */
  json::value LeaseOf(const std::string& aName) const;
  void ApplyOrderDelay();
  http::response HandleUsage(const http::request& aRequest,
                             const std::string& aWindow);
  http::response SetFaults(const http::request& aRequest);
  json::value VisibleInstances();
  void Record(const std::string& aInterface,
              const http::request& aRequest,
              json::value aDetail);

  http::router mRouter;
  object_store mStore;
  std::mutex mMutex;
  platform_faults mFaults;
  std::vector<platform_log_line> mLog;
  std::deque<instance_list_state> mInstanceLists;
  std::map<std::string, std::int64_t> mHighestFencing;
  std::set<std::string> mOrderIds;
  std::map<std::string, json::value> mUsage;
  std::map<std::string, std::int64_t> mCalls;
  /** Bytes of all requests except control requests, up to a limit. */
  std::string mReceived;
};

} // namespace lavender::standin
