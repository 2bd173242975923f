#include "Duties/Batches/ResultLog.h"

namespace lavender::batches {

namespace {

/** Removes listed items from the pending ones. */
void
RemoveListed(result_log& aLog)
{
  result_block kept;
  aLog.mPendingIds.clear();
  for (std::size_t i = 0; i < aLog.mPending.mItemIds.size(); ++i) {
    auto& id = aLog.mPending.mItemIds[i];
    if (aLog.mListedIds.count(id) == 0) {
      aLog.mPendingIds.insert(id);
      kept.mItemIds.push_back(std::move(id));
      kept.mEntries.push_back(std::move(aLog.mPending.mEntries[i]));
    }
  }
  aLog.mPending = std::move(kept);
}

} // namespace

bool
HasResult(const result_log& aLog, const std::string& aItemId)
{
  return aLog.mListedIds.count(aItemId) > 0 ||
         aLog.mPendingIds.count(aItemId) > 0;
}

void
AddPending(result_log& aLog, const std::string& aItemId, std::string aEntry)
{
  if (HasResult(aLog, aItemId)) {
    return;
  }
  aLog.mPendingIds.insert(aItemId);
  aLog.mPending.mItemIds.push_back(aItemId);
  aLog.mPending.mEntries.push_back(std::move(aEntry));
}

std::vector<std::string>
ApplyBlock(result_log& aLog, const result_block& aBlock)
{
  std::vector<std::string> newIds;
  ++aLog.mNextBlock;
  for (std::size_t i = 0; i < aBlock.mItemIds.size(); ++i) {
    const auto& id = aBlock.mItemIds[i];
    if (aLog.mListedIds.count(id) > 0) {
      continue;
    }
    if (aLog.mPendingIds.count(id) == 0) {
      newIds.push_back(id);
    }
    aLog.mListedIds.insert(id);
    aLog.mListed.push_back(aBlock.mEntries[i]);
  }
  RemoveListed(aLog);
  return newIds;
}

results_page
ReadPage(const result_log& aLog, std::size_t aAfter, std::size_t aBytes)
{
  results_page page;
  page.mNext = aAfter;
  std::size_t bytes = 0;
  while (page.mNext < aLog.mListed.size()) {
    const auto& entry = aLog.mListed[page.mNext];
    if (!page.mEntries.empty() && bytes + entry.size() > aBytes) {
      break;
    }
    bytes += entry.size();
    page.mEntries.push_back(&entry);
    ++page.mNext;
  }
  return page;
}

} // namespace lavender::batches
