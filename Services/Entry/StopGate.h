#pragma once

#include "Duties/Forwarding/StopDecision.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>

namespace lavender::entry {

/** Decides which calls are sent to agents once the process is told to stop, and
 * counts what becomes of them. Thread-safe; the time is passed in. */
class stop_gate
{
public:
  /** How calls that came or ended after the signal were answered. */
  struct counts
  {
    std::int64_t mServed = 0;
    /** Calls that didn't run. */
    std::int64_t mRefused = 0;
    /** Calls that may have run. */
    std::int64_t mGivenUp = 0;
  };

  /** From now on only calls begin that will have ended by then. */
  void StartStopping(time_point aAnswersUntil);
  /** Whether the call may be sent; if so, EndCall follows. */
  bool BeginCall(const std::string& aPool,
                 time_point aNow,
                 time_point aDeadline);
  void EndCall(const std::string& aPool,
               time_point aStart,
               time_point aNow,
               forwarding::request_end aEnd);
  /** Whether calls under way must end now, since their callers couldn't be
   * answered later. */
  bool IsOver(time_point aNow) const;
  /** Counts a response by its status; does nothing before the signal. */
  void CountResponse(int aStatus);
  counts Counts() const;

private:
  mutable std::mutex mMutex;
  std::optional<time_point> mAnswersUntil;
  std::map<std::string, forwarding::recent_durations> mDurations;
  std::map<std::string, std::multiset<time_point>> mUnderWay;
  counts mCounts;
};

} // namespace lavender::entry
