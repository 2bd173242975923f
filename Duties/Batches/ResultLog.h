#pragma once

#include "Duties/Batches/Records.h"

#include <unordered_set>

namespace lavender::batches {

/** The listed results of one batch, in the order that every reader sees, and
 * those that wait to be listed.
 *
 * A result is listed when the block that holds it exists in the store. Blocks
 * are numbered, and each is created only if its number is free; so two entries
 * that both believe to run a batch can waste work, but never give one position
 * two contents. */
struct result_log
{
  /** JSON text of each listed result; its index is its position. */
  std::vector<std::string> mListed;
  std::unordered_set<std::string> mListedIds;
  result_block mPending;
  std::unordered_set<std::string> mPendingIds;
  int mNextBlock = 0;
};

/** True when the item has a result, listed or about to be. */
bool
HasResult(const result_log& aLog, const std::string& aItemId);

/** Adds a result to be listed; the first one of an item counts. */
void
AddPending(result_log& aLog, const std::string& aItemId, std::string aEntry);

/** Takes in a block that exists in the store under the next number, written by
 * this entry or by another. Its results are listed; those of its items that
 * still waited here are dropped.
 * @return ids of the items whose results weren't known here before */
std::vector<std::string>
TakeBlock(result_log& aLog, const result_block& aBlock);

/** The results that have waited longest, at most that many bytes but at least
 * one if there is one. */
result_block
FirstPending(const result_log& aLog, std::size_t aBytes);

struct results_page
{
  std::size_t mNext = 0;
  std::vector<const std::string*> mEntries;
};

/** Listed results from a position on, at most that many bytes but at least
 * one if there is one. */
results_page
ReadPage(const result_log& aLog, std::size_t aAfter, std::size_t aBytes);

} // namespace lavender::batches
