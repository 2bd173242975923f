#pragma once

#include "Libraries/Core/Clock.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

/** Learns how fast each model server generates events. Servers of one pool may
 * differ in speed, and a server's machine may be slow for a moment because
 * others use it too. No I/O. */
namespace lavender::scheduling {

/** Time between two events of a run. */
using event_time = std::chrono::duration<double, std::milli>;

/** Events of a part of the averaging time. */
struct speed_interval
{
  /** Time that the events cover, with parallel runs counted once. */
  event_time mCovered{ 0 };
  /** Sum of the times between events at the machine's usual speed. */
  event_time mUsualSum{ 0 };
  int mEvents = 0;
};

/** Whether a server can mean the time; also false if it is not a number. */
bool
IsPossible(event_time aTime);

struct server_speed
{
  /** Time between two events at the usual speed of the server's machine; zero
   * while unknown. Told by another entry while mEvents is too small for an
   * estimate of its own. */
  event_time mEventTime{ 0 };
  /** Number of events that this entry has measured. */
  int mEvents = 0;
  /** Factor by which work took longer than usual on the server's machine when
   * the server last told it. */
  double mSlowdown = 1;
  time_point mSlowdownSeenAt;
  /** Since when the server has told a slowdown without a pause. */
  time_point mSlowSince;
  /** Newest last; the last one still grows. */
  std::vector<speed_interval> mIntervals;
};

/** By server id. A server that starts again under its old id is forgotten by
 * the owner of the map. */
using server_speeds = std::map<std::string, server_speed>;

/** Applies a measured time. Times that no server can mean are ignored.
 *
 * The estimate is the median over short intervals of the averaging time, which
 * a machine that is slow for less than half of that time doesn't change. A
 * slowdown that the server tells is taken out, too, unless it has lasted for
 * the whole averaging time: then it is the server's speed.
 * @param aParallelRuns runs of this entry on the server, whose events all
 * count, so that the average covers the same time whatever their number is */
void
RecordEventTime(server_speed& aSpeed,
                event_time aSinceLast,
                int aParallelRuns,
                time_point aNow);

/** Records the slowdown that a server told. Figures that no server can mean are
 * ignored.
 * @return false if the figure was ignored */
bool
RecordSlowdown(server_speed& aSpeed, double aSlowdown, time_point aNow);

/** Returns the time between two events to be expected of a run that goes on for
 * longer than a slow moment lasts; none if the server's speed isn't known. */
std::optional<event_time>
ExpectedEventTime(const server_speed& aSpeed);

/** Median over the servers that this entry has measured; none if there is no
 * such server. A few slow servers don't change the median. Told speeds don't
 * count, because only those that differ from the median are told. */
std::optional<event_time>
MedianEventTime(const server_speeds& aSpeeds);

/** Time of an event relative to the median server; 1 if the speed isn't known
 * or about the median: measured speeds of equal servers differ a little. */
double
RelativeTime(std::optional<event_time> aEventTime, event_time aMedian);

/** A server's speed as one entry tells it to the others with the metadata of a
 * batch. */
struct told_speed
{
  std::string mServer;
  event_time mEventTime{ 0 };
};

/** Speeds that this entry has measured itself and that differ clearly from the
 * median; empty if the servers are alike. */
std::vector<told_speed>
SpeedsToTell(const server_speeds& aSpeeds);

/** Applies what another entry tells. Own measurements are kept. */
void
ApplyToldSpeeds(server_speeds& aSpeeds, const std::vector<told_speed>& aTold);

} // namespace lavender::scheduling
