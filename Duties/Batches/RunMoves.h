#pragma once

#include "Duties/Batches/Schedule.h"
#include "Duties/Scheduling/RunLength.h"
#include "Duties/Scheduling/ServerSpeed.h"

/** Decides which runs move to a faster server. A step waits for its longest
 * runs: a long run that started on a slow server, because the fast ones were
 * full or because nobody knew that it would be long, ends last of all. No I/O.
 */
namespace lavender::batches {

/** A run that may be resumed at another server. */
struct movable_run
{
  /** Index of its server. */
  std::size_t mServer = 0;
  scheduling::remaining_events mLeft;
  /** Number of times that the item has moved. */
  int mMoves = 0;
  item_requirements mNeed;
};

struct run_move
{
  /** Index of the run. */
  std::size_t mRun = 0;
  /** Index of the server that it moves to. */
  std::size_t mServer = 0;
  /** Time by which the run is expected to end sooner. */
  scheduling::event_time mGain{ 0 };
};

/** Returns moves that make a run end clearly sooner, those of the longest runs
 * first. Servers' loads in aEngines are updated by the moves.
 * @param aMedian time of an event on a server of median speed
 * @param aMinimumEvents runs with fewer events left stay, because other items
 * need the places more */
std::vector<run_move>
ChooseMoves(std::vector<engine_view>& aEngines,
            const std::vector<movable_run>& aRuns,
            scheduling::event_time aMedian,
            double aMinimumEvents,
            time_point aNow);

/** Whether a server exists to which a run might move: one with room that is
 * clearly faster than some server with runs of this entry. */
bool
HasFasterServer(const std::vector<engine_view>& aEngines, time_point aNow);

} // namespace lavender::batches
