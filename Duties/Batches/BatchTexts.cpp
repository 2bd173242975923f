#include "Duties/Batches/BatchRunner.h"

#include "Libraries/Core/Mechanisms.h"
#include "Libraries/EventLog/EventLog.h"

namespace lavender::batches {

std::vector<text_part>
batch_runner::Unsaved(const std::string& aBatchId,
                      milliseconds aLongerThan,
                      std::size_t aMostBytes) const
{
  std::vector<text_part> parts;
  const auto batch = mBatches.find(aBatchId);
  if (batch == mBatches.end() || !IsOn(mechanism::StoredTexts)) {
    return parts;
  }
  const auto now = boot_clock::now();
  std::size_t bytes = 0;
  for (std::size_t i = 0; i < batch->second.mItems.size(); ++i) {
    const auto& item = batch->second.mItems[i];
    if (item.mPhase == item_phase::Ended || !item.mUnsavedSince ||
        now - *item.mUnsavedSince < aLongerThan) {
      continue;
    }
    if (auto part = UnsavedPart(item.mMade, item.mSaved)) {
      bytes += part->mMade.mData.size();
      if (bytes > aMostBytes) {
        break;
      }
      part->mItem = i;
      parts.push_back(std::move(*part));
    }
  }
  return parts;
}

void
batch_runner::NoteSaved(const std::string& aBatchId,
                        const std::vector<text_part>& aParts)
{
  const auto batch = mBatches.find(aBatchId);
  if (batch == mBatches.end()) {
    return;
  }
  for (const auto& part : aParts) {
    auto& item = batch->second.mItems[part.mItem];
    MarkSaved(item.mSaved, item.mMade, part);
    item.mUnsavedSince.reset();
    if (UnsavedPart(item.mMade, item.mSaved)) {
      item.mUnsavedSince = boot_clock::now();
    }
  }
}

void
batch_runner::ForgetSaved(const std::string& aBatchId)
{
  if (const auto batch = mBatches.find(aBatchId); batch != mBatches.end()) {
    for (auto& item : batch->second.mItems) {
      item.mSaved = {};
    }
  }
}

void
batch_runner::TakeStored(running_batch& aBatch, stored_texts aStored)
{
  for (auto& [index, stored] : aStored) {
    auto& item = aBatch.mItems[index];
    if (item.mPhase == item_phase::Ended || !stored.mMade.mLastEvent) {
      continue;
    }
    item.mMade = std::move(stored.mMade);
    events::line("item_resumed")
      .With("request", item.mItem->mId)
      .With("batch", aBatch.mHead.mId)
      .With("after_event", *item.mMade.mLastEvent)
      .With("is_whole", static_cast<std::int64_t>(item.mMade.mIsWhole));
    if (item.mMade.mIsWhole) {
      TakeText(aBatch, index);
    }
  }
}

} // namespace lavender::batches
