#pragma once

#include "Duties/Configuration/Snapshot.h"
#include "Duties/Dispatch/EntryDispatch.h"
#include "Duties/Samples/Pace.h"
#include "Duties/Samples/StepJob.h"
#include "Libraries/Metrics/Metrics.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <thread>

namespace lavender::samples {

/** A batch and the customer that requests it. */
struct batch_request
{
  batch_spec mSpec;
  std::string mCustomer;
  std::string mKeyId;
  double mWeight = 1;
  /** Polled while the batch is generated; returns a reason to stop, or an empty
   * string. */
  std::function<std::string()> mStopReason;
};

struct sample_duty_options
{
  platform::client mPlatform;
  /** Largest number of samples that this entry generates at the same time, over
   * all steps. */
  int mMaximumConcurrency = 64;
  /** Largest number of steps that this entry works on; more are refused. */
  std::size_t mMaximumJobs = 64;
  /** Interval at which finished groups are saved. */
  milliseconds mSaveInterval{ 1000 };
  /** An entry whose claim hasn't changed for this long counts as dead. */
  milliseconds mTakeOverAfter{ 10000 };
  milliseconds mSampleDeadline{ 120000 };
  /** Delay of a step after a sample that couldn't be generated. */
  milliseconds mRetryAfter{ 200 };
  pace_limits mPace;
  /** A step that no trainer has requested for this long is dropped. */
  milliseconds mAbandonAfter{ 600000 };
};

/** Response to the trainer. */
struct batch_response
{
  delivery_status mState = delivery_status::Unavailable;
  json::value mBatch;
  std::string mReason;
  std::int64_t mFinishedSamples = 0;
  std::int64_t mRequestedSamples = 0;
  milliseconds mRetryAfter{ 0 };
};

/** Generates batches in background threads. A request never waits for samples:
 * it returns the batch or the progress so far, and a later request at any entry
 * finds the result. */
class sample_duty
{
public:
  using runner = std::function<dispatch::call_outcome(const dispatch::call&)>;
  using run_source = std::function<std::optional<configuration::training_run>(
    const std::string&)>;
  /** Called after each run that a server has answered, for billing. */
  using run_observer =
    std::function<void(const dispatch::call&, const dispatch::call_outcome&)>;

  sample_duty(sample_duty_options aOptions,
              runner aRunner,
              run_source aRuns,
              run_observer aObserver,
              metrics::registry& aMetrics);
  ~sample_duty();
  sample_duty(const sample_duty&) = delete;
  sample_duty& operator=(const sample_duty&) = delete;

  void Start();
  /** Stops the samples in progress, saves the finished ones, and joins the
   * threads. */
  void Stop();

  batch_response RequestBatch(const batch_request& aRequest);
  batch_response ConfirmDelivery(const std::string& aRun, std::int64_t aStep);

private:
  struct active_step
  {
    batch_request mRequest;
    step_job mJob;
    time_point mRequestedAt;
    time_point mPausedUntil;
    /** Positions of samples that were restarted on another server. */
    std::set<std::pair<std::size_t, std::size_t>> mMoved;
    bool mIsStoreUnreachable = false;
  };
  using step_pointer = std::shared_ptr<active_step>;

  struct claim_observation
  {
    std::int64_t mRevision = 0;
    time_point mFirstSeenAt;
  };

  struct assignment
  {
    step_pointer mStep;
    sample_position mPosition;
  };

  /** Where a sample in progress runs. Accessed only by its worker thread. */
  struct attempt_state
  {
    std::string mServer;
    time_point mStartedAt;
  };

  void WorkLoop();
  void SaveLoop();
  void SaveStep(const step_pointer& aStep);
  std::optional<assignment> NextAssignment(time_point aNow);
  std::optional<sample> GenerateSample(active_step& aStep,
                                       const sample_position& aPosition);
  std::string FindStopReason(active_step& aStep,
                             const sample_position& aPosition,
                             const attempt_state& aAttempt);
  std::string FindRejectionReason(
    const dispatch::call_outcome& aOutcome,
    const configuration::training_run& aRun) const;
  void CountRetry(const std::string& aReason);
  batch_response Begin(const batch_request& aRequest,
                       std::int64_t aTakeOverRevision,
                       delivery_status aState);
  batch_response MakeProgressResponse(const active_step& aStep);
  std::int64_t MayTakeOver(const std::string& aName,
                           const batch_record& aRecord);

  const sample_duty_options mOptions;
  const batch_store mStore;
  const runner mRunner;
  const run_source mRuns;
  const run_observer mObserver;
  metrics::registry& mMetrics;
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::atomic<bool> mIsStopping{ false };
  std::atomic<bool> mHaveWorkersStopped{ false };
  std::map<std::string, step_pointer> mSteps;
  std::map<std::string, claim_observation> mClaimObservations;
  pace_table mPaces;
  std::vector<std::thread> mWorkers;
  std::thread mSaveThread;
};

} // namespace lavender::samples
