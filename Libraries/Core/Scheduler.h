#pragma once

#include "Libraries/Core/Clock.h"

#include <functional>
#include <memory>

namespace lavender {

/** A planned action: it is taken back when the last copy goes. */
using planned_action = std::shared_ptr<void>;

/** The time, and actions planned for later on one thread. A duty that knows
 * time only through it runs on an event loop in a program, and in a test on a
 * clock that the test moves. */
struct scheduler
{
  std::function<time_point()> mNow;
  std::function<planned_action(milliseconds aPause,
                               std::function<void()> aAction)>
    mAfter;
};

/** Plans an action that can't be taken back. */
inline void
RunAfter(const scheduler& aScheduler,
         milliseconds aPause,
         std::function<void()> aAction)
{
  const auto kept = std::make_shared<planned_action>();
  *kept = aScheduler.mAfter(aPause, [kept, action = std::move(aAction)] {
    const auto ended = std::move(*kept);
    action();
  });
}

} // namespace lavender
