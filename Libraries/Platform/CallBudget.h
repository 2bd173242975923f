#pragma once

#include "Libraries/Core/Clock.h"

#include <mutex>

namespace lavender::platform {

/** Token bucket that bounds the rate of calls; one token is one call. */
struct token_bucket
{
  double mPerSecond = 0;
  /** Capacity: calls that may be sent back to back after an idle period. */
  double mBurst = 0;
  double mTokens = 0;
  time_point mFilledAt;
};

/** Creates a full bucket. */
token_bucket
MakeBucket(double aPerSecond, double aBurst, time_point aNow);

/** Takes one token; returns false when less than one is left. */
bool
TakeToken(token_bucket& aBucket, time_point aNow);

/** This process's share of the call rates that the platform grants to the whole
 * fleet. The platform counts each call; a watch counts as one call however long
 * it waits. Its rates grow more slowly than the fleet, so a busy process
 * without a limit could use up the calls that other processes need for their
 * leases. */
class call_budget
{
public:
  call_budget(double aReadsPerSecond, double aWritesPerSecond);

  /** Returns false when the rate is used up; the call must not be sent then. */
  bool TakeRead();
  bool TakeWrite();

private:
  std::mutex mMutex;
  token_bucket mReads;
  token_bucket mWrites;
};

} // namespace lavender::platform
