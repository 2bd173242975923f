#pragma once

#include "Duties/Batches/OwnerTerm.h"
#include "Libraries/Core/Clock.h"

#include <map>

/** Decides whether an item's last run has to wait because servers end for other
 * reasons. No I/O.
 *
 * Where servers end in series, most items that lost two of them are sound, and
 * a third end bars them for good. Their last run waits until the servers are
 * calm. The ends of the item's own servers count like the others: whether the
 * item or the series ended them isn't known, and the cause can wait too. */
namespace lavender::batches {

/** An end is recent for this time: other servers may follow it. */
constexpr milliseconds kRecentEndTime{ 3000 };
/** The same while servers end in series. */
constexpr milliseconds kSeriesEndTime{ 4000 };
/** So many ends that are remembered make a series. */
constexpr std::size_t kSeriesEnds = 3;
/** An end is remembered for this time, since the directory shows it seconds
 * after the connections broke. */
constexpr milliseconds kEndMemory{ 15000 };
/** Share of the servers of which so many recent ends don't make a run wait. */
constexpr double kCalmShare = 1.0 / 20;

/** Servers that ended or may have ended, and when that was seen first. Runs
 * that were moved off one of them count as lost, so each end is kept, also of a
 * server that ends again and again. */
using recent_ends = std::map<site::server_start, time_point>;

/** Records that a server ended or may have ended. The first record of a server
 * gives the time. */
void
RecordEnd(recent_ends& aEnds,
          const site::server_start& aServer,
          time_point aNow);

/** Removes old ends. */
void
ForgetOldEnds(recent_ends& aEnds, time_point aNow);

/** Number of servers that started a short time ago and whose end isn't
 * remembered. Most replace one that
 * ended, also one that ended before this process started. A start that lies
 * far in the future is one of a server with a wrong clock and doesn't count.
 * @param aWallClock time since 1970 */
std::size_t
CountYoungServers(const site::server_directory& aDirectory,
                  const recent_ends& aEnds,
                  milliseconds aWallClock);

/** Whether the item's last run waits, however late its result is: one more end
 * bars the item for good, also from the later batches that need it.
 * @param aServers number of servers in the directory
 * @param aYoungServers how many of them started a short time ago. They hold the
 * run for a short time only: where servers are renewed one after the other,
 * none ends under a run
 * @param aWaited for how long the item has waited */
bool
MustLastRunWait(const recent_ends& aEnds,
                std::size_t aServers,
                std::size_t aYoungServers,
                milliseconds aWaited,
                time_point aNow);

} // namespace lavender::batches
