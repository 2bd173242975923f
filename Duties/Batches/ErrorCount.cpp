#include "Duties/Batches/ErrorCount.h"

#include <algorithm>

namespace lavender::batches {

void
RecordError(error_count& aCount)
{
  ++aCount.mKnown;
  ++aCount.mPossible;
}

void
RecordEarlierOwners(error_count& aCount, int aOwners)
{
  if (aCount.mStored == 0) {
    aCount.mPossible += aOwners;
  }
}

bool
MaySend(const error_count& aCount)
{
  const bool hasErrors = aCount.mKnown > 0 || aCount.mStored > 0;
  return !hasErrors || aCount.mStored > aCount.mPossible;
}

std::optional<error_record>
RecordToStore(const error_count& aCount, std::size_t aItem)
{
  if (MaySend(aCount)) {
    return std::nullopt;
  }
  return error_record{ aItem, aCount.mKnown, aCount.mPossible + 1 };
}

void
ApplyStored(error_count& aCount, const error_record& aRecord, bool aIsOwn)
{
  aCount.mStored = std::max(aCount.mStored, aRecord.mPossible);
  if (!aIsOwn) {
    aCount.mKnown = std::max(aCount.mKnown, aRecord.mKnown);
    aCount.mPossible = std::max(aCount.mPossible, aRecord.mPossible);
  }
}

bool
HasFailedTooOften(const error_count& aCount, int aMaximumAttempts)
{
  return aCount.mKnown >= aMaximumAttempts &&
         aCount.mPossible >= kMaximumErrorsPerAttempt * aMaximumAttempts;
}

} // namespace lavender::batches
