#include "Duties/Batches/BatchRunner.h"

#include <algorithm>

namespace lavender::batches {

std::vector<error_record>
batch_runner::UnstoredErrors(const std::string& aBatchId) const
{
  std::vector<error_record> records;
  const auto batch = mBatches.find(aBatchId);
  if (batch == mBatches.end()) {
    return records;
  }
  const auto& items = batch->second.mItems;
  for (std::size_t i = 0; i < items.size(); ++i) {
    const auto record = items[i].mPhase == item_phase::Ended
                          ? std::nullopt
                          : RecordToStore(items[i].mErrors, i);
    if (record) {
      records.push_back(*record);
    }
  }
  return records;
}

bool
batch_runner::HasErrorsToStore(const std::string& aBatchId) const
{
  const auto batch = mBatches.find(aBatchId);
  // The block that begins an owner's term holds them in any case.
  if (batch == mBatches.end() || batch->second.mIsEndAsked ||
      batch->second.mTerm.mPhase != term_phase::Begun) {
    return false;
  }
  const auto& items = batch->second.mItems;
  return std::any_of(items.begin(), items.end(), [](const auto& aItem) {
    return aItem.mPhase == item_phase::Waiting && !MaySend(aItem.mErrors);
  });
}

void
batch_runner::ApplyStoredErrors(const std::string& aBatchId,
                                const std::vector<error_record>& aRecords,
                                bool aIsOwn)
{
  const auto found = mBatches.find(aBatchId);
  if (found == mBatches.end() || aRecords.empty()) {
    return;
  }
  auto& items = found->second.mItems;
  for (const auto& record : aRecords) {
    if (record.mItem < items.size()) {
      ApplyStored(items[record.mItem].mErrors, record, aIsOwn);
    }
  }
  Dispatch();
}

} // namespace lavender::batches
