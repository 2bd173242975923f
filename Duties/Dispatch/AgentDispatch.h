#pragma once

#include "Duties/Dispatch/BackendServer.h"
#include "Duties/Dispatch/Ledger.h"
#include "Libraries/Core/BoundedRing.h"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace lavender::dispatch {

/** Told after each run that the server answered, for billing. */
using run_observer =
  std::function<void(const wire::dispatch_order&, wire::run_result&)>;

/** Runs one order on the server and waits for its end. */
using server_runner =
  std::function<backend_run(const wire::dispatch_order&, milliseconds)>;

/** Runs the ledger with real threads: one for each slot of the server. */
class agent_dispatch
{
public:
  agent_dispatch(std::string aIncarnation,
                 ledger_limits aLimits,
                 backend_server aServer,
                 run_observer aObserver,
                 server_runner aRunner = {});
  ~agent_dispatch();
  agent_dispatch(const agent_dispatch&) = delete;
  agent_dispatch& operator=(const agent_dispatch&) = delete;

  /** Takes an order in and waits at most that long for its end. */
  wire::dispatch_reply Dispatch(const wire::dispatch_order& aOrder,
                                milliseconds aWait);
  /** Waits at most that long for a request's end and tells its state. */
  wire::dispatch_reply Await(const std::string& aId, milliseconds aWait);
  wire::dispatch_reply Cancel(const std::string& aId, time_point aIssuedAt);

  /** From now on new orders are refused as "not run". */
  void StartDrain();
  bool IsDraining() const;
  /** Requests queued or running. */
  std::size_t PendingRequestCount() const;
  wire::load_figures Load() const;
  /** Customers with requests here, as the entry of that incarnation is told. */
  std::vector<wire::customer_load> CustomerLoads(
    const std::string& aEntry) const;
  /** Refuses queued requests as "not run", waits for the running ones and for
   * the entries that fetch their ends, and ends the threads. */
  void Stop();

private:
  void RunSlot();
  /** Has the server told to stop working on a request. */
  void StopOnServer(const std::string& aId);
  void CancelLoop();
  void WaitUntilFetched();
  wire::dispatch_reply Describe(const std::string& aId,
                                const ledger_answer& aAnswer);
  wire::dispatch_reply WaitForEnd(std::unique_lock<std::mutex>& aLock,
                                  const std::string& aId,
                                  ledger_answer aAnswer,
                                  milliseconds aWait);

  const backend_server mServer;
  const run_observer mObserver;
  const server_runner mRunner;
  mutable std::mutex mMutex;
  /** Work for a slot came, or the process ends. */
  std::condition_variable mWorkCame;
  /** A request ended. */
  std::condition_variable mEnded;
  ledger mLedger;
  bool mIsStopping = false;
  std::vector<std::thread> mSlots;
  /** Running requests that the server is asked to stop. */
  bounded_ring<std::string> mToCancel{ 256 };
  std::thread mCanceller;
};

} // namespace lavender::dispatch
