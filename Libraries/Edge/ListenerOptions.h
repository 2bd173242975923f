#pragma once

#include "Libraries/Edge/ListenerCounts.h"
#include "Libraries/Edge/Message.h"

#include <functional>

namespace lavender::edge {

/** How a listener treats its callers; fixed from its start. */
struct listener_options
{
  /** Whether a caller that has closed its sending side gets the responses to
   * what it has sent before. It can't be told from a caller that has closed its
   * connection, so OnCallerLeft reports a failed connection alone. */
  bool mAnswersAfterEnd = false;
  /** Whether the length of a body must stand in one Content-Length. A request
   * with a transfer encoding gets status 501 then, one with several lengths
   * 400, before its body is read. */
  bool mNeedsOneLength = false;
  /** Fields and body of a response with which the listener itself refuses a
   * request, by its status; empty for none. */
  std::function<response(unsigned aStatus)> mDescribeRefusal;
  /** What the listener is for, as the log names it. */
  std::string mName = "callers";
  /** Told of connections that ended for others, instead of the event log; at
   * most once a second. */
  std::function<void(const char* aReason, const listener_counts& aCounts)>
    mOnConnectionsEnded;
};

} // namespace lavender::edge
