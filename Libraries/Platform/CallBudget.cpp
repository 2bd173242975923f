#include "Libraries/Platform/CallBudget.h"

#include <algorithm>

namespace lavender::platform {

token_bucket
MakeBucket(double aPerSecond, double aBurst, time_point aNow)
{
  return { aPerSecond, aBurst, aBurst, aNow };
}

bool
TakeToken(token_bucket& aBucket, time_point aNow)
{
  const std::chrono::duration<double> passed = aNow - aBucket.mFilledAt;
  aBucket.mTokens = std::min(
    aBucket.mBurst, aBucket.mTokens + aBucket.mPerSecond * passed.count());
  aBucket.mFilledAt = aNow;
  if (aBucket.mTokens < 1) {
    return false;
  }
  aBucket.mTokens -= 1;
  return true;
}

call_budget::call_budget(double aReadsPerSecond, double aWritesPerSecond)
  : mReads(MakeBucket(aReadsPerSecond, aReadsPerSecond, boot_clock::now()))
  , mWrites(MakeBucket(aWritesPerSecond, aWritesPerSecond, boot_clock::now()))
{
}

bool
call_budget::TakeRead()
{
  std::lock_guard lock(mMutex);
  return TakeToken(mReads, boot_clock::now());
}

bool
call_budget::TakeWrite()
{
  std::lock_guard lock(mMutex);
  return TakeToken(mWrites, boot_clock::now());
}

} // namespace lavender::platform
