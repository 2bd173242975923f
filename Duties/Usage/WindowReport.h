#pragma once

#include "Libraries/Json/Value.h"
#include "Libraries/Wire/Generated/lavender_types.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

/** The usage report of one window, and the buckets that it includes. */
namespace lavender::usage {

/** (agent incarnation, entry incarnation, window). */
using bucket_key = std::tuple<std::string, std::string, std::int64_t>;

bucket_key
KeyOf(const wire::usage_bucket& aBucket);

/** Which buckets the reports so far include. Each report extends the marks of
 * the previous one, so the newest report covers all earlier ones. */
struct usage_marks
{
  /** For each agent, the window up to which all of its buckets are included.
   * One mark covers the agent's buckets of every entry, so the size grows only
   * with the number of agents. */
  std::map<std::string, std::int64_t> mAgents;
  /** Buckets that were included from the entry's counts because their agent had
   * terminated. */
  std::set<bucket_key> mBuckets;
};

bool
IsIncluded(const usage_marks& aMarks, const wire::usage_bucket& aBucket);

/** Returns the included ones of aBuckets without their rows, for the processes
 * that counted them to remove them. */
std::vector<wire::usage_bucket>
IncludedBuckets(const usage_marks& aMarks,
                const std::vector<wire::usage_bucket>& aBuckets);

/** An agent's response to a usage query. */
struct agent_usage
{
  std::string mIncarnation;
  std::int64_t mClosedThrough = -1;
  std::vector<wire::usage_bucket> mBuckets;
};

/** The usage report of one window. It is stored once, and then sent unchanged.
 */
struct window_report
{
  std::int64_t mWindow = 0;
  std::map<std::string, wire::usage_row> mRows;
  /** Usage of earlier windows that became known after their reports were
   * stored.
   */
  std::map<std::pair<std::int64_t, std::string>, wire::usage_row> mLateRows;
  usage_marks mMarks;
  bool mIsReported = false;
};

/** Number of windows after which an unsettled bucket is no longer included.
 * Marks are kept for the same number of windows, so that no bucket can be
 * included again after its mark was dropped. */
constexpr std::int64_t kRetainedWindows = 10080;

/** Builds the report of a window from the counts of all agents and entries. A
 * bucket is taken from its agent, or from its entry when the agent has
 * terminated.
 * @param aHasTerminated returns whether an agent incarnation will never answer
 * again */
window_report
BuildReport(std::int64_t aWindow,
            const std::vector<agent_usage>& aAgents,
            const std::vector<wire::usage_bucket>& aFromEntries,
            const std::function<bool(const std::string&)>& aHasTerminated,
            const usage_marks& aMarks);

/** Converts a report to and from the object of kind "UsageWindow" in the Object
 * API. */
json::value
ToJson(const window_report& aReport);
window_report
ParseReport(const json::value& aValue);

/** Returns the body that is sent to the platform's usage intake. It is the same
 * at each attempt. */
json::value
ToIntakeJson(const window_report& aReport);

json::value
ToJson(const std::vector<wire::usage_bucket>& aBuckets);
std::vector<wire::usage_bucket>
ParseBuckets(const json::value& aValue);

json::value
ToJson(const std::vector<wire::superseded_run>& aRuns);
std::vector<wire::superseded_run>
ParseSuperseded(const json::value& aValue);

} // namespace lavender::usage
