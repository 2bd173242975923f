#pragma once

#include "Duties/Batches/ResultLog.h"

/** Chooses what goes into the next block of results, so that the store takes
 * it. Sizes are those of the objects as they are written, in bytes. No I/O. */
namespace lavender::batches {

/** Largest spec or status that fits into an object of the store, beside its
 * name and the store's own fields. */
std::size_t
LargestContent(std::size_t aMaximumObjectBytes);

/** Largest text of an item, as it is written, whose result fits into a block
 * and a page. */
std::size_t
LargestText(std::size_t aMaximumObjectBytes);

/** Returns a block that is no larger than the given size: as much as fits of
 * what is to be stored, in the order runs, errors, servers, pending results and
 * parts of texts. All runs of an item are in one block or none is. A term
 * begins with the block that holds the last of the runs and errors. A block
 * with nothing else holds one result or part of a text at least, however large
 * it is.
 * @param aAll what is to be stored beside the pending results */
result_block
FillBlock(result_block aAll, const result_log& aLog, std::size_t aMaximumBytes);

/** Removes the runs of items with the fewest ends until the others, as part of
 * a batch's status, are no larger than the given size.
 * @return number of removed runs */
std::size_t
CutCountedRuns(std::vector<item_run>& aRuns, std::size_t aMaximumBytes);

} // namespace lavender::batches
