#pragma once

namespace lavender::rewards {

/** Whether an attempt of a call may go to a server, and why not. */
enum class server_use
{
  Allowed,
  /** The server ended or may have ended under the item. */
  Counted,
  /** The store doesn't hold yet that the batch may use the server. */
  NotListed,
  /** The server doesn't answer whether it runs, or has ended. */
  Silent
};

} // namespace lavender::rewards
