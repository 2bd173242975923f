#include "Duties/Dispatch/AgentDispatch.h"

#include "Duties/Dispatch/AttemptDecision.h"
#include "Libraries/Core/Log.h"

namespace lavender::dispatch {
namespace {

using wire::run_state;
using namespace std::chrono_literals;

/** By how much a wait may end before its time. */
constexpr milliseconds kTimerSlack = 5ms;

bool
IsOver(run_state::type aState)
{
  return aState != run_state::QUEUED && aState != run_state::RUNNING;
}

} // namespace

agent_dispatch::agent_dispatch(std::string aIncarnation,
                               ledger_limits aLimits,
                               backend_server aServer,
                               run_observer aObserver,
                               server_runner aRunner)
  : mServer(std::move(aServer))
  , mObserver(std::move(aObserver))
  , mRunner(std::move(aRunner))
{
  mLedger.mIncarnation = std::move(aIncarnation);
  mLedger.mLimits = aLimits;
  for (std::size_t i = 0; i < aLimits.mSlots; ++i) {
    mSlots.emplace_back([this] { RunSlot(); });
  }
  mCanceller = std::thread([this] { CancelLoop(); });
}

agent_dispatch::~agent_dispatch()
{
  Stop();
}

wire::dispatch_reply
agent_dispatch::Dispatch(const wire::dispatch_order& aOrder, milliseconds aWait)
{
  std::unique_lock lock(mMutex);
  const auto refused = mLedger.mRefused.size();
  const auto answer = Admit(mLedger, aOrder, boot_clock::now());
  if (answer.mState == run_state::QUEUED) {
    mWorkCame.notify_one();
  }
  if (mLedger.mRefused.size() != refused) {
    // Another request may have made room; its entry hears so at once.
    mEnded.notify_all();
  }
  return WaitForEnd(lock, aOrder.request_id, answer, aWait);
}

wire::dispatch_reply
agent_dispatch::Await(const std::string& aId, milliseconds aWait)
{
  std::unique_lock lock(mMutex);
  const auto answer = Ask(mLedger, aId, boot_clock::now());
  return WaitForEnd(lock, aId, answer, aWait);
}

wire::dispatch_reply
agent_dispatch::Cancel(const std::string& aId, time_point aIssuedAt)
{
  std::lock_guard lock(mMutex);
  const auto answer =
    dispatch::Cancel(mLedger, aId, aIssuedAt, boot_clock::now());
  if (answer.mState == run_state::RUNNING) {
    StopOnServer(aId);
  }
  mEnded.notify_all();
  return Describe(aId, answer);
}

void
agent_dispatch::StopOnServer(const std::string& aId)
{
  if (mServer.mKind == backend_kind::Engine) {
    // A thread of its own tells the server, since a slow server must not hold
    // back the answer that the entry waits for.
    std::string id = aId;
    mToCancel.TryPush(id);
  }
}

void
agent_dispatch::CancelLoop()
{
  while (!mToCancel.IsClosed()) {
    if (const auto id = mToCancel.Pop(1000ms)) {
      CancelOnServer(mServer, *id);
    }
  }
}

wire::dispatch_reply
agent_dispatch::WaitForEnd(std::unique_lock<std::mutex>& aLock,
                           const std::string& aId,
                           ledger_answer aAnswer,
                           milliseconds aWait)
{
  const auto end = boot_clock::now() + aWait;
  while (!IsOver(aAnswer.mState)) {
    const auto now = boot_clock::now();
    if (now >= end) {
      break;
    }
    mEnded.wait_for(aLock, end - now);
    aAnswer = Ask(mLedger, aId, boot_clock::now());
  }
  return Describe(aId, aAnswer);
}

wire::dispatch_reply
agent_dispatch::Describe(const std::string& aId, const ledger_answer& aAnswer)
{
  wire::dispatch_reply reply;
  reply.echo = aId;
  reply.agent_incarnation = mLedger.mIncarnation;
  reply.state = aAnswer.mState;
  reply.reason = aAnswer.mReason;
  reply.draining = mLedger.mIsDraining;
  if (aAnswer.mState == run_state::NOT_RUN) {
    reply.retry_after_ms =
      std::max(aAnswer.mRetryAfter, EstimateQueueDelay(mLedger)).count();
  }
  if (const auto row = mLedger.mRows.find(aId); row != mLedger.mRows.end()) {
    if (aAnswer.mState == run_state::FINISHED) {
      reply.__set_result(row->second.mResult);
    }
  }
  reply.load.queued = static_cast<std::int32_t>(mLedger.mQueue.mSize);
  reply.load.running = static_cast<std::int32_t>(mLedger.mRunning);
  reply.load.slots = static_cast<std::int32_t>(mLedger.mLimits.mSlots);
  return reply;
}

void
agent_dispatch::RunSlot()
{
  std::unique_lock lock(mMutex);
  while (!mIsStopping) {
    const auto order = TakeNext(mLedger, boot_clock::now());
    if (!order) {
      // Wakes now and then so that abandoned and late requests are dropped.
      mWorkCame.wait_for(lock, 500ms);
      Sweep(mLedger, boot_clock::now());
      continue;
    }
    const auto deadline = mLedger.mRows.at(order->request_id).mDeadline;
    const auto left =
      std::chrono::duration_cast<milliseconds>(deadline - boot_clock::now());
    lock.unlock();
    const auto timeout = std::max(left, milliseconds(1));
    auto run = mRunner ? mRunner(*order, timeout)
                       : RunOnServer(mServer, *order, timeout);
    if (run.mState == run_state::FINISHED) {
      mObserver(*order, run.mResult);
    } else {
      if (run.mState == run_state::OUTCOME_UNKNOWN) {
        // The server doesn't notice that nobody waits any more.
        StopOnServer(order->request_id);
        const bool isLate = boot_clock::now() + kTimerSlack >= deadline;
        run.mReason = isLate ? kDeadline : run.mReason;
      }
      Log(log_level::Warning,
          "dispatch",
          "Run ended without an answer: " + run.mReason,
          order->request_id);
    }
    lock.lock();
    Finish(mLedger,
           order->request_id,
           run.mState,
           run.mReason,
           std::move(run.mResult),
           boot_clock::now());
    mEnded.notify_all();
  }
}

void
agent_dispatch::StartDrain()
{
  std::lock_guard lock(mMutex);
  mLedger.mIsDraining = true;
}

bool
agent_dispatch::IsDraining() const
{
  std::lock_guard lock(mMutex);
  return mLedger.mIsDraining;
}

std::size_t
agent_dispatch::PendingRequestCount() const
{
  std::lock_guard lock(mMutex);
  return mLedger.mQueue.mSize + mLedger.mRunning;
}

std::vector<wire::customer_load>
agent_dispatch::CustomerLoads(const std::string& aEntry) const
{
  std::lock_guard lock(mMutex);
  return dispatch::CustomerLoads(mLedger, aEntry);
}

wire::load_figures
agent_dispatch::Load() const
{
  std::lock_guard lock(mMutex);
  wire::load_figures figures;
  figures.queued = static_cast<std::int32_t>(mLedger.mQueue.mSize);
  figures.running = static_cast<std::int32_t>(mLedger.mRunning);
  figures.slots = static_cast<std::int32_t>(mLedger.mLimits.mSlots);
  figures.tokens_per_second = admission::MeasuredThroughput(mLedger.mQueue);
  figures.queue_delay_ms = static_cast<double>(
    admission::QueueDelay(mLedger.mQueue, mLedger.mRunningCost).count());
  return figures;
}

void
agent_dispatch::Stop()
{
  {
    std::lock_guard lock(mMutex);
    if (mIsStopping) {
      return;
    }
    mIsStopping = true;
    mLedger.mIsDraining = true;
    RefuseQueued(mLedger, "draining", boot_clock::now());
  }
  mWorkCame.notify_all();
  mEnded.notify_all();
  for (auto& slot : mSlots) {
    slot.join();
  }
  mToCancel.Close();
  mCanceller.join();
  WaitUntilFetched();
}

void
agent_dispatch::WaitUntilFetched()
{
  const auto mayBeAsked = [this] {
    std::lock_guard lock(mMutex);
    return MayBeAskedForEnd(mLedger, boot_clock::now());
  };
  while (mayBeAsked()) {
    std::this_thread::sleep_for(20ms);
  }
}

} // namespace lavender::dispatch
