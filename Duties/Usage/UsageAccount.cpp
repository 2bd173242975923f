#include "Duties/Usage/UsageAccount.h"

#include <algorithm>

namespace lavender::usage {
namespace {

/** Takes a run out of its customer's row, and the row when nothing is left. */
void
Subtract(std::map<std::string, wire::usage_row>& aRows, const counted_run& aRun)
{
  auto& row = aRows.at(aRun.mCustomer);
  --row.requests;
  row.prompt_tokens -= aRun.mPromptTokens;
  row.completion_tokens -= aRun.mCompletionTokens;
  if (row.requests == 0) {
    aRows.erase(aRun.mCustomer);
  }
}

} // namespace

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
                        std::int64_t aWindow,
                        const counted_run& aRun)
{
  std::lock_guard lock(mMutex);
  const auto window = std::max(aWindow, mClosedThrough + 1);
  if (IsSuperseded(aAgentIncarnation, aRun.mRequestId)) {
    return window;
  }
  const bucket_key key{ aAgentIncarnation, aEntryIncarnation, window };
  Add(key, aRun.mCustomer, aRun.mPromptTokens, aRun.mCompletionTokens);
  mBuckets[key].mRuns[aRun.mRequestId] = aRun;
  return window;
}

void
usage_account::RecordSuperseded(const wire::superseded_run& aRun)
{
  std::lock_guard lock(mMutex);
  Remember(aRun);
}

std::vector<wire::superseded_run>
usage_account::Superseded() const
{
  std::lock_guard lock(mMutex);
  return { mSuperseded.begin(), mSuperseded.end() };
}

void
usage_account::RemoveSupersededRuns(
  const std::string& aAgentIncarnation,
  const std::vector<wire::superseded_run>& aRuns)
{
  std::lock_guard lock(mMutex);
  for (const auto& run : aRuns) {
    if (run.agent_incarnation != aAgentIncarnation ||
        IsSuperseded(run.agent_incarnation, run.request_id)) {
      continue;
    }
    Remember(run);
    for (auto& [key, counts] : mBuckets) {
      if (const auto found = counts.mRuns.find(run.request_id);
          found != counts.mRuns.end()) {
        Subtract(counts.mRows, found->second);
        counts.mRuns.erase(found);
      }
    }
  }
}

bool
usage_account::IsSuperseded(const std::string& aAgentIncarnation,
                            const std::string& aRequestId) const
{
  return std::any_of(
    mSuperseded.begin(), mSuperseded.end(), [&](const auto& aRun) {
      return aRun.agent_incarnation == aAgentIncarnation &&
             aRun.request_id == aRequestId;
    });
}

void
usage_account::Remember(const wire::superseded_run& aRun)
{
  mSuperseded.push_back(aRun);
  if (mSuperseded.size() > kMaximumSuperseded) {
    mSuperseded.pop_front();
  }
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
  auto& row = mBuckets[aKey].mRows[aCustomer];
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
  for (const auto& [key, counts] : mBuckets) {
    const auto& [agent, entry, window] = key;
    if (window > aThroughWindow) {
      continue;
    }
    wire::usage_bucket bucket;
    bucket.agent_incarnation = agent;
    bucket.entry_incarnation = entry;
    bucket.window = window;
    for (const auto& [customer, row] : counts.mRows) {
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
