#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace lavender::batches {

/** One event of a text/event-stream response. */
struct stream_event
{
  std::optional<std::int64_t> mId;
  /** The data lines, joined by line feeds. */
  std::string mData;
  bool mHasData = false;
  /** Weights version from this event on, if the event names one. */
  std::optional<std::int64_t> mVersion;
};

/** Maximum size of an event, in bytes, with all that comes before it since the
 * last one. A page of results holds one text at least, so no event can be as
 * large. */
constexpr std::size_t kMaximumEventBytes = 1 << 20;

/** Incremental parser for an event stream. An incomplete event at the end of a
 * broken stream is never reported. */
struct event_stream
{
  std::string mBuffer;
  stream_event mCurrent;
  std::size_t mBytesSinceEvent = 0;
};

/** Memory of the incomplete event, in bytes. */
std::size_t
HeldBytes(const event_stream& aStream);

/** Whether the bytes so far end within a line or before the empty line that
 * completes an event. A stream that ends there isn't whole, whatever the
 * response's length is. */
bool
IsInsideEvent(const event_stream& aStream);

using version_parser =
  std::function<std::optional<std::int64_t>(std::string_view)>;

/** @return false if the stream goes on for too long without an event; it is of
 * no use then */
bool
ParseChunk(event_stream& aStream,
           std::string_view aChunk,
           const version_parser& aParseVersion,
           const std::function<void(stream_event&&)>& aOnEvent);

} // namespace lavender::batches
