#pragma once

#include "Libraries/Core/Clock.h"

#include <cstdint>
#include <map>
#include <string>

namespace lavender::samples {

/** Total duration and tokens of finished samples. Older samples lose weight, so
 * that a server which recovers isn't considered slow any longer. */
struct server_pace
{
  double mSeconds = 0;
  double mTokens = 0;
};

/** Generation speed of each server as measured by this entry. */
struct pace_table
{
  std::map<std::string, server_pace> mServers;
};

struct pace_limits
{
  /** A server is slow when its time per token exceeds the median by this
   * factor. */
  double mSlowFactor = 2;
  /** A sample is overdue when it takes longer than its maximum number of tokens
   * would take at its server's speed, multiplied by this. */
  double mOverdueFactor = 1.25;
  /** Number of tokens measured before a server is assessed. */
  double mMinimumTokens = 50;
  /** No sample counts as overdue before this. */
  milliseconds mMinimumOverdueTime{ 5000 };
};

/** A sample in progress. */
struct running_sample
{
  std::string mServer;
  milliseconds mElapsed{ 0 };
  std::int64_t mMaximumTokens = 0;
  /** Every other sample of the step is finished or in progress. */
  bool mIsLastOfStep = false;
  /** The sample was restarted on another server before. A slow server is then
   * no reason to restart it again. */
  bool mWasMoved = false;
};

void
RecordPace(pace_table& aTable,
           const std::string& aServer,
           milliseconds aElapsed,
           std::int64_t aTokens);

/** Returns the reason to restart a sample on another server, or an empty
 * string.
 *
 * Neither reason depends on the length of this sample's text: restarting
 * whatever takes longest would discard long texts and bias the batch towards
 * short ones. */
std::string
FindMoveReason(const pace_table& aTable,
               const pace_limits& aLimits,
               const running_sample& aSample);

} // namespace lavender::samples
