#pragma once

#include "Libraries/Core/Clock.h"

#include <functional>
#include <memory>

namespace lavender {

/** Handle of a scheduled action; destroying the last copy cancels the
 * action. */
using planned_action = std::shared_ptr<void>;

/** Reads the time and schedules actions on one thread. Code that uses time only
 * through a scheduler runs on an event loop in production and on a simulated
 * clock in tests. */
struct scheduler
{
  std::function<time_point()> mNow;
  std::function<planned_action(milliseconds aDelay,
                               std::function<void()> aAction)>
    mAfter;
};

/** Schedules an action that can't be cancelled. */
inline void
RunAfter(const scheduler& aScheduler,
         milliseconds aDelay,
         std::function<void()> aAction)
{
  const auto kept = std::make_shared<planned_action>();
  *kept = aScheduler.mAfter(aDelay, [kept, action = std::move(aAction)] {
    const auto ended = std::move(*kept);
    action();
  });
}

} // namespace lavender
