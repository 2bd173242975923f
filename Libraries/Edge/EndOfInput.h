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

/** How a response without a length ends a call; none until it is known whether
 * the request can be written. The end of the connection is the end of such a
 * response, but a connection that breaks ends too: the write may take the error
 * and leave a plain end to the read. */
std::optional<call_end>
DecideUnboundedEnd(request_progress aRequest);

} // namespace lavender::edge
