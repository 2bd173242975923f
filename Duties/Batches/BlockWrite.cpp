#include "Duties/Batches/BlockWrite.h"

namespace lavender::batches {

using objects::store_outcome;

std::uint64_t
BeginWrite(block_write& aWrite)
{
  aWrite = { aWrite.mNumber + 1, true, false, aWrite.mRepeats };
  return aWrite.mNumber;
}

milliseconds
DelayOfRepeat(block_write& aWrite)
{
  return aWrite.mRepeats++ == 0 ? milliseconds(0) : kRepeatDelay;
}

void
EndWrite(block_write& aWrite)
{
  aWrite.mIsOpen = false;
}

bool
IsOpen(const block_write& aWrite, std::uint64_t aNumber)
{
  return aWrite.mIsOpen && aWrite.mNumber == aNumber;
}

write_step
StepAfterWrite(store_outcome aOutcome)
{
  switch (aOutcome) {
    case store_outcome::Done:
      return write_step::Apply;
    case store_outcome::Refused:
      return write_step::WriteAgain;
    case store_outcome::TooLarge:
      return write_step::WriteSmaller;
    default:
      return write_step::ReadBack;
  }
}

write_step
StepAfterReadBack(store_outcome aOutcome)
{
  switch (aOutcome) {
    case store_outcome::Done:
      return write_step::Apply;
    case store_outcome::NotFound:
      return write_step::WriteAgain;
    default:
      return write_step::ReadBack;
  }
}

} // namespace lavender::batches
