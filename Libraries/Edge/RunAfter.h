#pragma once

#include "Libraries/Core/Clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

namespace lavender::edge {

/** Runs an action once after a pause, on the loop; it can't be taken back. */
inline void
RunAfter(boost::asio::io_context& aLoop,
         milliseconds aPause,
         std::function<void()> aAction)
{
  auto timer = std::make_shared<boost::asio::steady_timer>(aLoop);
  timer->expires_after(aPause);
  timer->async_wait([timer, action = std::move(aAction)](const auto& aError) {
    if (!aError) {
      action();
    }
  });
}

} // namespace lavender::edge
