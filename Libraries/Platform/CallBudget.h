#pragma once

#include "Libraries/Core/Clock.h"

#include <mutex>

namespace lavender::platform {

/** Token bucket: calls that may leave now without going over the rate. */
struct token_bucket
{
  double mPerSecond = 0;
  /** Calls that may leave at once after a quiet time. */
  double mBurst = 0;
  double mTokens = 0;
  time_point mFilledAt;
};

/** A full bucket. */
token_bucket
MakeBucket(double aPerSecond, double aBurst, time_point aNow);

/** Takes one token; false when there is none. */
bool
TakeToken(token_bucket& aBucket, time_point aNow);

/** This process's part of the rates that the platform grants to the whole
 * fleet. The platform counts each call, a waiting watch as one, and its rates
 * grow more slowly than the fleet: one busy process must not use up what the
 * leases of the others need. */
class call_budget
{
public:
  call_budget(double aReadsPerSecond, double aWritesPerSecond);

  /** False when the call has to be refused at once. */
  bool TakeRead();
  bool TakeWrite();

private:
  std::mutex mMutex;
  token_bucket mReads;
  token_bucket mWrites;
};

} // namespace lavender::platform
