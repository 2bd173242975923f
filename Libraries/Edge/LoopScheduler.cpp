#include "Libraries/Edge/LoopScheduler.h"

#include <boost/asio/steady_timer.hpp>

namespace lavender::edge {

scheduler
LoopScheduler(boost::asio::io_context& aLoop)
{
  scheduler loop;
  loop.mNow = [] { return boot_clock::now(); };
  loop.mAfter = [&aLoop](milliseconds aDelay, std::function<void()> aAction) {
    auto timer = std::make_shared<boost::asio::steady_timer>(aLoop, aDelay);
    // A cancelled action must not run even if it was already due.
    timer->async_wait([weak = std::weak_ptr(timer),
                       action = std::move(aAction)](const auto& aError) {
      if (!aError && !weak.expired()) {
        action();
      }
    });
    return planned_action(std::move(timer));
  };
  return loop;
}

} // namespace lavender::edge
