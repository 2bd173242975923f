#pragma once

#include "Libraries/Core/Clock.h"
#include "Libraries/Wire/Generated/lavender_types.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <tuple>
#include <vector>

/** Usage of each customer. The agent and the entry of a request both count it,
 * and it is reported once. */
namespace lavender::usage {

/** Usage of one run, as counted by the agent that executed it. */
struct run_usage
{
  std::string mRequestId;
  std::string mCustomer;
  std::int64_t mPromptTokens = 0;
  std::int64_t mCompletionTokens = 0;
};

/** Number of superseded runs that a process remembers; older ones are dropped.
 * Runs are repeated at another agent only when an agent becomes unreachable.
 * 4,096 runs are all slots of 340 such agents and take half a megabyte. */
constexpr std::size_t kMaximumSuperseded = 4096;

/** The counts of one process, in buckets by agent, entry and window. The agent
 * and the entry of a request both count it in the same bucket, so that no count
 * is lost when one of them dies. Thread-safe. */
class usage_account
{
public:
  /** Counts one served request at the entry.
   * @param aWindow window in which the run ended by the agent's clock */
  void Count(const std::string& aAgentIncarnation,
             const std::string& aEntryIncarnation,
             const std::string& aCustomer,
             std::int64_t aWindow,
             std::int64_t aPromptTokens,
             std::int64_t aCompletionTokens);

  /** Counts one run at the agent, in aWindow or, when that window is closed, in
   * the first open one. A run that is already superseded isn't counted.
   * @return window in which the run is counted */
  std::int64_t CountRun(const std::string& aAgentIncarnation,
                        const std::string& aEntryIncarnation,
                        std::int64_t aWindow,
                        const run_usage& aRun);

  /** Records that this entry repeats the request of a run at another agent. */
  void RecordSuperseded(const wire::superseded_run& aRun);
  /** Returns the recorded superseded runs, oldest first. */
  std::vector<wire::superseded_run> Superseded() const;

  /** Removes superseded runs from this agent's counts, including runs that end
   * later, so that a repeated request isn't billed twice. Runs whose bucket was
   * settled are billed already and can't be removed. */
  void RemoveSupersededRuns(const std::string& aAgentIncarnation,
                            const std::vector<wire::superseded_run>& aRuns);

  /** Closes all windows up to aThroughWindow: no further run is counted in
   * their buckets, so a reporter receives them complete. Closed windows stay
   * closed.
   * @return newest closed window */
  std::int64_t Close(std::int64_t aThroughWindow);

  /** Returns the buckets of all windows up to aThroughWindow that aren't
   * settled.
   */
  std::vector<wire::usage_bucket> Buckets(std::int64_t aThroughWindow) const;

  /** Removes buckets that are included in a stored window report. */
  void Settle(const std::vector<wire::usage_bucket>& aSettled);

private:
  using bucket_key = std::tuple<std::string, std::string, std::int64_t>;

  struct counts
  {
    /** Sums by customer. */
    std::map<std::string, wire::usage_row> mRows;
    /** The agent's own runs by request id, until the bucket is settled. */
    std::map<std::string, run_usage> mRuns;
  };

  void Add(const bucket_key& aKey,
           const std::string& aCustomer,
           std::int64_t aPromptTokens,
           std::int64_t aCompletionTokens);
  bool IsSuperseded(const std::string& aAgentIncarnation,
                    const std::string& aRequestId) const;
  void RememberSuperseded(const wire::superseded_run& aRun);

  mutable std::mutex mMutex;
  std::int64_t mClosedThrough = -1;
  std::map<bucket_key, counts> mBuckets;
  std::deque<wire::superseded_run> mSuperseded;
};

/** Returns the number of the window that contains a wall-clock time. */
std::int64_t
WindowOf(std::chrono::system_clock::time_point aTime,
         std::chrono::seconds aLength);

} // namespace lavender::usage
