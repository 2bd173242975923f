#include "Duties/Retirement/RetirementDuty.h"

#include "Libraries/EventLog/EventLog.h"

namespace lavender::retirement {

using namespace std::chrono_literals;
using objects::store_outcome;

namespace {
/** A stale read costs a tenth of a call; retirements last many seconds. */
constexpr milliseconds kLookEach = 2000ms;
} // namespace

retirement_duty::retirement_duty(retirement_dependencies aParts)
  : mDependencies(std::move(aParts))
  , mTimer(mDependencies.mLoop)
{
}

void
retirement_duty::Start()
{
  LookAgain();
}

void
retirement_duty::LookAgain()
{
  mTimer.expires_after(kLookEach);
  mTimer.async_wait([this](const auto& aError) {
    if (!aError) {
      Look();
    }
  });
}

void
retirement_duty::Look()
{
  mDependencies.mStore.mGet(
    mDependencies.mKind,
    mDependencies.mName,
    objects::freshness::MayBeStale,
    [this](const objects::object_reply& aReply) {
      if (aReply.mOutcome == store_outcome::Done &&
          json::StringAt(aReply.mObject.mStatus, "state", "") != "completed") {
        Complete();
      } else {
        LookAgain();
      }
    });
}

void
retirement_duty::Complete()
{
  mDependencies.mStore.mReplaceStatus(
    mDependencies.mKind,
    mDependencies.mName,
    0,
    R"({"state":"completed"})",
    [this](const objects::object_reply& aReply) {
      events::line("retirement_completed")
        .With("outcome", objects::ToString(aReply.mOutcome));
      LookAgain();
    });
}

} // namespace lavender::retirement
