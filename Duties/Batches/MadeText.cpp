#include "Duties/Batches/MadeText.h"

namespace lavender::batches {

void
AddEvent(generated_text& aMade,
         std::int64_t aNumber,
         std::string_view aData,
         std::int64_t aVersion)
{
  if (aMade.mLastEvent) {
    aMade.mData += '\n';
  }
  aMade.mData += aData;
  aMade.mLastEvent = aNumber;
  if (aMade.mVersions.empty() || aMade.mVersions.back() != aVersion) {
    aMade.mVersions.push_back(aVersion);
  }
}

void
Restart(generated_text& aMade)
{
  const int restarts = aMade.mRestarts + 1;
  aMade = {};
  aMade.mRestarts = restarts;
}

std::optional<text_part>
UnsavedPart(const generated_text& aMade, const save_mark& aMark)
{
  const bool hasMore = aMade.mLastEvent != aMark.mLastEvent;
  if (!aMade.mLastEvent || (!hasMore && aMade.mIsWhole == aMark.mIsWhole)) {
    return std::nullopt;
  }
  text_part part;
  part.mAfter = aMark.mLastEvent;
  part.mMade = aMade;
  if (aMark.mLastEvent) {
    // The line feed after the last stored event isn't part of either.
    part.mMade.mData =
      hasMore ? aMade.mData.substr(aMark.mBytes + 1) : std::string();
  }
  return part;
}

void
MarkSaved(save_mark& aMark, const generated_text& aMade, const text_part& aPart)
{
  if (aMade.mRestarts != aPart.mMade.mRestarts ||
      aMark.mLastEvent != aPart.mAfter) {
    return;
  }
  const bool isFirst = !aPart.mAfter;
  const bool hasData = aPart.mMade.mLastEvent != aPart.mAfter;
  aMark.mBytes += aPart.mMade.mData.size() + (!isFirst && hasData ? 1 : 0);
  aMark.mLastEvent = aPart.mMade.mLastEvent;
  aMark.mIsWhole = aPart.mMade.mIsWhole;
}

void
TakePart(stored_texts& aStored,
         const std::string& aWriter,
         const text_part& aPart)
{
  auto& stored = aStored[aPart.mItem];
  auto& made = stored.mMade;
  const bool isSameWriter = stored.mWriter == aWriter;
  if (!aPart.mAfter) {
    const bool isLonger =
      !made.mLastEvent || *aPart.mMade.mLastEvent > *made.mLastEvent;
    if (isSameWriter || isLonger) {
      stored = { aWriter, aPart.mMade };
    }
    return;
  }
  if (!isSameWriter || made.mLastEvent != aPart.mAfter) {
    return;
  }
  if (aPart.mMade.mLastEvent != aPart.mAfter) {
    made.mData += '\n';
    made.mData += aPart.mMade.mData;
    made.mLastEvent = aPart.mMade.mLastEvent;
  }
  made.mVersions = aPart.mMade.mVersions;
  made.mIsWhole = aPart.mMade.mIsWhole;
}

} // namespace lavender::batches
