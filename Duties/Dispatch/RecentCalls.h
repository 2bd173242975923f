#pragma once

#include "Duties/Dispatch/CallOutcome.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace lavender::dispatch {

struct recent_calls_limits
{
  /** Maximum number of keys; above it calls aren't joined. */
  std::size_t mMaximumKeys = 4096;
  /** Results larger than this aren't cached. */
  std::size_t mMaximumResultBytes = 64u << 10;
  /** How long a result is cached. */
  milliseconds mRetention{ 60000 };
};

/** Joins requests that reach one entry with the same Idempotency-Key: later
 * ones wait for the outcome of the first one or get its cached result.
 *
 * This saves runs and calls to the platform, but doesn't guarantee that a
 * request runs once: the cache isn't shared between entries and is lost when
 * the entry restarts. */
class recent_calls
{
public:
  explicit recent_calls(recent_calls_limits aLimits = {});

  /** Runs the call, or waits for the running call of the same name.
   * @param aFingerprint digest of the request; a different request with the
   *   same name is refused */
  call_outcome Run(const std::string& aName,
                   const std::string& aFingerprint,
                   time_point aDeadline,
                   const std::function<call_outcome()>& aRun);

private:
  struct recent_call
  {
    std::string mFingerprint;
    std::optional<call_outcome> mOutcome;
  };
  using shared_call = std::shared_ptr<recent_call>;

  call_outcome RunAndStore(const std::string& aName,
                           const shared_call& aCall,
                           const std::function<call_outcome()>& aRun);
  call_outcome WaitForOutcome(std::unique_lock<std::mutex>& aLock,
                              const shared_call& aCall,
                              time_point aDeadline);
  void RemoveExpired(time_point aNow);

  const recent_calls_limits mLimits;
  std::mutex mMutex;
  std::condition_variable mCallEnded;
  std::map<std::string, shared_call> mCalls;
  std::deque<std::pair<time_point, std::string>> mExpiryQueue;
};

} // namespace lavender::dispatch
