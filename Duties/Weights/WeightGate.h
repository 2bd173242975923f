#pragma once

#include "Duties/Dispatch/BackendServer.h"
#include "Duties/Weights/VersionTracker.h"
#include "Libraries/Core/BoundedRing.h"
#include "Libraries/Metrics/Metrics.h"

#include <atomic>
#include <mutex>
#include <thread>

namespace lavender::weights {

/** Operation name of an order that makes a sample. */
constexpr const char* kSampleOperation = "sample";

/** Stands between the agent and its server: brackets each sample's run with
 * reads of the version that the server holds, and lets one swap order through
 * at a time. Safe to use from any thread; no read or run is made under the
 * lock. */
class versioned_backend
{
public:
  versioned_backend(dispatch::backend_server aServer,
                    std::string aIncarnation,
                    tracker_limits aLimits,
                    metrics::registry& aMetrics);
  ~versioned_backend();
  versioned_backend(const versioned_backend&) = delete;
  versioned_backend& operator=(const versioned_backend&) = delete;

  /** Runs an order on the server. A sample's result names the versions that
   * truly produced it, or why they aren't known. A server whose weights are
   * older than the order allows doesn't run it. */
  dispatch::backend_run Run(const wire::dispatch_order& aOrder,
                            milliseconds aTimeout);

  /** Takes a swap order, or refuses it, at once. A thread of the gate carries
   * it out, so that whoever gives 1,200 orders waits for none of the loads;
   * what became of it shows in the agent's report. */
  wire::swap_reply QueueSwap(const wire::swap_order& aOrder);
  /** Carries an order out and says what the server truly holds then. */
  wire::swap_reply Swap(const wire::swap_order& aOrder);
  /** Ends the thread after the order under way. */
  void Stop();

  /** Asks the server what it holds. */
  weight_version Refresh();

private:
  void SwapLoop();
  std::string FindRefusal(const wire::swap_order& aOrder);
  dispatch::backend_run RunSample(const wire::dispatch_order& aOrder,
                                  milliseconds aTimeout);
  weight_version Read(std::uint64_t& aEvents);
  void TakeLabel(const version_label& aLabel, wire::run_result& aResult);

  const dispatch::backend_server mServer;
  const std::string mIncarnation;
  metrics::registry& mMetrics;
  /** A server that lies does so often: one line is enough. */
  std::atomic<bool> mHasWarned{ false };
  std::mutex mMutex;
  version_tracker mTracker;
  /** Held while an order is under way, so that orders go one by one. */
  std::mutex mSwapMutex;
  bounded_ring<wire::swap_order> mOrders{ 1 };
  std::thread mSwapper;
};

} // namespace lavender::weights
