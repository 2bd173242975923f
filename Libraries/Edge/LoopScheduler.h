#pragma once

#include "Libraries/Core/Scheduler.h"

#include <boost/asio/io_context.hpp>

namespace lavender::edge {

/** The boot clock, and actions on the loop's thread.
 * @param aLoop outlives the scheduler and what was planned with it */
scheduler
LoopScheduler(boost::asio::io_context& aLoop);

} // namespace lavender::edge
