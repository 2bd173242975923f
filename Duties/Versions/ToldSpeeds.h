#pragma once

#include "Duties/Scheduling/ServerSpeed.h"
#include "Duties/Site/ServerDirectory.h"

/** Combines the speeds that the entries of different models tell, each of which
 * knows only the servers that serve its model. No I/O. */
namespace lavender::versions {

/** Relative speeds by server id: events per time compared with a usual server
 * of the pool. A server that isn't listed has the usual speed, 1. */
using relative_speeds = std::map<std::string, double>;

/** Model that each server shall serve, by server id. */
using model_placement = std::map<std::string, std::string>;

struct told_server
{
  /** Start time of the server that the figure is about. */
  std::int64_t mStartedAt = 0;
  scheduling::event_time mEventTime{ 0 };
  /** Number of batches of the server's model in a row that told other servers'
   * speeds but not this one's. */
  int mOmissions = 0;
};

struct told_speeds
{
  std::map<std::string, told_server> mServers;
  /** Median event time that the latest batch told, by model. */
  std::map<std::string, scheduling::event_time> mMedians;
  /** Derived from the above, but changed only if a server's speed has clearly
   * changed, because a server that is moved to another model must load. */
  relative_speeds mRelative;
};

/** What one batch tells of the servers. */
struct batch_speeds
{
  std::string mModel;
  /** Servers whose event time differs clearly from the median. */
  std::vector<scheduling::told_speed> mServers;
  /** Median event time of the servers; zero if unknown. */
  scheduling::event_time mMedian{ 0 };
};

/** Records what a batch tells. Ignored for servers that the directory doesn't
 * list; the next batch tells them again. A server that has been told before
 * and is omitted by three batches of its model in a row has the median speed:
 * a batch may also omit a server because it has just come to the model. A batch
 * without a median tells nothing. */
void
RecordToldSpeeds(told_speeds& aSpeeds,
                 const batch_speeds& aBatch,
                 const model_placement& aPlaced,
                 const site::server_directory& aDirectory);

/** Forgets servers that are gone or have started again. */
void
ForgetGoneServers(told_speeds& aSpeeds,
                  const site::server_directory& aDirectory);

/** Updates the relative speeds of one pool's servers, compared with the median
 * over the pool. A server that was never told counts with the median of its
 * model, or of the models if its own is unknown.
 * @param aPool ids of the pool's servers */
void
UpdateRelativeSpeeds(told_speeds& aSpeeds,
                     const std::vector<std::string>& aPool,
                     const model_placement& aPlaced);

} // namespace lavender::versions
