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

retirement_duty::retirement_duty(retirement_parts aParts)
  : mParts(std::move(aParts))
  , mTimer(mParts.mLoop)
{
}

void
retirement_duty::Start()
{
  ScheduleCheck();
}

void
retirement_duty::ScheduleCheck()
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
  mParts.mStore.mGet(
    mParts.mKind,
    mParts.mName,
    objects::freshness::MayBeStale,
    [this](const objects::object_reply& aReply) {
      if (aReply.mOutcome == store_outcome::Done &&
          json::StringAt(aReply.mObject.mStatus, "state", "") != "completed") {
        Complete();
      } else {
        ScheduleCheck();
      }
    });
}

void
retirement_duty::Complete()
{
  mParts.mStore.mReplaceStatus(mParts.mKind,
                               mParts.mName,
                               0,
                               R"({"state":"completed"})",
                               [this](const objects::object_reply& aReply) {
                                 events::line("retirement_completed")
                                   .With("outcome",
                                         objects::WordFor(aReply.mOutcome));
                                 ScheduleCheck();
                               });
}

} // namespace lavender::retirement
