#pragma once

#include "Libraries/Core/Scheduler.h"

#include <boost/asio/io_context.hpp>

namespace lavender::edge {

/** A scheduler that uses the boot clock and runs actions on the loop's thread.
 * @param aLoop must outlive the scheduler and its scheduled actions */
scheduler
LoopScheduler(boost::asio::io_context& aLoop);

} // namespace lavender::edge
