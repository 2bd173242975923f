#include "Duties/Weights/WeightGate.h"

#include "Libraries/Core/Log.h"

namespace lavender::weights {
namespace {

using wire::run_state;

std::vector<version_part>
ToClaim(const std::vector<wire::weight_part>& aParts)
{
  std::vector<version_part> claim;
  for (const auto& part : aParts) {
    claim.push_back({ part.version, part.tokens });
  }
  return claim;
}

dispatch::backend_run
RefuseRun(const std::string& aReason)
{
  dispatch::backend_run refused;
  refused.mState = run_state::NOT_RUN;
  refused.mReason = aReason;
  return refused;
}

} // namespace

versioned_backend::versioned_backend(dispatch::backend_server aServer,
                                     std::string aIncarnation,
                                     tracker_limits aLimits,
                                     metrics::registry& aMetrics)
  : mServer(std::move(aServer))
  , mIncarnation(std::move(aIncarnation))
  , mMetrics(aMetrics)
{
  mTracker.mLimits = aLimits;
  mTracker.mStartedAt = boot_clock::now();
  mSwapper = std::thread([this] { SwapLoop(); });
}

versioned_backend::~versioned_backend()
{
  Stop();
}

void
versioned_backend::Stop()
{
  mOrders.Close();
  if (mSwapper.joinable()) {
    mSwapper.join();
  }
}

void
versioned_backend::SwapLoop()
{
  while (!mOrders.IsClosed()) {
    if (const auto order = mOrders.Pop(std::chrono::seconds(1))) {
      Swap(*order);
    }
  }
}

weight_version
versioned_backend::Read(std::uint64_t& aEvents)
{
  {
    std::lock_guard lock(mMutex);
    aEvents = mTracker.mEvents;
  }
  const auto held = dispatch::ReadLoadedWeights(mServer);
  return { held.mModel, held.mVersion };
}

weight_version
versioned_backend::Refresh()
{
  std::uint64_t events = 0;
  const auto held = Read(events);
  std::lock_guard lock(mMutex);
  TakeRead(mTracker, held, events, boot_clock::now());
  return held;
}

dispatch::backend_run
versioned_backend::Run(const wire::dispatch_order& aOrder,
                       milliseconds aTimeout)
{
  return mServer.mKind == dispatch::backend_kind::Engine &&
             aOrder.operation == kSampleOperation
           ? RunSample(aOrder, aTimeout)
           : dispatch::RunOnServer(mServer, aOrder, aTimeout);
}

dispatch::backend_run
versioned_backend::RunSample(const wire::dispatch_order& aOrder,
                             milliseconds aTimeout)
{
  std::uint64_t run = 0;
  {
    std::lock_guard lock(mMutex);
    run = StartRun(mTracker, boot_clock::now());
  }
  std::uint64_t events = 0;
  const auto before = Read(events);
  {
    std::lock_guard lock(mMutex);
    TakeBefore(mTracker, run, before, events, boot_clock::now());
  }
  const bool isKnown = before.IsKnown();
  if (!isKnown || before.mVersion < aOrder.oldest_weight_version) {
    std::lock_guard lock(mMutex);
    DropRun(mTracker, run);
    return RefuseRun(isKnown ? "weights_too_old" : "weights_not_known");
  }
  auto ended = dispatch::RunOnServer(mServer, aOrder, aTimeout);
  if (ended.mState != run_state::FINISHED || ended.mResult.http_status != 200) {
    std::lock_guard lock(mMutex);
    DropRun(mTracker, run);
    return ended;
  }
  const auto after = Read(events);
  version_label label;
  {
    std::lock_guard lock(mMutex);
    const auto now = boot_clock::now();
    label = EndRun(mTracker,
                   run,
                   after,
                   ToClaim(ended.mResult.versions),
                   ended.mResult.completion_tokens,
                   now);
    TakeRead(mTracker, after, events, now);
  }
  TakeLabel(label, ended.mResult);
  return ended;
}

void
versioned_backend::TakeLabel(const version_label& aLabel,
                             wire::run_result& aResult)
{
  aResult.versions.clear();
  aResult.model = aLabel.mModel;
  aResult.version_reason = aLabel.mReason;
  for (const auto& part : aLabel.mParts) {
    wire::weight_part named;
    named.version = part.mVersion;
    named.tokens = part.mTokens;
    aResult.versions.push_back(named);
  }
  if (aLabel.mParts.empty()) {
    mMetrics.Count("lavender_agent_versions_unknown_total",
                   { { "reason", aLabel.mReason } });
  }
  if (aLabel.mIsClaimWrong) {
    mMetrics.Count("lavender_agent_wrong_accounts_total", {});
    if (!mHasWarned.exchange(true)) {
      Log(log_level::Warning,
          "weights",
          "The server names versions that it doesn't hold.");
    }
  }
}

/** What keeps an order from being taken; the order itself isn't opened. */
std::string
versioned_backend::FindRefusal(const wire::swap_order& aOrder)
{
  if (!aOrder.agent_incarnation.empty() &&
      aOrder.agent_incarnation != mIncarnation) {
    return "other_incarnation";
  }
  std::lock_guard lock(mMutex);
  return aOrder.fencing < mTracker.mHighestFencing ? "old_fencing_number" : "";
}

wire::swap_reply
versioned_backend::QueueSwap(const wire::swap_order& aOrder)
{
  wire::swap_reply reply;
  reply.echo = aOrder.echo;
  reply.reason = FindRefusal(aOrder);
  {
    std::lock_guard lock(mMutex);
    reply.holds_version = mTracker.mHeld.mVersion;
    reply.done =
      reply.reason.empty() && !mTracker.mOpen &&
      mTracker.mHeld == weight_version{ aOrder.model, aOrder.version };
  }
  auto queued = aOrder;
  if (reply.reason.empty() && !reply.done && !mOrders.TryPush(queued)) {
    reply.reason = "swap_under_way";
  }
  if (!reply.reason.empty()) {
    mMetrics.Count("lavender_agent_swaps_refused_total",
                   { { "reason", reply.reason } });
  }
  return reply;
}

wire::swap_reply
versioned_backend::Swap(const wire::swap_order& aOrder)
{
  wire::swap_reply reply;
  reply.echo = aOrder.echo;
  const weight_version target{ aOrder.model, aOrder.version };
  std::lock_guard oneByOne(mSwapMutex);
  const auto held = Refresh();
  reply.holds_version = held.mVersion;
  {
    std::lock_guard lock(mMutex);
    reply.reason =
      !aOrder.agent_incarnation.empty() &&
          aOrder.agent_incarnation != mIncarnation
        ? "other_incarnation"
        : OpenSwap(mTracker, target, held, aOrder.fencing, boot_clock::now());
  }
  if (reply.reason == "already_held") {
    reply.reason.clear();
    reply.done = true;
    return reply;
  }
  if (!reply.reason.empty()) {
    mMetrics.Count("lavender_agent_swaps_refused_total",
                   { { "reason", reply.reason } });
    return reply;
  }
  const auto failure = dispatch::RequestWeightLoad(
    mServer, aOrder.model, aOrder.version, aOrder.fencing);
  const auto answer = failure.empty()          ? swap_answer::Done
                      : failure == "no_answer" ? swap_answer::NoAnswer
                                               : swap_answer::Failed;
  // Whatever the answer says: only the server knows what it holds now.
  std::uint64_t events = 0;
  const auto now = Read(events);
  {
    std::lock_guard lock(mMutex);
    CloseSwap(mTracker, answer, now, boot_clock::now());
  }
  reply.holds_version = now.mModel == aOrder.model ? now.mVersion : 0;
  reply.done = now == target;
  reply.reason = reply.done ? "" : failure.empty() ? "swap_late" : failure;
  mMetrics.Count("lavender_agent_swaps_total",
                 { { "result", reply.done ? "done" : reply.reason } });
  return reply;
}

} // namespace lavender::weights
