#include "Duties/Forwarding/StreamEnd.h"

#include <algorithm>

namespace lavender::forwarding {

namespace {

constexpr std::string_view kEventStream = "text/event-stream";
/** Line breaks that complete an event: the end of its last line, and an empty
 * line. */
constexpr std::string_view kEventEnds[] = { "\n\n", "\n\r\n" };
constexpr std::size_t kTailBytes = 3;

bool
EndsWith(std::string_view aText, std::string_view aEnd)
{
  return aText.size() >= aEnd.size() &&
         aText.substr(aText.size() - aEnd.size()) == aEnd;
}

} // namespace

stream_end
BeginStream(const edge::response& aHead)
{
  const auto& headers = aHead.mHeaders;
  const auto type = headers.ValueOr("Content-Type", "");
  stream_end stream;
  stream.mEndsWithConnection =
    type.compare(0, kEventStream.size(), kEventStream) == 0 &&
    !headers.Find("Content-Length") && !headers.Find("Transfer-Encoding");
  return stream;
}

void
RecordBytes(stream_end& aStream, std::string_view aPiece)
{
  if (!aStream.mEndsWithConnection) {
    return;
  }
  auto& tail = aStream.mTail;
  tail.append(
    aPiece.substr(aPiece.size() - std::min(aPiece.size(), kTailBytes)));
  tail.erase(0, tail.size() - std::min(tail.size(), kTailBytes));
}

bool
IsCutOff(const stream_end& aStream)
{
  return aStream.mEndsWithConnection && !aStream.mTail.empty() &&
         std::none_of(std::begin(kEventEnds),
                      std::end(kEventEnds),
                      [&](auto aEnd) { return EndsWith(aStream.mTail, aEnd); });
}

} // namespace lavender::forwarding
