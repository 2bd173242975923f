#pragma once

#include "Libraries/Edge/LoopScheduler.h"

namespace lavender::edge {

/** Runs an action once after a pause, on the loop; it can't be taken back. */
inline void
RunAfter(boost::asio::io_context& aLoop,
         milliseconds aPause,
         std::function<void()> aAction)
{
  lavender::RunAfter(LoopScheduler(aLoop), aPause, std::move(aAction));
}

} // namespace lavender::edge
