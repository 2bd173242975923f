#pragma once

#include "Libraries/Edge/LoopScheduler.h"

namespace lavender::edge {

/** Runs an action once after a delay, on the loop's thread; the action can't be
 * cancelled. */
inline void
RunAfter(boost::asio::io_context& aLoop,
         milliseconds aDelay,
         std::function<void()> aAction)
{
  lavender::RunAfter(LoopScheduler(aLoop), aDelay, std::move(aAction));
}

} // namespace lavender::edge
