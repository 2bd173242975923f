#pragma once

#include "Duties/Site/ServerDirectory.h"

namespace lavender::site {

/** What became of one server's entry in the list. */
enum class server_change
{
  /** Registered, or changed while it serves, as with new weights. */
  Ready,
  Leaving,
  Removed
};

const char*
ToString(server_change aChange);

/** Changes of servers' entries since the last line of the log about them. All
 * entries hear of each change; a line for each would be entries times
 * servers. */
struct server_changes
{
  std::int64_t mReady = 0;
  std::int64_t mLeaving = 0;
  std::int64_t mRemoved = 0;
};

/** A line is due this long after the first change that it tells of. */
constexpr milliseconds kChangeSummaryDelay{ 5000 };

/** @return whether it is the first one, so that a line must be planned */
bool
RecordChange(server_changes& aChanges, server_change aChange);

/** All changes up to now; none are left. */
server_changes
TakeChanges(server_changes& aChanges);

} // namespace lavender::site
