#include "Duties/Weights/WeightGate.h"

#include "Libraries/Core/Log.h"

namespace lavender::weights {
namespace {

using wire::run_state;

std::vector<version_part>
ToVersionParts(const std::vector<wire::weight_part>& aParts)
{
  std::vector<version_part> parts;
  for (const auto& part : aParts) {
    parts.push_back({ part.version, part.tokens });
  }
  return parts;
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
  mSwapThread = std::thread([this] { SwapLoop(); });
}

versioned_backend::~versioned_backend()
{
  Stop();
}

void
versioned_backend::Stop()
{
  mOrders.Close();
  if (mSwapThread.joinable()) {
    mSwapThread.join();
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
  ApplyRead(mTracker, held, events, boot_clock::now());
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
    RecordVersionBefore(mTracker, run, before, events, boot_clock::now());
  }
  const bool isKnown = before.IsKnown();
  if (!isKnown || before.mVersion < aOrder.oldest_weight_version) {
    std::lock_guard lock(mMutex);
    DropRun(mTracker, run);
    return RefuseRun(isKnown ? "weights_too_old" : "weights_not_known");
  }
  auto backendRun = dispatch::RunOnServer(mServer, aOrder, aTimeout);
  if (backendRun.mState != run_state::FINISHED ||
      backendRun.mResult.http_status != 200) {
    std::lock_guard lock(mMutex);
    DropRun(mTracker, run);
    return backendRun;
  }
  const auto after = Read(events);
  version_label label;
  {
    std::lock_guard lock(mMutex);
    const auto now = boot_clock::now();
    label = EndRun(mTracker,
                   run,
                   after,
                   ToVersionParts(backendRun.mResult.versions),
                   backendRun.mResult.completion_tokens,
                   now);
    ApplyRead(mTracker, after, events, now);
  }
  ApplyLabel(label, backendRun.mResult);
  return backendRun;
}

void
versioned_backend::ApplyLabel(const version_label& aLabel,
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
  if (aLabel.mIsReportWrong) {
    mMetrics.Count("lavender_agent_wrong_accounts_total", {});
    if (!mHasWarned.exchange(true)) {
      Log(log_level::Warning,
          "weights",
          "The server reported weight versions that it doesn't hold.");
    }
  }
}

/** Returns the reason to refuse an order, or an empty string. Doesn't open the
 * order. */
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
  std::lock_guard swapLock(mSwapMutex);
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
  const auto result = failure.empty()          ? swap_result::Done
                      : failure == "no_answer" ? swap_result::NoResponse
                                               : swap_result::Failed;
  // The response isn't proof; only a read shows which version the server holds.
  std::uint64_t events = 0;
  const auto now = Read(events);
  {
    std::lock_guard lock(mMutex);
    CloseSwap(mTracker, result, now, boot_clock::now());
  }
  reply.holds_version = now.mModel == aOrder.model ? now.mVersion : 0;
  reply.done = now == target;
  reply.reason = reply.done ? "" : failure.empty() ? "swap_late" : failure;
  mMetrics.Count("lavender_agent_swaps_total",
                 { { "result", reply.done ? "done" : reply.reason } });
  return reply;
}

} // namespace lavender::weights
