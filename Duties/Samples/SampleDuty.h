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

/** Who asks for a batch, and for what. */
struct batch_request
{
  batch_spec mSpec;
  std::string mCustomer;
  std::string mKeyId;
  double mWeight = 1;
  /** Asked while the work goes on: a reason to stop it, or empty. */
  std::function<std::string()> mStopReason;
};

struct sample_duty_options
{
  platform::client mPlatform;
  /** Samples of all steps that this entry has under way. */
  int mMaximumConcurrency = 64;
  /** Steps that this entry works on; more are refused. */
  std::size_t mMaximumJobs = 64;
  /** How often finished groups are saved. */
  milliseconds mSaveEvery{ 1000 };
  /** A maker whose claim stands still for this long counts as dead. */
  milliseconds mTakeOverAfter{ 10000 };
  milliseconds mSampleDeadline{ 120000 };
  /** Pause of a step after a sample that couldn't be made. */
  milliseconds mRetryAfter{ 200 };
  pace_limits mPace;
  /** Work that no trainer has asked for is dropped after this. */
  milliseconds mAbandonAfter{ 600000 };
};

/** What the trainer is told. */
struct batch_response
{
  delivery_status mState = delivery_status::Unavailable;
  json::value mBatch;
  std::string mReason;
  std::int64_t mFinishedSamples = 0;
  std::int64_t mRequestedSamples = 0;
  milliseconds mRetryAfter{ 0 };
};

/** Makes batches. An ask never waits for samples: it gets the batch, or at
 * once how far the work is; the work goes on in this duty's threads and the
 * next ask, at any entry, finds it. */
class sample_duty
{
public:
  using runner = std::function<dispatch::call_outcome(const dispatch::call&)>;
  using run_source = std::function<std::optional<configuration::training_run>(
    const std::string&)>;
  /** Told after each run that a server answered, for billing. */
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
  /** Lets samples under way end, saves what is finished, and stops. */
  void Stop();

  batch_response RequestBatch(const batch_request& aRequest);
  batch_response ConfirmDelivery(const std::string& aRun, std::int64_t aStep);

private:
  struct working_step
  {
    batch_request mRequest;
    step_job mJob;
    time_point mAskedAt;
    time_point mPausedUntil;
    /** Places whose sample was stopped for its server's pace. */
    std::set<std::pair<std::size_t, std::size_t>> mMoved;
    bool mIsStoreDown = false;
  };
  using step_pointer = std::shared_ptr<working_step>;

  struct claim_sight
  {
    std::int64_t mRevision = 0;
    time_point mSeenAt;
  };

  struct assignment
  {
    step_pointer mStep;
    sample_place mPlace;
  };

  /** Where a sample under way runs. Touched by its worker's thread only. */
  struct attempt_sight
  {
    std::string mServer;
    time_point mStartedAt;
  };

  void WorkLoop();
  void SaveLoop();
  void SaveStep(const step_pointer& aStep);
  std::optional<assignment> NextAssignment(time_point aNow);
  std::optional<sample> MakeSample(working_step& aStep,
                                   const sample_place& aPlace);
  std::string FindStopReason(working_step& aStep,
                             const sample_place& aPlace,
                             const attempt_sight& aSight);
  std::string FindFault(const dispatch::call_outcome& aOutcome,
                        const configuration::training_run& aRun) const;
  void Retry(const std::string& aReason);
  batch_response Begin(const batch_request& aRequest,
                       std::int64_t aTakeOverRevision,
                       delivery_status aState);
  batch_response Describe(const working_step& aStep);
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
  std::atomic<bool> mIsWorkOver{ false };
  std::map<std::string, step_pointer> mSteps;
  std::map<std::string, claim_sight> mSights;
  pace_table mPaces;
  std::vector<std::thread> mWorkers;
  std::thread mSaver;
};

} // namespace lavender::samples
