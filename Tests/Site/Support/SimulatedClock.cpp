#include "Tests/Site/Support/SimulatedClock.h"

namespace lavender::tests {

struct simulated_clock::scheduled_callback
{
  std::function<void()> mAction;
};

simulated_clock::~simulated_clock()
{
  for (const auto& [at, weak] : mScheduled) {
    if (const auto action = weak.lock()) {
      action->mAction = nullptr;
    }
  }
}

scheduler
simulated_clock::Scheduler()
{
  scheduler result;
  result.mNow = [this] { return mNow; };
  result.mAfter = [this](milliseconds aDelay, std::function<void()> aAction) {
    auto action = std::make_shared<scheduled_callback>();
    action->mAction = std::move(aAction);
    mScheduled.emplace(mNow + aDelay, action);
    return planned_action(std::move(action));
  };
  return result;
}

bool
simulated_clock::RunNext(time_point aUntil)
{
  const auto next = mScheduled.begin();
  if (next == mScheduled.end() || next->first > aUntil) {
    return false;
  }
  mNow = next->first;
  const auto action = next->second.lock();
  mScheduled.erase(next);
  if (action) {
    action->mAction();
  }
  return true;
}

void
simulated_clock::RunFor(milliseconds aTime)
{
  const auto until = mNow + aTime;
  while (RunNext(until)) {
  }
  mNow = until;
}

bool
simulated_clock::RunUntil(const std::function<bool()>& aCondition,
                          milliseconds aLimit)
{
  const auto until = mNow + aLimit;
  while (!aCondition()) {
    if (!RunNext(until)) {
      mNow = until;
      return aCondition();
    }
  }
  return true;
}

} // namespace lavender::tests
