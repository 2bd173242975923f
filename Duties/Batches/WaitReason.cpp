#include "Duties/Batches/WaitReason.h"

#include <algorithm>

namespace lavender::batches {

const char*
ToString(wait_reason aReason)
{
  switch (aReason) {
    case wait_reason::EndAsked:
      return "end_asked";
    case wait_reason::ServersChecked:
      return "servers_checked";
    case wait_reason::TermNotStored:
      return "term_not_stored";
    case wait_reason::FateAwaited:
      return "fate_awaited";
    case wait_reason::Barred:
      return "barred";
    case wait_reason::CountNotStored:
      return "count_not_stored";
    case wait_reason::NoRoute:
      return "no_route";
    case wait_reason::AwaitsCalm:
      return "awaits_calm";
    case wait_reason::NoServer:
      return "no_server";
    case wait_reason::NoZone:
      return "no_zone";
    case wait_reason::NoVersion:
      return "no_version";
    case wait_reason::NoOtherServer:
      return "no_other_server";
    case wait_reason::NotListed:
      return "not_listed";
    case wait_reason::SuspectsApart:
      return "suspects_apart";
    case wait_reason::ServerPaused:
      return "server_paused";
    case wait_reason::NoRoom:
      return "no_room";
    case wait_reason::ServerAsked:
      return "server_asked";
    case wait_reason::RewardRetryDelay:
      return "reward_retry_delay";
    case wait_reason::RewardNoRoute:
      return "reward_no_route";
    case wait_reason::RewardNoServer:
      return "reward_no_server";
    case wait_reason::RewardNoOtherServer:
      return "reward_no_other_server";
    case wait_reason::RewardNotListed:
      return "reward_not_listed";
    case wait_reason::RewardServerSilent:
      return "reward_server_silent";
    case wait_reason::RewardNoRoom:
      return "reward_no_room";
  }
  return "";
}

milliseconds
TimeSince(time_point aSince, time_point aNow)
{
  return std::chrono::duration_cast<milliseconds>(aNow - aSince);
}

std::optional<wait_reason>
ReasonOf(rewards::call_wait aWait)
{
  switch (aWait) {
    case rewards::call_wait::NotAllowed:
      break;
    case rewards::call_wait::RetryDelay:
      return wait_reason::RewardRetryDelay;
    case rewards::call_wait::NoRoute:
      return wait_reason::RewardNoRoute;
    case rewards::call_wait::NoServer:
      return wait_reason::RewardNoServer;
    case rewards::call_wait::NoOtherServer:
      return wait_reason::RewardNoOtherServer;
    case rewards::call_wait::NotListed:
      return wait_reason::RewardNotListed;
    case rewards::call_wait::ServerSilent:
      return wait_reason::RewardServerSilent;
    case rewards::call_wait::NoRoom:
      return wait_reason::RewardNoRoom;
  }
  return std::nullopt;
}

bool
HasWaitedLong(const item_wait& aWait, time_point aNow)
{
  return TimeSince(aWait.mSince, aNow) >= kLoggedWait;
}

bool
IsWorthLogging(const item_wait& aWait, wait_reason aReason, time_point aNow)
{
  if (!HasWaitedLong(aWait, aNow)) {
    return false;
  }
  return aWait.mLoggedReason != aReason ||
         TimeSince(aWait.mLoggedAt, aNow) >= kLogInterval;
}

void
CountWait(wait_counts& aCounts,
          const item_wait& aWait,
          wait_reason aReason,
          time_point aNow)
{
  auto& count = aCounts[aReason];
  ++count.mItems;
  count.mLongest = std::max(count.mLongest, TimeSince(aWait.mSince, aNow));
}

} // namespace lavender::batches
