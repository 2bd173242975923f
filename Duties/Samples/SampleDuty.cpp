#include "Duties/Samples/SampleDuty.h"

#include "Libraries/Core/Identity.h"
#include "Libraries/Core/Log.h"

#include <algorithm>

namespace lavender::samples {
namespace {

using namespace std::chrono_literals;

constexpr milliseconds kAskAgainAfter = 1000ms;

std::int64_t
OldestFor(const std::optional<configuration::training_run>& aRun)
{
  return aRun ? aRun->mAcceptedVersion - aRun->mStalenessBound : 0;
}

const char*
ReasonFor(delivery_status aState)
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
  , mStore(MakeStore(mOptions.mPlatform))
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
  mSaver = std::thread([this] { SaveLoop(); });
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
  mIsWorkOver = true;
  mChanged.notify_all();
  if (mSaver.joinable()) {
    mSaver.join();
  }
}

std::optional<sample_duty::assignment>
sample_duty::NextAssignment(time_point aNow)
{
  // The step with the least share done goes first, so that no step starves
  // another on the bounded number of samples side by side.
  step_pointer chosen;
  double least = 2;
  for (const auto& [name, step] : mSteps) {
    const double share = static_cast<double>(CountDone(step->mJob)) /
                         static_cast<double>(step->mJob.mSpec.SampleCount());
    if (step->mPausedUntil <= aNow && share < least && HasNext(step->mJob)) {
      chosen = step;
      least = share;
    }
  }
  if (!chosen) {
    return std::nullopt;
  }
  return assignment{ chosen, *TakeNext(chosen->mJob) };
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
    auto made = MakeSample(*work->mStep, work->mPlace);
    lock.lock();
    auto& step = *work->mStep;
    if (!made) {
      step.mPausedUntil = boot_clock::now() + mOptions.mRetryAfter;
    }
    PutResult(step.mJob, work->mPlace, std::move(made));
    if (CountDone(step.mJob) == step.mJob.mSpec.SampleCount()) {
      mChanged.notify_all();
    }
  }
}

void
sample_duty::Retry(const std::string& aReason)
{
  mMetrics.Count("lavender_sample_retries_total", { { "reason", aReason } });
}

std::string
sample_duty::FindFault(const dispatch::call_outcome& aOutcome,
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
  const auto oldest = OldestFor(aRun);
  const bool isTooOld =
    std::any_of(result.versions.begin(),
                result.versions.end(),
                [&](const auto& aPart) { return aPart.version < oldest; });
  return isTooOld ? "weights_too_old" : "";
}

std::string
sample_duty::FindStopReason(working_step& aStep,
                            const sample_place& aPlace,
                            const attempt_sight& aSight)
{
  if (mIsStopping) {
    // A planned stop cuts no caller's request; a sample that has to be made
    // again elsewhere is cheaper than an entry that can't leave.
    return "entry_stopping";
  }
  if (aStep.mRequest.mStopReason) {
    if (auto reason = aStep.mRequest.mStopReason(); !reason.empty()) {
      return reason;
    }
  }
  std::lock_guard lock(mMutex);
  const std::pair place{ aPlace.mGroup, aPlace.mIndex };
  const running_sample running{ aSight.mServer,
                                std::chrono::duration_cast<milliseconds>(
                                  boot_clock::now() - aSight.mStartedAt),
                                aStep.mRequest.mSpec.mMaximumTokens,
                                !HasNext(aStep.mJob),
                                aStep.mMoved.count(place) > 0 };
  auto reason = FindReasonToMove(mPaces, mOptions.mPace, running);
  if (!reason.empty()) {
    aStep.mMoved.insert(place);
  }
  return reason;
}

std::optional<sample>
sample_duty::MakeSample(working_step& aStep, const sample_place& aPlace)
{
  const auto& request = aStep.mRequest;
  const auto& shape = request.mSpec;
  const auto run = mRuns(shape.mRun);
  if (!run) {
    Retry("unknown_run");
    return std::nullopt;
  }
  sample made;
  made.mGroup = static_cast<int>(aPlace.mGroup);
  made.mIndex = static_cast<int>(aPlace.mIndex);
  made.mId = NameOf(shape) + "." + std::to_string(made.mGroup) + "." +
             std::to_string(made.mIndex);
  made.mAttempt = made.mId + "." + MakeRandomName();
  json::value payload;
  payload.Set("prompt", shape.mPrompts[aPlace.mGroup]);
  payload.Set("max_tokens", shape.mMaximumTokens);
  payload.Set("request", made.mId);
  dispatch::call call;
  call.mRequestId = made.mAttempt;
  call.mCustomer = request.mCustomer;
  call.mKeyId = request.mKeyId;
  call.mWeight = request.mWeight;
  call.mPool = run->mPool;
  call.mOperation = "sample";
  call.mPayload = json::Write(payload);
  call.mCostTokens = shape.mMaximumTokens;
  call.mOldestWeightVersion = OldestFor(run);
  call.mDeadline = boot_clock::now() + mOptions.mSampleDeadline;
  attempt_sight sight;
  call.mOnAttempt = [&](const std::string& aServer) {
    sight = { aServer, boot_clock::now() };
  };
  call.mStopReason = [&] { return FindStopReason(aStep, aPlace, sight); };
  const auto outcome = mRunner(call);
  if (outcome.mRan == dispatch::ran::Ran) {
    mObserver(call, outcome);
    std::lock_guard lock(mMutex);
    NotePace(mPaces,
             outcome.mServerName,
             std::chrono::duration_cast<milliseconds>(boot_clock::now() -
                                                      sight.mStartedAt),
             outcome.mResult.completion_tokens);
  }
  // The bound moves while a sample is made: it's checked against the version
  // accepted now.
  const auto runNow = mRuns(shape.mRun);
  if (auto fault = runNow ? FindFault(outcome, *runNow) : "unknown_run";
      !fault.empty()) {
    Retry(fault);
    return std::nullopt;
  }
  const auto body = json::Parse(outcome.mResult.body);
  made.mText = body ? json::StringAt(*body, "text", "") : "";
  made.mModel = outcome.mResult.model;
  made.mVersions = outcome.mResult.versions;
  return made;
}

void
sample_duty::SaveLoop()
{
  std::unique_lock lock(mMutex);
  bool isLastRound = false;
  while (!isLastRound) {
    mChanged.wait_for(lock, mOptions.mSaveEvery);
    isLastRound = mIsStopping && mIsWorkOver;
    std::vector<step_pointer> steps;
    for (const auto& [name, step] : mSteps) {
      step->mJob.mIsReleasing = isLastRound;
      steps.push_back(step);
    }
    lock.unlock();
    for (const auto& step : steps) {
      SaveStep(step);
    }
    lock.lock();
  }
}

/** Works on a copy of the job, so that no sample waits for the store: results
 * that come meanwhile go into the original and are merged afterwards. */
void
sample_duty::SaveStep(const step_pointer& aStep)
{
  std::unique_lock lock(mMutex);
  const std::string name = NameOf(aStep->mJob.mSpec);
  const auto stopReason =
    aStep->mRequest.mStopReason ? aStep->mRequest.mStopReason() : "";
  const bool isAbandoned =
    boot_clock::now() - aStep->mAskedAt > mOptions.mAbandonAfter;
  if (!stopReason.empty() || isAbandoned) {
    mMetrics.Count("lavender_batches_dropped_total",
                   { { "reason", isAbandoned ? "abandoned" : stopReason } });
    aStep->mJob.mPhase = job_phase::Lost;
    mSteps.erase(name);
    return;
  }
  const auto oldest = OldestFor(mRuns(aStep->mRequest.mSpec.mRun));
  // A few rounds bring a finished batch to its end in one go.
  for (int round = 0; round < 8; ++round) {
    auto job = aStep->mJob;
    lock.unlock();
    const bool isAnswered = Save(job, mStore, oldest);
    lock.lock();
    const auto dropped = TakeSaved(aStep->mJob, std::move(job));
    if (dropped > 0) {
      mMetrics.Count(
        "lavender_samples_dropped_total", { { "reason", "too_old" } }, dropped);
    }
    aStep->mIsStoreDown = !isAnswered;
    if (!isAnswered || aStep->mJob.mPhase != job_phase::Working ||
        (!HasUnsaved(aStep->mJob) && !aStep->mJob.mIsReleasing)) {
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
sample_duty::Describe(const working_step& aStep)
{
  batch_response outcome;
  outcome.mState = aStep.mIsStoreDown ? delivery_status::Unavailable
                                      : delivery_status::InProgress;
  outcome.mReason = ReasonFor(outcome.mState);
  outcome.mFinishedSamples = static_cast<std::int64_t>(CountDone(aStep.mJob));
  outcome.mRequestedSamples =
    static_cast<std::int64_t>(aStep.mJob.mSpec.SampleCount());
  outcome.mRetryAfter = kAskAgainAfter;
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
      refused.mRetryAfter = kAskAgainAfter;
      return refused;
    }
    step = std::make_shared<working_step>();
    step->mRequest = aRequest;
    step->mJob = StartJob(aRequest.mSpec, MakeRandomName(), aTakeOverRevision);
    step->mAskedAt = boot_clock::now();
    step->mIsStoreDown = aState == delivery_status::Unavailable;
  }
  mChanged.notify_all();
  return Describe(*step);
}

std::int64_t
sample_duty::MayTakeOver(const std::string& aName, const batch_record& aRecord)
{
  // A living maker writes its claim every second. Time is counted on this
  // entry's own clock from its own first sight of the revision.
  const auto now = boot_clock::now();
  std::lock_guard lock(mMutex);
  auto& sight = mSights[aName];
  if (sight.mRevision != aRecord.mRevision) {
    sight = { aRecord.mRevision, now };
  }
  if (!aRecord.mIsReleased && now - sight.mSeenAt < mOptions.mTakeOverAfter) {
    return 0;
  }
  mSights.erase(aName);
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
        refused.mReason = ReasonFor(refused.mState);
        return refused;
      }
      step.mAskedAt = boot_clock::now();
      return Describe(step);
    }
  }
  auto asked =
    Deliver(mStore, aRequest.mSpec, OldestFor(mRuns(aRequest.mSpec.mRun)));
  switch (asked.mState) {
    case delivery_status::Absent:
      return Begin(aRequest, 0, asked.mState);
    case delivery_status::Unavailable:
      // The store may be down for long. The samples are made meanwhile and
      // kept here; a step that turns out to be decided is dropped then.
      return Begin(aRequest, 0, asked.mState);
    case delivery_status::TooOld:
      mMetrics.Count("lavender_batches_remade_total", {});
      return Begin(aRequest, asked.mRecord.mRevision, asked.mState);
    case delivery_status::InProgress:
      if (const auto revision = MayTakeOver(name, asked.mRecord)) {
        return Begin(aRequest, revision, asked.mState);
      }
      break;
    default: {
      std::lock_guard lock(mMutex);
      mSights.erase(name);
    }
  }
  batch_response outcome;
  outcome.mState = asked.mState;
  outcome.mBatch = std::move(asked.mBatch);
  outcome.mReason = ReasonFor(asked.mState);
  outcome.mFinishedSamples = asked.mRecord.mFinishedSamples;
  outcome.mRequestedSamples = asked.mRecord.mRequestedSamples;
  if (asked.mState == delivery_status::InProgress) {
    outcome.mRetryAfter = kAskAgainAfter;
  }
  return outcome;
}

batch_response
sample_duty::ConfirmDelivery(const std::string& aRun, std::int64_t aStep)
{
  batch_response outcome;
  outcome.mState = Acknowledge(mStore, aRun, aStep).mState;
  outcome.mReason = ReasonFor(outcome.mState);
  if (outcome.mState == delivery_status::Unavailable) {
    outcome.mRetryAfter = kAskAgainAfter;
  }
  return outcome;
}

} // namespace lavender::samples
