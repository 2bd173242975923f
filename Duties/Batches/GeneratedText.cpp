#include "Duties/Batches/GeneratedText.h"

#include "Libraries/Json/Text.h"

namespace lavender::batches {

std::size_t
WrittenBytesWith(const generated_text& aGenerated, std::string_view aData)
{
  return aGenerated.mWrittenBytes +
         (aGenerated.mLastEvent ? json::WrittenSize("\n") : 0) +
         json::WrittenSize(aData);
}

void
AddEvent(generated_text& aGenerated,
         std::int64_t aNumber,
         std::string_view aData,
         std::int64_t aVersion)
{
  aGenerated.mWrittenBytes = WrittenBytesWith(aGenerated, aData);
  if (aGenerated.mLastEvent) {
    aGenerated.mData += '\n';
  }
  aGenerated.mData += aData;
  aGenerated.mLastEvent = aNumber;
  if (aGenerated.mVersions.empty() || aGenerated.mVersions.back() != aVersion) {
    aGenerated.mVersions.push_back(aVersion);
  }
}

void
Restart(generated_text& aGenerated)
{
  const int restarts = aGenerated.mRestarts + 1;
  aGenerated = {};
  aGenerated.mRestarts = restarts;
}

std::optional<text_part>
UnsavedPart(const generated_text& aGenerated, const save_mark& aMark)
{
  const bool hasMore = aGenerated.mLastEvent != aMark.mLastEvent;
  if (!aGenerated.mLastEvent ||
      (!hasMore && aGenerated.mIsComplete == aMark.mIsComplete)) {
    return std::nullopt;
  }
  text_part part;
  part.mAfter = aMark.mLastEvent;
  part.mGenerated = aGenerated;
  if (aMark.mLastEvent) {
    // The line feed between the stored text and the new part belongs to
    // neither.
    part.mGenerated.mData =
      hasMore ? aGenerated.mData.substr(aMark.mBytes + 1) : std::string();
    part.mGenerated.mWrittenBytes = json::WrittenSize(part.mGenerated.mData);
  }
  return part;
}

void
MarkSaved(save_mark& aMark,
          const generated_text& aGenerated,
          const text_part& aPart)
{
  if (aGenerated.mRestarts != aPart.mGenerated.mRestarts ||
      aMark.mLastEvent != aPart.mAfter) {
    return;
  }
  const bool isFirst = !aPart.mAfter;
  const bool hasData = aPart.mGenerated.mLastEvent != aPart.mAfter;
  aMark.mBytes += aPart.mGenerated.mData.size() + (!isFirst && hasData ? 1 : 0);
  aMark.mLastEvent = aPart.mGenerated.mLastEvent;
  aMark.mIsComplete = aPart.mGenerated.mIsComplete;
}

void
ApplyPart(stored_texts& aStored,
          const std::string& aWriter,
          const text_part& aPart)
{
  auto& stored = aStored[aPart.mItem];
  auto& generated = stored.mGenerated;
  const bool isSameWriter = stored.mWriter == aWriter;
  if (!aPart.mAfter) {
    const bool isLonger = !generated.mLastEvent ||
                          *aPart.mGenerated.mLastEvent > *generated.mLastEvent;
    if (isSameWriter || isLonger) {
      stored = { aWriter, aPart.mGenerated };
      generated.mWrittenBytes = json::WrittenSize(generated.mData);
    }
    return;
  }
  if (!isSameWriter || generated.mLastEvent != aPart.mAfter) {
    return;
  }
  if (aPart.mGenerated.mLastEvent != aPart.mAfter) {
    generated.mWrittenBytes =
      WrittenBytesWith(generated, aPart.mGenerated.mData);
    generated.mData += '\n';
    generated.mData += aPart.mGenerated.mData;
    generated.mLastEvent = aPart.mGenerated.mLastEvent;
  }
  generated.mVersions = aPart.mGenerated.mVersions;
  generated.mIsComplete = aPart.mGenerated.mIsComplete;
}

} // namespace lavender::batches
