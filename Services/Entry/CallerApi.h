#pragma once

#include "Duties/Admission/BackPressure.h"
#include "Duties/Admission/CustomerLimits.h"
#include "Duties/Configuration/ConfigurationStore.h"
#include "Duties/Dispatch/IdempotentCall.h"
#include "Duties/Dispatch/RecentCalls.h"
#include "Duties/Keys/Authorize.h"
#include "Duties/Keys/KeyGate.h"
#include "Duties/Samples/SampleDuty.h"
#include "Duties/Usage/UsageAccount.h"
#include "Libraries/Core/Result.h"
#include "Libraries/Http/Router.h"
#include "Services/Entry/Refusal.h"
#include "Services/Entry/StopGate.h"

#include <atomic>
#include <mutex>
#include <random>

namespace lavender::entry {

struct caller_api_options
{
  std::string mEntryIncarnation;
  std::int64_t mMaximumRequests = 512;
  milliseconds mDefaultDeadline{ 60000 };
  platform::client mPlatform;
  /** Decides whether this entry's key data is fresh enough to accept keys. Must
   * outlive the API. */
  keys::key_gate* mKeyGate = nullptr;
  /** How long the Idempotency-Key of a non-repeatable call is stored. */
  milliseconds mCallRecordRetention{ 3600000 };
};

/** HTTP API for callers and trainers: completions, plain services and batches
 * of training samples. */
class caller_api
{
public:
  caller_api(caller_api_options aOptions,
             configuration::configuration_store& aConfiguration,
             membership::server_directory& aDirectory,
             dispatch::entry_dispatch& aDispatch,
             samples::sample_duty& aSamples,
             usage::usage_account& aUsage,
             metrics::registry& aMetrics);

  http::response Serve(const http::request& aRequest);

  /** Number of admitted requests in flight. */
  std::int64_t PendingRequestCount() const { return mInFlight; }

  /** From now on refuses calls that can't be answered by then, and ends those
   * under way at that time. */
  void StartStopping(time_point aAnswersUntil)
  {
    mStopGate.StartStopping(aAnswersUntil);
  }
  stop_gate::counts StopCounts() const { return mStopGate.Counts(); }

private:
  struct admitted_request
  {
    std::string mRequestId;
    keys::authorization mAuthorization;
    time_point mDeadline;
    std::shared_ptr<const configuration::snapshot> mSnapshot;
  };
  using admitted_handler =
    std::function<http::response(const http::request&,
                                 const http::path_parts&,
                                 const admitted_request&)>;

  void AddRoute(const char* aMethod,
                const char* aPattern,
                admitted_handler aHandler);
  http::response Admit(const http::request& aRequest,
                       const http::path_parts& aParts,
                       const admitted_handler& aHandler);
  http::response Complete(const http::request& aRequest,
                          const admitted_request& aAdmitted);
  http::response CallService(const http::request& aRequest,
                             const http::path_parts& aParts,
                             const admitted_request& aAdmitted);
  http::response ServeBatch(const http::request& aRequest,
                            const http::path_parts& aParts,
                            const admitted_request& aAdmitted);
  http::response RefuseBatch(const samples::batch_response& aOutcome,
                             const std::string& aRequestId);
  bool OwnsRun(const admitted_request& aAdmitted,
               const std::string& aRun) const;
  http::response AcknowledgeBatch(const http::path_parts& aParts,
                                  const admitted_request& aAdmitted);
  dispatch::call MakeCall(const http::request& aRequest,
                          const admitted_request& aAdmitted) const;
  /** Dispatches the call unless back pressure for its pool and customer refuses
   * it. */
  dispatch::call_outcome RunUnlessOverloaded(const dispatch::call& aCall);
  /** Lets the call end when its caller couldn't be answered later. The batches
   * that trainers request outlast the process, so they don't end with it. */
  void EndWithStop(dispatch::call& aCall) const;
  /** Runs the call unless it can't end before the process does. */
  dispatch::call_outcome RunCall(const http::request& aRequest,
                                 const dispatch::call& aCall);
  /** Runs the call, under its Idempotency-Key when it carries one. */
  dispatch::call_outcome RunOnce(const http::request& aRequest,
                                 const dispatch::call& aCall);
  void CountUsage(const dispatch::call& aCall,
                  const dispatch::call_outcome& aOutcome);
  http::response Refuse(refusal aRefusal);
  http::response RefuseOutcome(const dispatch::call_outcome& aOutcome,
                               const std::string& aRequestId);

  const caller_api_options mOptions;
  configuration::configuration_store& mConfiguration;
  membership::server_directory& mDirectory;
  dispatch::entry_dispatch& mDispatch;
  samples::sample_duty& mSamples;
  usage::usage_account& mUsage;
  metrics::registry& mMetrics;
  dispatch::idempotent_calls mIdempotentCalls;
  dispatch::recent_calls mRecentCalls;
  http::router mRouter;
  stop_gate mStopGate;
  std::atomic<std::int64_t> mInFlight{ 0 };
  std::atomic<std::uint64_t> mNextRequest{ 1 };
  std::mutex mLimitMutex;
  admission::customer_limit_state mLimits;
  std::mutex mBackPressureMutex;
  admission::back_pressure_map mBackPressure;
  std::mt19937_64 mRandom{ std::random_device()() };
  std::uint64_t mOutcomeCount = 0;
};

} // namespace lavender::entry
