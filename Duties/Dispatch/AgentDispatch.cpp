#include "Duties/Dispatch/AgentDispatch.h"

#include "Libraries/Core/Log.h"

namespace lavender::dispatch {
namespace {

using wire::run_state;
using namespace std::chrono_literals;

bool
IsOver(run_state::type aState)
{
  return aState != run_state::QUEUED && aState != run_state::RUNNING;
}

} // namespace

agent_dispatch::agent_dispatch(std::string aIncarnation,
                               ledger_limits aLimits,
                               backend_server aServer,
                               run_observer aObserver)
  : mServer(std::move(aServer))
  , mObserver(std::move(aObserver))
  , mLedger(MakeLedger(std::move(aIncarnation), aLimits))
{
  for (std::size_t i = 0; i < aLimits.mSlots; ++i) {
    mSlots.emplace_back([this] { RunSlot(); });
  }
}

agent_dispatch::~agent_dispatch()
{
  Stop();
}

wire::dispatch_reply
agent_dispatch::Dispatch(const wire::dispatch_order& aOrder, milliseconds aWait)
{
  std::unique_lock lock(mMutex);
  const auto answer = Admit(mLedger, aOrder, boot_clock::now());
  mChanged.notify_all();
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
agent_dispatch::Cancel(const std::string& aId)
{
  ledger_answer answer;
  {
    std::lock_guard lock(mMutex);
    answer = dispatch::Cancel(mLedger, aId, boot_clock::now());
  }
  mChanged.notify_all();
  if (answer.mState == run_state::RUNNING &&
      mServer.mKind == backend_kind::Engine) {
    CancelOnServer(mServer, aId);
  }
  std::lock_guard lock(mMutex);
  return Describe(aId, answer);
}

wire::dispatch_reply
agent_dispatch::WaitForEnd(std::unique_lock<std::mutex>& aLock,
                           const std::string& aId,
                           ledger_answer aAnswer,
                           milliseconds aWait)
{
  const auto end = boot_clock::now() + aWait;
  while (!IsOver(aAnswer.mState) && !mIsStopping) {
    const auto now = boot_clock::now();
    if (now >= end) {
      break;
    }
    mChanged.wait_for(aLock, end - now);
    aAnswer = Ask(mLedger, aId, boot_clock::now());
  }
  return Describe(aId, aAnswer);
}

wire::dispatch_reply
agent_dispatch::Describe(const std::string& aId,
                         const ledger_answer& aAnswer) const
{
  wire::dispatch_reply reply;
  reply.echo = aId;
  reply.agent_incarnation = mLedger.mIncarnation;
  reply.state = aAnswer.mState;
  reply.reason = aAnswer.mReason;
  reply.retry_after_ms = aAnswer.mRetryAfter.count();
  reply.draining = mLedger.mIsDraining;
  if (aAnswer.mState == run_state::FINISHED) {
    reply.__set_result(mLedger.mRows.at(aId).mResult);
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
      mChanged.wait_for(lock, 500ms);
      Sweep(mLedger, boot_clock::now());
      continue;
    }
    const auto left = std::chrono::duration_cast<milliseconds>(
      mLedger.mRows.at(order->request_id).mDeadline - boot_clock::now());
    lock.unlock();
    auto run = RunOnServer(mServer, *order, std::max(left, milliseconds(1)));
    if (run.mState == run_state::FINISHED) {
      mObserver(*order, run.mResult);
    } else {
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
    mChanged.notify_all();
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
agent_dispatch::RequestsLeft() const
{
  std::lock_guard lock(mMutex);
  return mLedger.mQueue.mSize + mLedger.mRunning;
}

wire::load_figures
agent_dispatch::Load() const
{
  std::lock_guard lock(mMutex);
  wire::load_figures figures;
  figures.queued = static_cast<std::int32_t>(mLedger.mQueue.mSize);
  figures.running = static_cast<std::int32_t>(mLedger.mRunning);
  figures.slots = static_cast<std::int32_t>(mLedger.mLimits.mSlots);
  figures.tokens_per_second = admission::DrainRate(mLedger.mQueue);
  figures.queue_delay_ms = static_cast<double>(
    admission::QueueDelay(mLedger.mQueue, mLedger.mRunningCost).count());
  return figures;
}

void
agent_dispatch::Stop()
{
  {
    std::lock_guard lock(mMutex);
    mIsStopping = true;
    mLedger.mIsDraining = true;
  }
  mChanged.notify_all();
  for (auto& slot : mSlots) {
    if (slot.joinable()) {
      slot.join();
    }
  }
}

} // namespace lavender::dispatch
