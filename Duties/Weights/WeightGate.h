#pragma once

#include "Duties/Dispatch/BackendServer.h"
#include "Duties/Weights/VersionTracker.h"
#include "Libraries/Core/BoundedRing.h"
#include "Libraries/Metrics/Metrics.h"

#include <atomic>
#include <mutex>
#include <thread>

namespace lavender::weights {

/** Operation name of a dispatch order that generates a sample. */
constexpr const char* kSampleOperation = "sample";

/** Access of the agent to its backend server. Reads the server's weight version
 * before and after each sample's run, and executes one swap order at a time.
 * Thread-safe; the mutex is never held during a call to the server. */
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

  /** Runs an order on the server. The result of a sample names the versions
   * that produced it, or why they are unknown. A sample isn't run when the
   * server's weights are unknown or older than the order allows. */
  dispatch::backend_run Run(const wire::dispatch_order& aOrder,
                            milliseconds aTimeout);

  /** Queues a swap order or refuses it, without waiting. A background thread
   * executes the order, so that a process that sends 1,200 orders waits for
   * none of the loads; the agent's report contains the result. */
  wire::swap_reply QueueSwap(const wire::swap_order& aOrder);
  /** Executes a swap order and returns the version that the server holds after
   * it. */
  wire::swap_reply Swap(const wire::swap_order& aOrder);
  /** Joins the background thread after the order in progress. */
  void Stop();

  /** Reads the server's version and records it. */
  weight_version Refresh();

private:
  void SwapLoop();
  std::string FindRefusal(const wire::swap_order& aOrder);
  dispatch::backend_run RunSample(const wire::dispatch_order& aOrder,
                                  milliseconds aTimeout);
  weight_version Read(std::uint64_t& aEvents);
  void ApplyLabel(const version_label& aLabel, wire::run_result& aResult);

  const dispatch::backend_server mServer;
  const std::string mIncarnation;
  metrics::registry& mMetrics;
  /** Limits the warning about wrong reports to one line per process, since such
   * a server repeats the error. */
  std::atomic<bool> mHasWarned{ false };
  std::mutex mMutex;
  version_tracker mTracker;
  /** Held while an order is executed, so that orders run one at a time. */
  std::mutex mSwapMutex;
  bounded_ring<wire::swap_order> mOrders{ 1 };
  std::thread mSwapThread;
};

} // namespace lavender::weights
