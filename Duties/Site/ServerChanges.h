#pragma once

#include "Duties/Site/ServerDirectory.h"

namespace lavender::site {

/** Change of one server's record in the platform's list. */
enum class server_change
{
  /** Registered, or changed while it serves, as after loading weights. */
  Ready,
  Leaving,
  Removed
};

const char*
ToString(server_change aChange);

/** Counts of server changes since the last log line about them. Every entry
 * receives every change, so a line per change would be entries times servers
 * lines. */
struct server_changes
{
  std::int64_t mReady = 0;
  std::int64_t mLeaving = 0;
  std::int64_t mRemoved = 0;
};

/** Time from the first change until the log line that counts it. */
constexpr milliseconds kChangeSummaryDelay{ 5000 };

/** Counts a change.
 * @return whether it is the first one, so that a log line must be scheduled */
bool
RecordChange(server_changes& aChanges, server_change aChange);

/** Returns the counts and resets them. */
server_changes
TakeChanges(server_changes& aChanges);

} // namespace lavender::site
