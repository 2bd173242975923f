#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace lavender::batches {

/** One event of a stream (text/event-stream). */
struct stream_event
{
  std::optional<std::int64_t> mId;
  /** Lines of data, joined by line feeds. */
  std::string mData;
  bool mHasData = false;
  /** Version of the weights from this event on, if it names one. */
  std::optional<std::int64_t> mVersion;
};

/** Cuts a stream into whole events; a part of one at the end of a broken
 * stream is never told. */
struct event_stream
{
  std::string mRest;
  stream_event mCurrent;
};

using version_reader =
  std::function<std::optional<std::int64_t>(std::string_view)>;

void
FeedStream(event_stream& aStream,
           std::string_view aPiece,
           const version_reader& aReadVersion,
           const std::function<void(stream_event&&)>& aOnEvent);

} // namespace lavender::batches
