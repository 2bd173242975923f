#include "Tests/Site/Support/SimulatedClock.h"

namespace lavender::tests {

struct simulated_clock::planned
{
  std::function<void()> mAction;
};

simulated_clock::~simulated_clock()
{
  for (const auto& [at, weak] : mPlanned) {
    if (const auto action = weak.lock()) {
      action->mAction = nullptr;
    }
  }
}

scheduler
simulated_clock::Scheduler()
{
  scheduler uses;
  uses.mNow = [this] { return mNow; };
  uses.mAfter = [this](milliseconds aPause, std::function<void()> aAction) {
    auto action = std::make_shared<planned>();
    action->mAction = std::move(aAction);
    mPlanned.emplace(mNow + aPause, action);
    return planned_action(std::move(action));
  };
  return uses;
}

bool
simulated_clock::RunNext(time_point aUntil)
{
  const auto next = mPlanned.begin();
  if (next == mPlanned.end() || next->first > aUntil) {
    return false;
  }
  mNow = next->first;
  const auto action = next->second.lock();
  mPlanned.erase(next);
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
