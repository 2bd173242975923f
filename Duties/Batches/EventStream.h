#pragma once

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

/** Incremental parser for an event stream. An incomplete event at the end of a
 * broken stream is never reported. */
struct event_stream
{
  std::string mBuffer;
  stream_event mCurrent;
};

using version_parser =
  std::function<std::optional<std::int64_t>(std::string_view)>;

void
ParseChunk(event_stream& aStream,
           std::string_view aChunk,
           const version_parser& aParseVersion,
           const std::function<void(stream_event&&)>& aOnEvent);

} // namespace lavender::batches
