#include "Duties/Samples/SampleDuty.h"

#include "Libraries/Core/Identity.h"
#include "Libraries/Core/Log.h"

#include <algorithm>

namespace lavender::samples {
namespace {

using namespace std::chrono_literals;

constexpr milliseconds kRequestRetryDelay = 1000ms;

std::int64_t
OldestAllowedVersion(const std::optional<configuration::training_run>& aRun)
{
  return aRun ? aRun->mAcceptedVersion - aRun->mStalenessBound : 0;
}

const char*
ToReason(delivery_status aState)
{
  switch (aState) {
    case delivery_status::Acknowledged:
      return "already_acknowledged";
    case delivery_status::RequestMismatch:
      return "step_is_for_another_request";
    case delivery_status::NotDelivered:
      return "not_delivered";
    case delivery_status::Unavailable:
      return "platform_unavailable";
    default:
      return "batch_in_progress";
  }
}

} // namespace

sample_duty::sample_duty(sample_duty_options aOptions,
                         runner aRunner,
                         run_source aRuns,
                         run_observer aObserver,
                         metrics::registry& aMetrics)
  : mOptions(std::move(aOptions))
  , mStore(MakePlatformStore(mOptions.mPlatform))
  , mRunner(std::move(aRunner))
  , mRuns(std::move(aRuns))
  , mObserver(std::move(aObserver))
  , mMetrics(aMetrics)
{
}

sample_duty::~sample_duty()
{
  Stop();
}

void
sample_duty::Start()
{
  for (int i = 0; i < mOptions.mMaximumConcurrency; ++i) {
    mWorkers.emplace_back([this] { WorkLoop(); });
  }
  mSaveThread = std::thread([this] { SaveLoop(); });
}

void
sample_duty::Stop()
{
  {
    std::lock_guard lock(mMutex);
    mIsStopping = true;
  }
  mChanged.notify_all();
  for (auto& worker : mWorkers) {
    if (worker.joinable()) {
      worker.join();
    }
  }
  mHaveWorkersStopped = true;
  mChanged.notify_all();
  if (mSaveThread.joinable()) {
    mSaveThread.join();
  }
}

std::optional<sample_duty::assignment>
sample_duty::NextAssignment(time_point aNow)
{
  // The step with the smallest finished share goes first, so that no step
  // starves another under the limit on concurrent samples.
  step_pointer selected;
  double least = 2;
  for (const auto& [name, step] : mSteps) {
    const double share = static_cast<double>(CountDone(step->mJob)) /
                         static_cast<double>(step->mJob.mSpec.SampleCount());
    if (step->mPausedUntil <= aNow && share < least && HasNext(step->mJob)) {
      selected = step;
      least = share;
    }
  }
  if (!selected) {
    return std::nullopt;
  }
  return assignment{ selected, *ReserveNext(selected->mJob) };
}

void
sample_duty::WorkLoop()
{
  std::unique_lock lock(mMutex);
  while (!mIsStopping) {
    const auto work = NextAssignment(boot_clock::now());
    if (!work) {
      mChanged.wait_for(lock, 200ms);
      continue;
    }
    lock.unlock();
    auto generated = GenerateSample(*work->mStep, work->mPosition);
    lock.lock();
    auto& step = *work->mStep;
    if (!generated) {
      step.mPausedUntil = boot_clock::now() + mOptions.mRetryAfter;
    }
    RecordResult(step.mJob, work->mPosition, std::move(generated));
    if (CountDone(step.mJob) == step.mJob.mSpec.SampleCount()) {
      mChanged.notify_all();
    }
  }
}

void
sample_duty::CountRetry(const std::string& aReason)
{
  mMetrics.Count("lavender_sample_retries_total", { { "reason", aReason } });
}

std::string
sample_duty::FindRejectionReason(const dispatch::call_outcome& aOutcome,
                                 const configuration::training_run& aRun) const
{
  const auto& result = aOutcome.mResult;
  if (aOutcome.mRan != dispatch::ran::Ran) {
    return aOutcome.mReason;
  }
  if (result.http_status != 200) {
    return "engine_error";
  }
  if (result.versions.empty()) {
    return result.version_reason.empty() ? "version_not_known"
                                         : result.version_reason;
  }
  if (result.model != aRun.mModel) {
    return "other_model";
  }
  const auto oldest = OldestAllowedVersion(aRun);
  const bool isTooOld =
    std::any_of(result.versions.begin(),
                result.versions.end(),
                [&](const auto& aPart) { return aPart.version < oldest; });
  return isTooOld ? "weights_too_old" : "";
}

std::string
sample_duty::FindStopReason(active_step& aStep,
                            const sample_position& aPosition,
                            const attempt_state& aAttempt)
{
  if (mIsStopping) {
    // A planned stop aborts no caller's request, but it aborts samples:
    // generating a sample again elsewhere costs less than an entry that can't
    // stop.
    return "entry_stopping";
  }
  if (aStep.mRequest.mStopReason) {
    if (auto reason = aStep.mRequest.mStopReason(); !reason.empty()) {
      return reason;
    }
  }
  std::lock_guard lock(mMutex);
  const std::pair position{ aPosition.mGroup, aPosition.mIndex };
  const running_sample running{ aAttempt.mServer,
                                std::chrono::duration_cast<milliseconds>(
                                  boot_clock::now() - aAttempt.mStartedAt),
                                aStep.mRequest.mSpec.mMaximumTokens,
                                !HasNext(aStep.mJob),
                                aStep.mMoved.count(position) > 0 };
  auto reason = FindMoveReason(mPaces, mOptions.mPace, running);
  if (!reason.empty()) {
    aStep.mMoved.insert(position);
  }
  return reason;
}

std::optional<sample>
sample_duty::GenerateSample(active_step& aStep,
                            const sample_position& aPosition)
{
  const auto& request = aStep.mRequest;
  const auto& spec = request.mSpec;
  const auto run = mRuns(spec.mRun);
  if (!run) {
    CountRetry("unknown_run");
    return std::nullopt;
  }
  sample generated;
  generated.mGroup = static_cast<int>(aPosition.mGroup);
  generated.mIndex = static_cast<int>(aPosition.mIndex);
  generated.mId = NameOf(spec) + "." + std::to_string(generated.mGroup) + "." +
                  std::to_string(generated.mIndex);
  generated.mAttempt = generated.mId + "." + MakeRandomName();
  json::value payload;
  payload.Set("prompt", spec.mPrompts[aPosition.mGroup]);
  payload.Set("max_tokens", spec.mMaximumTokens);
  payload.Set("request", generated.mId);
  dispatch::call call;
  call.mRequestId = generated.mAttempt;
  call.mCustomer = request.mCustomer;
  call.mKeyId = request.mKeyId;
  call.mWeight = request.mWeight;
  call.mPool = run->mPool;
  call.mOperation = "sample";
  call.mPayload = json::Write(payload);
  call.mCostTokens = spec.mMaximumTokens;
  call.mOldestWeightVersion = OldestAllowedVersion(run);
  call.mDeadline = boot_clock::now() + mOptions.mSampleDeadline;
  attempt_state attempt;
  call.mOnAttempt = [&](const std::string& aServer) {
    attempt = { aServer, boot_clock::now() };
  };
  call.mStopReason = [&] { return FindStopReason(aStep, aPosition, attempt); };
  const auto outcome = mRunner(call);
  if (outcome.mRan == dispatch::ran::Ran) {
    mObserver(call, outcome);
    std::lock_guard lock(mMutex);
    RecordPace(mPaces,
               outcome.mServerName,
               std::chrono::duration_cast<milliseconds>(boot_clock::now() -
                                                        attempt.mStartedAt),
               outcome.mResult.completion_tokens);
  }
  // The accepted version may have changed while the sample was generated, so
  // the staleness bound is checked against the current one.
  const auto runNow = mRuns(spec.mRun);
  if (auto rejection =
        runNow ? FindRejectionReason(outcome, *runNow) : "unknown_run";
      !rejection.empty()) {
    CountRetry(rejection);
    return std::nullopt;
  }
  const auto body = json::Parse(outcome.mResult.body);
  generated.mText = body ? json::StringAt(*body, "text", "") : "";
  generated.mModel = outcome.mResult.model;
  generated.mVersions = outcome.mResult.versions;
  return generated;
}

void
sample_duty::SaveLoop()
{
  std::unique_lock lock(mMutex);
  bool isLastRound = false;
  while (!isLastRound) {
    mChanged.wait_for(lock, mOptions.mSaveInterval);
    isLastRound = mIsStopping && mHaveWorkersStopped;
    std::vector<step_pointer> steps;
    for (const auto& [name, step] : mSteps) {
      step->mJob.mReleasesClaim = isLastRound;
      steps.push_back(step);
    }
    lock.unlock();
    for (const auto& step : steps) {
      SaveStep(step);
    }
    lock.lock();
  }
}

/** Saves a copy of the job, so that samples don't wait for the object store.
 * Results that arrive meanwhile go into the original, and the two are merged
 * afterwards. */
void
sample_duty::SaveStep(const step_pointer& aStep)
{
  std::unique_lock lock(mMutex);
  const std::string name = NameOf(aStep->mJob.mSpec);
  const auto stopReason =
    aStep->mRequest.mStopReason ? aStep->mRequest.mStopReason() : "";
  const bool isAbandoned =
    boot_clock::now() - aStep->mRequestedAt > mOptions.mAbandonAfter;
  if (!stopReason.empty() || isAbandoned) {
    mMetrics.Count("lavender_batches_dropped_total",
                   { { "reason", isAbandoned ? "abandoned" : stopReason } });
    aStep->mJob.mPhase = job_phase::Dropped;
    mSteps.erase(name);
    return;
  }
  const auto oldest = OldestAllowedVersion(mRuns(aStep->mRequest.mSpec.mRun));
  // Several calls of Save fix a finished batch without waiting for the next
  // interval.
  for (int round = 0; round < 8; ++round) {
    auto job = aStep->mJob;
    lock.unlock();
    const bool isAnswered = Save(job, mStore, oldest);
    lock.lock();
    const auto dropped = MergeSaved(aStep->mJob, std::move(job));
    if (dropped > 0) {
      mMetrics.Count(
        "lavender_samples_dropped_total", { { "reason", "too_old" } }, dropped);
    }
    aStep->mIsStoreUnreachable = !isAnswered;
    if (!isAnswered || aStep->mJob.mPhase != job_phase::Working ||
        (!HasUnsaved(aStep->mJob) && !aStep->mJob.mReleasesClaim)) {
      break;
    }
  }
  if (aStep->mJob.mPhase != job_phase::Working) {
    mSteps.erase(name);
    mMetrics.Count(
      "lavender_batches_total",
      { { "result",
          aStep->mJob.mPhase == job_phase::Fixed ? "fixed" : "lost" } });
  }
}

batch_response
sample_duty::MakeProgressResponse(const active_step& aStep)
{
  batch_response outcome;
  outcome.mState = aStep.mIsStoreUnreachable ? delivery_status::Unavailable
                                             : delivery_status::InProgress;
  outcome.mReason = ToReason(outcome.mState);
  outcome.mFinishedSamples = static_cast<std::int64_t>(CountDone(aStep.mJob));
  outcome.mRequestedSamples =
    static_cast<std::int64_t>(aStep.mJob.mSpec.SampleCount());
  outcome.mRetryAfter = kRequestRetryDelay;
  return outcome;
}

batch_response
sample_duty::Begin(const batch_request& aRequest,
                   std::int64_t aTakeOverRevision,
                   delivery_status aState)
{
  const auto name = NameOf(aRequest.mSpec);
  std::lock_guard lock(mMutex);
  auto& step = mSteps[name];
  if (!step) {
    if (mSteps.size() > mOptions.mMaximumJobs || mIsStopping) {
      mSteps.erase(name);
      batch_response refused;
      refused.mReason = "too_many_batches";
      refused.mRetryAfter = kRequestRetryDelay;
      return refused;
    }
    step = std::make_shared<active_step>();
    step->mRequest = aRequest;
    step->mJob = StartJob(aRequest.mSpec, MakeRandomName(), aTakeOverRevision);
    step->mRequestedAt = boot_clock::now();
    step->mIsStoreUnreachable = aState == delivery_status::Unavailable;
  }
  mChanged.notify_all();
  return MakeProgressResponse(*step);
}

std::int64_t
sample_duty::MayTakeOver(const std::string& aName, const batch_record& aRecord)
{
  // A live entry writes its claim every second. The time is measured with this
  // entry's own clock from when it first saw the revision.
  const auto now = boot_clock::now();
  std::lock_guard lock(mMutex);
  auto& observation = mClaimObservations[aName];
  if (observation.mRevision != aRecord.mRevision) {
    observation = { aRecord.mRevision, now };
  }
  if (!aRecord.mIsReleased &&
      now - observation.mFirstSeenAt < mOptions.mTakeOverAfter) {
    return 0;
  }
  mClaimObservations.erase(aName);
  mMetrics.Count("lavender_batches_taken_over_total", {});
  return aRecord.mRevision;
}

batch_response
sample_duty::RequestBatch(const batch_request& aRequest)
{
  const auto name = NameOf(aRequest.mSpec);
  {
    std::lock_guard lock(mMutex);
    if (const auto found = mSteps.find(name); found != mSteps.end()) {
      auto& step = *found->second;
      if (DigestOf(step.mJob.mSpec) != DigestOf(aRequest.mSpec)) {
        batch_response refused;
        refused.mState = delivery_status::RequestMismatch;
        refused.mReason = ToReason(refused.mState);
        return refused;
      }
      step.mRequestedAt = boot_clock::now();
      return MakeProgressResponse(step);
    }
  }
  auto delivery = Deliver(
    mStore, aRequest.mSpec, OldestAllowedVersion(mRuns(aRequest.mSpec.mRun)));
  switch (delivery.mState) {
    case delivery_status::Absent:
      return Begin(aRequest, 0, delivery.mState);
    case delivery_status::Unavailable:
      // The object store may be down for long, so the samples are generated and
      // kept in memory. If the store shows later that the step already has a
      // batch, this work is dropped.
      return Begin(aRequest, 0, delivery.mState);
    case delivery_status::TooOld:
      mMetrics.Count("lavender_batches_remade_total", {});
      return Begin(aRequest, delivery.mRecord.mRevision, delivery.mState);
    case delivery_status::InProgress:
      if (const auto revision = MayTakeOver(name, delivery.mRecord)) {
        return Begin(aRequest, revision, delivery.mState);
      }
      break;
    default: {
      std::lock_guard lock(mMutex);
      mClaimObservations.erase(name);
    }
  }
  batch_response outcome;
  outcome.mState = delivery.mState;
  outcome.mBatch = std::move(delivery.mBatch);
  outcome.mReason = ToReason(delivery.mState);
  outcome.mFinishedSamples = delivery.mRecord.mFinishedSamples;
  outcome.mRequestedSamples = delivery.mRecord.mRequestedSamples;
  if (delivery.mState == delivery_status::InProgress) {
    outcome.mRetryAfter = kRequestRetryDelay;
  }
  return outcome;
}

batch_response
sample_duty::ConfirmDelivery(const std::string& aRun, std::int64_t aStep)
{
  batch_response outcome;
  outcome.mState = Acknowledge(mStore, aRun, aStep).mState;
  outcome.mReason = ToReason(outcome.mState);
  if (outcome.mState == delivery_status::Unavailable) {
    outcome.mRetryAfter = kRequestRetryDelay;
  }
  return outcome;
}

} // namespace lavender::samples
