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

/** The figures of one usage window, and which counts they include. */
namespace lavender::usage {

/** (agent incarnation, entry incarnation, window). */
using bucket_key = std::tuple<std::string, std::string, std::int64_t>;

bucket_key
KeyOf(const wire::usage_bucket& aBucket);

/** Which buckets the reports so far include. Each report carries it on, so
 * that the newest one tells of all. */
struct usage_marks
{
  /** All buckets of that agent up to that window. One mark stands for the
   * buckets of every entry, so its size grows with the agents only. */
  std::map<std::string, std::int64_t> mAgents;
  /** Buckets taken from the entry, of agents that were gone. */
  std::set<bucket_key> mBuckets;
};

bool
IsIncluded(const usage_marks& aMarks, const wire::usage_bucket& aBucket);

/** Those that are included, by their keys alone: what a witness needs to forget
 * them. */
std::vector<wire::usage_bucket>
IncludedOf(const usage_marks& aMarks,
           const std::vector<wire::usage_bucket>& aBuckets);

/** What an agent told. */
struct agent_offer
{
  std::string mIncarnation;
  std::int64_t mClosedThrough = -1;
  std::vector<wire::usage_bucket> mBuckets;
};

/** The figures of one window. Fixed once, then reported unchanged. */
struct window_report
{
  std::int64_t mWindow = 0;
  std::map<std::string, wire::usage_row> mRows;
  /** Served in an earlier window, and known too late for its report. */
  std::map<std::pair<std::int64_t, std::string>, wire::usage_row> mLateRows;
  usage_marks mMarks;
  bool mIsReported = false;
};

/** How many windows an unsettled bucket is waited for. Marks are kept as long,
 * so that no bucket outlives the memory of its inclusion. */
constexpr std::int64_t kKeepWindows = 10080;

/** Makes the figures of a window from what all witnesses told. An agent's own
 * bucket goes first; an entry's is used when that agent is gone.
 * @param aIsGone whether that agent incarnation will never answer again */
window_report
MakeReport(std::int64_t aWindow,
           const std::vector<agent_offer>& aAgents,
           const std::vector<wire::usage_bucket>& aFromEntries,
           const std::function<bool(const std::string&)>& aIsGone,
           const usage_marks& aMarks);

/** What the Object API holds, kind "UsageWindow". */
json::value
ToJson(const window_report& aReport);
window_report
ParseReport(const json::value& aValue);

/** What the platform's intake is told; the same on every try. */
json::value
DescribeFigures(const window_report& aReport);

json::value
ToJson(const std::vector<wire::usage_bucket>& aBuckets);
std::vector<wire::usage_bucket>
ParseBuckets(const json::value& aValue);

json::value
ToJson(const std::vector<wire::superseded_run>& aRuns);
std::vector<wire::superseded_run>
ParseSuperseded(const json::value& aValue);

} // namespace lavender::usage
