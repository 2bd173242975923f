#include "Duties/Usage/UsageAccount.h"

#include <algorithm>

namespace lavender::usage {

void
usage_account::Count(const std::string& aAgentIncarnation,
                     const std::string& aEntryIncarnation,
                     const std::string& aCustomer,
                     std::int64_t aWindow,
                     std::int64_t aPromptTokens,
                     std::int64_t aCompletionTokens)
{
  std::lock_guard lock(mMutex);
  Add({ aAgentIncarnation, aEntryIncarnation, aWindow },
      aCustomer,
      aPromptTokens,
      aCompletionTokens);
}

std::int64_t
usage_account::CountRun(const std::string& aAgentIncarnation,
                        const std::string& aEntryIncarnation,
                        const std::string& aCustomer,
                        std::int64_t aWindow,
                        std::int64_t aPromptTokens,
                        std::int64_t aCompletionTokens)
{
  std::lock_guard lock(mMutex);
  const auto window = std::max(aWindow, mClosedThrough + 1);
  Add({ aAgentIncarnation, aEntryIncarnation, window },
      aCustomer,
      aPromptTokens,
      aCompletionTokens);
  return window;
}

std::int64_t
usage_account::Close(std::int64_t aThroughWindow)
{
  std::lock_guard lock(mMutex);
  mClosedThrough = std::max(mClosedThrough, aThroughWindow);
  return mClosedThrough;
}

void
usage_account::Add(const bucket_key& aKey,
                   const std::string& aCustomer,
                   std::int64_t aPromptTokens,
                   std::int64_t aCompletionTokens)
{
  auto& row = mBuckets[aKey][aCustomer];
  row.customer = aCustomer;
  ++row.requests;
  row.prompt_tokens += aPromptTokens;
  row.completion_tokens += aCompletionTokens;
}

std::vector<wire::usage_bucket>
usage_account::Buckets(std::int64_t aThroughWindow) const
{
  std::lock_guard lock(mMutex);
  std::vector<wire::usage_bucket> buckets;
  for (const auto& [key, rows] : mBuckets) {
    const auto& [agent, entry, window] = key;
    if (window > aThroughWindow) {
      continue;
    }
    wire::usage_bucket bucket;
    bucket.agent_incarnation = agent;
    bucket.entry_incarnation = entry;
    bucket.window = window;
    for (const auto& [customer, row] : rows) {
      bucket.rows.push_back(row);
    }
    buckets.push_back(std::move(bucket));
  }
  return buckets;
}

void
usage_account::Settle(const std::vector<wire::usage_bucket>& aSettled)
{
  std::lock_guard lock(mMutex);
  for (const auto& bucket : aSettled) {
    mBuckets.erase(
      { bucket.agent_incarnation, bucket.entry_incarnation, bucket.window });
  }
}

std::int64_t
WindowOf(std::chrono::system_clock::time_point aTime,
         std::chrono::seconds aLength)
{
  return std::chrono::duration_cast<std::chrono::seconds>(
           aTime.time_since_epoch()) /
         aLength;
}

} // namespace lavender::usage
