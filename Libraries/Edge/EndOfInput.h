#pragma once

#include "Libraries/Edge/Caller.h"

#include <optional>

/** Decides what the end of a server's bytes means for the call in flight. Pure
 * functions, no I/O. */
namespace lavender::edge {

/** How far the request has been written to the connection. */
enum class request_progress
{
  Writing,
  Written,
  /** The connection broke before the request was written whole. */
  Failed
};

/** How much of the response has been read. */
enum class response_progress
{
  Partial,
  /** All that has arrived of a body which ends with its connection. */
  EndsWithConnection,
  Whole
};

/** The end of what a server sends on a connection. */
struct input_end
{
  /** The read failed; otherwise the server closed its side. */
  bool mIsError = false;
  response_progress mResponse = response_progress::Partial;
  request_progress mRequest = request_progress::Written;
};

/** How the call ends; none until it is known whether the request can be
 * written. A connection that breaks while the request is being written may look
 * closed to the read, because the write takes the error. */
std::optional<call_end>
DecideEnd(const input_end& aInput);

} // namespace lavender::edge
