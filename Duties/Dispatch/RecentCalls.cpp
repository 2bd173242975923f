#include "Duties/Dispatch/RecentCalls.h"

#include "Duties/Dispatch/AttemptDecision.h"
#include "Libraries/Core/ScopeGuard.h"

namespace lavender::dispatch {

recent_calls::recent_calls(recent_calls_limits aLimits)
  : mLimits(aLimits)
{
}

call_outcome
recent_calls::Run(const std::string& aName,
                  const std::string& aFingerprint,
                  time_point aDeadline,
                  const std::function<call_outcome()>& aRun)
{
  std::unique_lock lock(mMutex);
  RemoveExpired(boot_clock::now());
  if (const auto known = mCalls.find(aName); known != mCalls.end()) {
    const auto shared = known->second;
    if (shared->mFingerprint != aFingerprint) {
      call_outcome refused;
      refused.mReason = "idempotency_key_reused";
      return refused;
    }
    return WaitForOutcome(lock, shared, aDeadline);
  }
  if (mCalls.size() >= mLimits.mMaximumKeys) {
    lock.unlock();
    return aRun();
  }
  const auto created = std::make_shared<recent_call>();
  created->mFingerprint = aFingerprint;
  mCalls[aName] = created;
  lock.unlock();
  return RunAndStore(aName, created, aRun);
}

call_outcome
recent_calls::RunAndStore(const std::string& aName,
                          const shared_call& aCall,
                          const std::function<call_outcome()>& aRun)
{
  call_outcome outcome;
  outcome.mRan = ran::OutcomeUnknown;
  outcome.mReason = "entry_failed";
  // Stores an outcome even when aRun throws, so that no request waits forever.
  scope_guard end([&] {
    std::lock_guard lock(mMutex);
    aCall->mOutcome = outcome;
    const bool isCacheable =
      outcome.mRan == ran::Ran &&
      outcome.mResult.body.size() <= mLimits.mMaximumResultBytes;
    if (isCacheable) {
      mExpiryQueue.emplace_back(boot_clock::now(), aName);
    } else {
      mCalls.erase(aName);
    }
    mCallEnded.notify_all();
  });
  outcome = aRun();
  return outcome;
}

call_outcome
recent_calls::WaitForOutcome(std::unique_lock<std::mutex>& aLock,
                             const shared_call& aCall,
                             time_point aDeadline)
{
  while (!aCall->mOutcome) {
    const auto now = boot_clock::now();
    if (now >= aDeadline) {
      call_outcome late;
      late.mRan = ran::OutcomeUnknown;
      late.mReason = kDeadline;
      return late;
    }
    mCallEnded.wait_for(aLock, aDeadline - now);
  }
  auto outcome = *aCall->mOutcome;
  outcome.mSource = answer_source::SharedRun;
  return outcome;
}

void
recent_calls::RemoveExpired(time_point aNow)
{
  while (!mExpiryQueue.empty() &&
         aNow - mExpiryQueue.front().first > mLimits.mRetention) {
    mCalls.erase(mExpiryQueue.front().second);
    mExpiryQueue.pop_front();
  }
}

} // namespace lavender::dispatch
