#pragma once

#include "Libraries/Core/Clock.h"
#include "Libraries/ObjectStore/ObjectStore.h"

#include <cstdint>

/** Decides what follows a write of a block of results. A write without a
 * response may have been carried out, or may be carried out seconds later, so
 * the block's position is read back before anything else is written there. */
namespace lavender::batches {

/** A write that has had no response for this long is read back without waiting
 * for its time-out: the call may belong to an outage that is over, and the
 * results that it holds up may be due. A store that answers at all, if slowly,
 * does so sooner. */
constexpr milliseconds kSilentWriteAge{ 500 };
/** Interval at which read-backs start while the earlier ones have no response.
 */
constexpr milliseconds kReadBackInterval{ 200 };

/** Delay before a block is written once more while nothing gets stored. */
constexpr milliseconds kRepeatDelay{ 250 };

/** The latest write of a batch's block, including its read-backs. */
struct block_write
{
  /** Identifies the write. Responses to an earlier one are ignored. */
  std::uint64_t mNumber = 0;
  bool mIsOpen = false;
  bool mIsReadBack = false;
  /** Number of writes in a row after which nothing was stored. */
  int mRepeats = 0;
};

enum class write_step
{
  /** The block is stored: list it. */
  Apply,
  /** Nothing is stored at the block's position: write a block again. */
  WriteAgain,
  /** The store never takes this block: write a smaller one. */
  WriteSmaller,
  /** It isn't known what is stored at the block's position: read it. */
  ReadBack
};

/** Time until a block is written again after nothing was stored: none after the
 * first time, when the store has just returned. */
milliseconds
DelayOfRepeat(block_write& aWrite);

/** @return the number of the new write */
std::uint64_t
BeginWrite(block_write& aWrite);

void
EndWrite(block_write& aWrite);

/** Whether a response to the write with this number, or to one of its
 * read-backs, still counts. */
bool
IsOpen(const block_write& aWrite, std::uint64_t aNumber);

write_step
StepAfterWrite(objects::store_outcome aOutcome);

write_step
StepAfterReadBack(objects::store_outcome aOutcome);

} // namespace lavender::batches
