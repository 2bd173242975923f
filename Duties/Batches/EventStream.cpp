#include "Duties/Batches/EventStream.h"

#include "Libraries/Edge/Message.h"

namespace lavender::batches {

namespace {

/** Returns the value of a line "name: value" or "name:value", or none for a
 * line with another name. */
std::optional<std::string_view>
FieldValue(std::string_view aLine, std::string_view aName)
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
ParseLine(stream_event& aEvent,
          std::string_view aLine,
          const version_parser& aParseVersion)
{
  if (const auto version = aParseVersion(aLine)) {
    aEvent.mVersion = version;
  } else if (const auto id = FieldValue(aLine, "id")) {
    aEvent.mId = edge::ParseInteger(*id);
  } else if (const auto data = FieldValue(aLine, "data")) {
    if (aEvent.mHasData) {
      aEvent.mData += '\n';
    }
    aEvent.mHasData = true;
    aEvent.mData.append(*data);
  }
}

} // namespace

std::size_t
HeldBytes(const event_stream& aStream)
{
  return aStream.mBuffer.size() + aStream.mCurrent.mData.size();
}

bool
IsInsideEvent(const event_stream& aStream)
{
  return !aStream.mBuffer.empty() || aStream.mCurrent.mHasData ||
         aStream.mCurrent.mId || aStream.mCurrent.mVersion;
}

bool
ParseChunk(event_stream& aStream,
           std::string_view aChunk,
           const version_parser& aParseVersion,
           const std::function<void(stream_event&&)>& aOnEvent)
{
  aStream.mBuffer.append(aChunk);
  aStream.mBytesSinceEvent += aChunk.size();
  std::size_t start = 0;
  for (auto end = aStream.mBuffer.find('\n'); end != std::string::npos;
       end = aStream.mBuffer.find('\n', start)) {
    auto line = std::string_view(aStream.mBuffer).substr(start, end - start);
    start = end + 1;
    if (!line.empty() && line.back() == '\r') {
      line.remove_suffix(1);
    }
    if (!line.empty()) {
      ParseLine(aStream.mCurrent, line, aParseVersion);
      continue;
    }
    if (aStream.mCurrent.mHasData || aStream.mCurrent.mId) {
      aStream.mBytesSinceEvent = aStream.mBuffer.size() - start;
      aOnEvent(std::move(aStream.mCurrent));
    }
    aStream.mCurrent = {};
  }
  aStream.mBuffer.erase(0, start);
  return aStream.mBytesSinceEvent <= kMaximumEventBytes;
}

} // namespace lavender::batches
