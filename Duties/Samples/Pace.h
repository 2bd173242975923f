#pragma once

#include "Libraries/Core/Clock.h"

#include <cstdint>
#include <map>
#include <string>

namespace lavender::samples {

/** Seconds that finished samples took, and their tokens. Old ones fade, so
 * that a server which recovers is believed again. */
struct seen_pace
{
  double mSeconds = 0;
  double mTokens = 0;
};

/** How fast each server makes samples, as this entry has seen it. */
struct pace_table
{
  std::map<std::string, seen_pace> mServers;
};

struct pace_limits
{
  /** A server is slow when a token takes it this many times the
   * median. */
  double mSlowFactor = 2;
  /** A sample is overdue when it takes longer than its largest number of
   * tokens would at its server's pace, times this. */
  double mOverdueFactor = 1.25;
  /** Tokens seen of a server before it is judged. */
  double mEnoughTokens = 50;
  /** No sample is overdue before this. */
  milliseconds mLeastPatience{ 5000 };
};

/** One sample under way. */
struct running_sample
{
  std::string mServer;
  milliseconds mElapsed{ 0 };
  std::int64_t mMaximumTokens = 0;
  /** Every other sample of the step is made or under way. */
  bool mIsLastOfStep = false;
  /** It was stopped for its server's pace before; that happens once. */
  bool mWasMoved = false;
};

void
NotePace(pace_table& aTable,
         const std::string& aServer,
         milliseconds aElapsed,
         std::int64_t aTokens);

/** Why a sample is to be started again elsewhere; empty when it isn't.
 *
 * Both reasons are blind to how long this answer is: stopping what takes
 * longest would throw away long answers and bias the batch towards short
 * ones. */
std::string
FindReasonToMove(const pace_table& aTable,
                 const pace_limits& aLimits,
                 const running_sample& aSample);

} // namespace lavender::samples
