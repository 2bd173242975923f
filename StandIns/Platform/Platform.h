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
  /** Every call is answered with 503 at once. */
  bool mIsDown = false;
  /** Every call is answered this much later. */
  std::chrono::milliseconds mSlowness{ 0 };
  /** That many writes take effect and answer 500. */
  int mLostAnswers = 0;
  /** That many usage reports are taken and answered 500; kept apart, so that
   * other writes don't use them up. */
  int mLostUsageAnswers = 0;
  /** Callers that get no answer. */
  std::set<std::string> mCutCallers;
  /** Zone orders and usage reports are taken up this much after their bytes
   * came. */
  std::chrono::milliseconds mOrderSlowness{ 0 };
  /** Callers whose lists and watches show the state at the time of the order.
   */
  std::set<std::string> mOldCopyCallers;
  /** Zone orders with old fencing numbers are carried out. */
  bool mIgnoresFencing = false;
  /** The instance list shows changes that much later. */
  std::chrono::milliseconds mListLag{ 0 };
};

/** What the platform received on its order, usage and weight interfaces. */
struct platform_log_line
{
  std::int64_t mSequence = 0;
  std::string mInterface;
  std::string mCaller;
  json::value mDetail;
  /** CLOCK_BOOTTIME. */
  std::chrono::milliseconds mArrivedAt{ 0 };
};

/** The whole platform: objects, instance list, zone orders, usage intake and
 * weight store, with an account of all that it received. */
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
  void Keep(const http::request& aRequest);
  std::optional<http::response> ApplyFaults(const http::request& aRequest);
  std::optional<http::response> AnswerFromOldCopy(
    const http::request& aRequest);
  http::response AnswerWrite(const store_outcome& aOutcome,
                             const std::string& aKind,
                             const std::string& aName);
  http::response TakeOrder(const http::request& aRequest,
                           const std::string& aZone);
  /** Lease that the store holds for the orders of a zone. */
  json::value LeaseOf(const std::string& aName) const;
  void WaitAsSlowOrder();
  http::response TakeUsage(const http::request& aRequest,
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
  /** Bytes of all requests but control ones, up to a limit. */
  std::string mReceived;
};

} // namespace lavender::standin
