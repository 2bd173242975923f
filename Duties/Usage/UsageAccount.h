#pragma once

#include "Libraries/Core/Clock.h"
#include "Libraries/Wire/Generated/lavender_types.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <tuple>
#include <vector>

/** What each customer has used, counted by two witnesses and reported once.
 */
namespace lavender::usage {

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
   * first one that isn't.
   * @return window that it was counted in */
  std::int64_t CountRun(const std::string& aAgentIncarnation,
                        const std::string& aEntryIncarnation,
                        const std::string& aCustomer,
                        std::int64_t aWindow,
                        std::int64_t aPromptTokens,
                        std::int64_t aCompletionTokens);

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

  void Add(const bucket_key& aKey,
           const std::string& aCustomer,
           std::int64_t aPromptTokens,
           std::int64_t aCompletionTokens);

  mutable std::mutex mMutex;
  std::int64_t mClosedThrough = -1;
  std::map<bucket_key, std::map<std::string, wire::usage_row>> mBuckets;
};

/** Number of the window that a wall-clock time falls in. */
std::int64_t
WindowOf(std::chrono::system_clock::time_point aTime,
         std::chrono::seconds aLength);

} // namespace lavender::usage
