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
  /** Keys remembered at once; beyond it calls aren't joined. */
  std::size_t mMaximumKeys = 4096;
  /** Answers longer than this aren't remembered. */
  std::size_t mMaximumAnswerBytes = 64u << 10;
  /** How long an answer is given again. */
  milliseconds mKeep{ 60000 };
};

/** Joins requests that reach one entry under the same Idempotency-Key: the
 * later ones wait for the first one's end, and get its answer for a while.
 *
 * It spares runs and platform calls, but guards nothing: another entry knows
 * nothing of it, and an entry that restarts forgets it. */
class recent_calls
{
public:
  explicit recent_calls(recent_calls_limits aLimits = {});

  /** Runs the call, or waits for the one under way with that name.
   * @param aFingerprint digest that tells another request under the name */
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

  call_outcome RunAndRemember(const std::string& aName,
                              const shared_call& aCall,
                              const std::function<call_outcome()>& aRun);
  call_outcome WaitFor(std::unique_lock<std::mutex>& aLock,
                       const shared_call& aCall,
                       time_point aDeadline);
  void ForgetOld(time_point aNow);

  const recent_calls_limits mLimits;
  std::mutex mMutex;
  std::condition_variable mEnded;
  std::map<std::string, shared_call> mCalls;
  std::deque<std::pair<time_point, std::string>> mRemembered;
};

} // namespace lavender::dispatch
