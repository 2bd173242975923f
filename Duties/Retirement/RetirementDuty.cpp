#include "Duties/Retirement/RetirementDuty.h"

#include "Libraries/EventLog/EventLog.h"

namespace lavender::retirement {

using namespace std::chrono_literals;
using objects::store_outcome;

namespace {
/** A stale read costs a tenth of a full call, and a retirement takes many
 * seconds, so the object is polled at this interval. */
constexpr milliseconds kCheckInterval = 2000ms;
} // namespace

retirement_duty::retirement_duty(retirement_dependencies aParts)
  : mDependencies(std::move(aParts))
  , mTimer(mDependencies.mLoop)
{
}

void
retirement_duty::Start()
{
  ScheduleNextCheck();
}

void
retirement_duty::ScheduleNextCheck()
{
  mTimer.expires_after(kCheckInterval);
  mTimer.async_wait([this](const auto& aError) {
    if (!aError) {
      Check();
    }
  });
}

void
retirement_duty::Check()
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
        ScheduleNextCheck();
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
      ScheduleNextCheck();
    });
}

} // namespace lavender::retirement
