#include "Duties/Batches/BatchRunner.h"

#include "Libraries/Core/Mechanisms.h"
#include "Libraries/EventLog/EventLog.h"

namespace lavender::batches {

std::vector<text_part>
batch_runner::UnsavedParts(const std::string& aBatchId,
                           milliseconds aMinimumUnsavedTime,
                           std::size_t aMaximumBytes) const
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
        now - *item.mUnsavedSince < aMinimumUnsavedTime) {
      continue;
    }
    if (auto part = UnsavedPart(item.mGenerated, item.mSaved)) {
      bytes += part->mGenerated.mWrittenBytes;
      if (bytes > aMaximumBytes) {
        break;
      }
      part->mItem = i;
      parts.push_back(std::move(*part));
    }
  }
  return parts;
}

void
batch_runner::MarkPartsSaved(const std::string& aBatchId,
                             const std::vector<text_part>& aParts)
{
  const auto batch = mBatches.find(aBatchId);
  if (batch == mBatches.end()) {
    return;
  }
  for (const auto& part : aParts) {
    auto& item = batch->second.mItems[part.mItem];
    MarkSaved(item.mSaved, item.mGenerated, part);
    item.mUnsavedSince.reset();
    if (UnsavedPart(item.mGenerated, item.mSaved)) {
      item.mUnsavedSince = boot_clock::now();
    }
  }
}

void
batch_runner::MarkAllUnsaved(const std::string& aBatchId)
{
  if (const auto batch = mBatches.find(aBatchId); batch != mBatches.end()) {
    for (auto& item : batch->second.mItems) {
      item.mSaved = {};
    }
  }
}

void
batch_runner::RestoreTexts(running_batch& aBatch, stored_texts aStored)
{
  for (auto& [index, stored] : aStored) {
    auto& item = aBatch.mItems[index];
    if (item.mPhase == item_phase::Ended || !stored.mGenerated.mLastEvent) {
      continue;
    }
    item.mGenerated = std::move(stored.mGenerated);
    events::line("item_resumed")
      .With("request", item.mItem->mId)
      .With("batch", aBatch.mMetadata.mId)
      .With("after_event", *item.mGenerated.mLastEvent)
      .With("is_whole", static_cast<std::int64_t>(item.mGenerated.mIsComplete));
    if (item.mGenerated.mIsComplete) {
      ScoreOrFinishItem(aBatch, index);
    }
  }
}

} // namespace lavender::batches
