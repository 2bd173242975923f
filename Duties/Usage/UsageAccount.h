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

/** What each customer has used, counted by two witnesses and reported once.
 */
namespace lavender::usage {

/** One run as the agent that made it counts it. */
struct counted_run
{
  std::string mRequestId;
  std::string mCustomer;
  std::int64_t mPromptTokens = 0;
  std::int64_t mCompletionTokens = 0;
};

/** Superseded runs that a witness remembers, the newest ones. Runs are repeated
 * elsewhere only when an agent falls out of reach; 4,096 of them are all slots
 * of 340 such agents and take half a megabyte. */
constexpr std::size_t kMaximumSuperseded = 4096;

/** One witness' counts: per agent, entry and window. Both the agent and the
 * entry of a request count it in the same bucket, so that the death of one
 * loses nothing. Safe to use from any thread. */
class usage_account
{
public:
  /** Counts one served request.
   * @param aWindow window of the run's end by the agent's clock */
  void Count(const std::string& aAgentIncarnation,
             const std::string& aEntryIncarnation,
             const std::string& aCustomer,
             std::int64_t aWindow,
             std::int64_t aPromptTokens,
             std::int64_t aCompletionTokens);

  /** Counts one run at the agent, in its window or, when that is closed, in the
   * first one that isn't. A run that is superseded already isn't counted.
   * @return window that it was counted in */
  std::int64_t CountRun(const std::string& aAgentIncarnation,
                        const std::string& aEntryIncarnation,
                        std::int64_t aWindow,
                        const counted_run& aRun);

  /** Notes that an entry repeats that run elsewhere. */
  void RecordSuperseded(const wire::superseded_run& aRun);
  /** The runs so noted, oldest first. */
  std::vector<wire::superseded_run> Superseded() const;

  /** Takes runs of this agent out of its counts, also when they end later: a
   * caller whose call was repeated would pay for both runs. Counts that a
   * report has fixed already stay. */
  void RemoveSupersededRuns(const std::string& aAgentIncarnation,
                            const std::vector<wire::superseded_run>& aRuns);

  /** Closes the windows up to that one: whoever is told of their buckets can
   * rely on getting them whole. Closed windows stay closed.
   * @return newest closed window */
  std::int64_t Close(std::int64_t aThroughWindow);

  /** Buckets of windows up to that one that aren't settled. */
  std::vector<wire::usage_bucket> Buckets(std::int64_t aThroughWindow) const;

  /** Forgets buckets that the platform has fixed. */
  void Settle(const std::vector<wire::usage_bucket>& aSettled);

private:
  using bucket_key = std::tuple<std::string, std::string, std::int64_t>;

  struct counts
  {
    /** By customer. */
    std::map<std::string, wire::usage_row> mRows;
    /** The agent's own runs by request id, until the bucket is settled. */
    std::map<std::string, counted_run> mRuns;
  };

  void Add(const bucket_key& aKey,
           const std::string& aCustomer,
           std::int64_t aPromptTokens,
           std::int64_t aCompletionTokens);
  bool IsSuperseded(const std::string& aAgentIncarnation,
                    const std::string& aRequestId) const;
  void Remember(const wire::superseded_run& aRun);

  mutable std::mutex mMutex;
  std::int64_t mClosedThrough = -1;
  std::map<bucket_key, counts> mBuckets;
  std::deque<wire::superseded_run> mSuperseded;
};

/** Number of the window that a wall-clock time falls in. */
std::int64_t
WindowOf(std::chrono::system_clock::time_point aTime,
         std::chrono::seconds aLength);

} // namespace lavender::usage
