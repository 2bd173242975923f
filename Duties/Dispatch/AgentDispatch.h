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

/** Called for billing after each run for which the server sent a response. */
using run_observer =
  std::function<void(const wire::dispatch_order&, wire::run_result&)>;

/** Runs one order on the server and blocks until the run has ended. */
using server_runner =
  std::function<backend_run(const wire::dispatch_order&, milliseconds)>;

/** Runs the orders in the agent's ledger on the server, with one thread for
 * each of the server's slots. */
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

  /** Admits or refuses an order, and waits at most aWait for its end. */
  wire::dispatch_reply Dispatch(const wire::dispatch_order& aOrder,
                                milliseconds aWait);
  /** Waits at most aWait for a request's end, and returns its state. */
  wire::dispatch_reply Await(const std::string& aId, milliseconds aWait);
  wire::dispatch_reply Cancel(const std::string& aId, time_point aIssuedAt);

  /** Starts a graceful drain: new orders are refused as "not run". */
  void StartDrain();
  bool IsDraining() const;
  /** Requests queued or running. */
  std::size_t PendingRequestCount() const;
  wire::load_figures Load() const;
  /** Customers with requests at this agent.
   * @param aEntry incarnation of the entry whose own requests are counted
   *   separately */
  std::vector<wire::customer_load> CustomerLoads(
    const std::string& aEntry) const;
  /** Refuses queued requests as "not run", waits until the running ones have
   * ended and entries have had time to fetch the outcomes, and joins the
   * threads. */
  void Stop();

private:
  void RunSlot();
  /** Queues a cancel of a running request for the cancel thread. */
  void QueueServerCancel(const std::string& aId);
  void RunCancelLoop();
  void WaitUntilFetched();
  wire::dispatch_reply MakeReply(const std::string& aId,
                                 const request_status& aStatus);
  wire::dispatch_reply WaitForEnd(std::unique_lock<std::mutex>& aLock,
                                  const std::string& aId,
                                  request_status aStatus,
                                  milliseconds aWait);

  const backend_server mServer;
  const run_observer mObserver;
  const server_runner mRunner;
  mutable std::mutex mMutex;
  /** A request was queued, or the process is stopping. */
  std::condition_variable mWorkAvailable;
  std::condition_variable mRequestEnded;
  ledger mLedger;
  bool mIsStopping = false;
  std::vector<std::thread> mSlots;
  /** Ids of running requests for which the server has yet to be told to stop.
   */
  bounded_ring<std::string> mPendingCancels{ 256 };
  std::thread mCancelThread;
};

} // namespace lavender::dispatch
