#pragma once

#include "Duties/Batches/Records.h"

#include <unordered_set>

namespace lavender::batches {

/** The listed results of one batch, in the order that every reader sees, and
 * the pending results.
 *
 * A result is listed once the block that holds it exists in the store. Blocks
 * are numbered, and a block is created only if no block with its number exists.
 * Two entries that both believe that they own a batch can therefore waste work,
 * but can't give one position two contents. */
struct result_log
{
  /** JSON text of each listed result; the index is the result's position. */
  std::vector<std::string> mListed;
  std::unordered_set<std::string> mListedIds;
  result_block mPending;
  std::unordered_set<std::string> mPendingIds;
  int mNextBlock = 0;
};

/** Whether the item has a listed or pending result. */
bool
HasResult(const result_log& aLog, const std::string& aItemId);

/** Adds a pending result. Ignored if the item has a result already. */
void
AddPending(result_log& aLog, const std::string& aItemId, std::string aEntry);

/** Applies the block that exists in the store under the next number, written by
 * this entry or by another one. Its results become listed, and pending results
 * of the same items are dropped.
 * @return ids of the items that had neither a listed nor a pending result */
std::vector<std::string>
ApplyBlock(result_log& aLog, const result_block& aBlock);

struct results_page
{
  std::size_t mNext = 0;
  std::vector<const std::string*> mEntries;
};

/** Returns the listed results from a position on: at least one if there is one,
 * and otherwise no more than the given number of bytes. */
results_page
ReadPage(const result_log& aLog, std::size_t aAfter, std::size_t aBytes);

} // namespace lavender::batches
