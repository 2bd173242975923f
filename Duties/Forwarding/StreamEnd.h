#pragma once

#include "Libraries/Edge/Message.h"

#include <string>
#include <string_view>

/** Whether a stream of events that has ended is whole. No I/O. */
namespace lavender::forwarding {

/** What is known of a stream's end. */
struct stream_end
{
  /** Whether nothing but the end of the connection ends the stream, so that a
   * server that stops can't be told from one that is done. */
  bool mEndsWithConnection = false;
  /** The last bytes. */
  std::string mTail;
};

/** @param aHead head of the stream's response */
stream_end
BeginStream(const edge::response& aHead);

void
RecordBytes(stream_end& aStream, std::string_view aPiece);

/** Whether a stream that ended with its connection, without an error, ended
 * inside an event. */
bool
IsCutOff(const stream_end& aStream);

} // namespace lavender::forwarding
