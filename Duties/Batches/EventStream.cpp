#include "Duties/Batches/EventStream.h"

#include "Libraries/Edge/Message.h"

namespace lavender::batches {

namespace {

/** The value of "name: value" or "name:value"; none for another name. */
std::optional<std::string_view>
ValueOf(std::string_view aLine, std::string_view aName)
{
  if (aLine.size() <= aName.size() ||
      aLine.compare(0, aName.size(), aName) != 0 ||
      aLine[aName.size()] != ':') {
    return std::nullopt;
  }
  auto value = aLine.substr(aName.size() + 1);
  if (!value.empty() && value.front() == ' ') {
    value.remove_prefix(1);
  }
  return value;
}

void
TakeLine(stream_event& aEvent,
         std::string_view aLine,
         const version_reader& aReadVersion)
{
  if (const auto version = aReadVersion(aLine)) {
    aEvent.mVersion = version;
  } else if (const auto id = ValueOf(aLine, "id")) {
    aEvent.mId = edge::ParseInteger(*id);
  } else if (const auto data = ValueOf(aLine, "data")) {
    if (aEvent.mHasData) {
      aEvent.mData += '\n';
    }
    aEvent.mHasData = true;
    aEvent.mData.append(*data);
  }
}

} // namespace

void
FeedStream(event_stream& aStream,
           std::string_view aPiece,
           const version_reader& aReadVersion,
           const std::function<void(stream_event&&)>& aOnEvent)
{
  aStream.mRest.append(aPiece);
  std::size_t start = 0;
  for (auto end = aStream.mRest.find('\n'); end != std::string::npos;
       end = aStream.mRest.find('\n', start)) {
    auto line = std::string_view(aStream.mRest).substr(start, end - start);
    start = end + 1;
    if (!line.empty() && line.back() == '\r') {
      line.remove_suffix(1);
    }
    if (!line.empty()) {
      TakeLine(aStream.mCurrent, line, aReadVersion);
      continue;
    }
    if (aStream.mCurrent.mHasData || aStream.mCurrent.mId) {
      aOnEvent(std::move(aStream.mCurrent));
    }
    aStream.mCurrent = {};
  }
  aStream.mRest.erase(0, start);
}

} // namespace lavender::batches
