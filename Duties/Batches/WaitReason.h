#pragma once

#include "Duties/Rewards/CallWait.h"
#include "Libraries/Core/Clock.h"

#include <cstddef>
#include <map>
#include <optional>

/** Tells why an item is at no server, for logs and metrics. No I/O. */
namespace lavender::batches {

/** What keeps a waiting item from a server, in the order in which dispatch
 * finds it. */
enum class wait_reason
{
  /** A trainer has ended the batch, and the store doesn't hold that yet. */
  EndAsked,
  /** A new owner checks the servers that the owner before it used. */
  ServersChecked,
  /** The begin of the owner's term isn't stored yet. */
  TermNotStored,
  /** The first answer of a server that may have ended under it is awaited. */
  FateAwaited,
  /** Servers ended under it as often as an item may run. */
  Barred,
  /** The store doesn't hold yet how many servers ended under the item, or
   * how often the item failed. */
  CountNotStored,
  /** No route of the configuration takes it. */
  NoRoute,
  /** Its last run waits until no servers end. */
  AwaitsCalm,
  /** No server of its pools accepts work, answers and has a closed breaker. */
  NoServer,
  /** No such server may be used for its customer's region. */
  NoZone,
  /** No such server has the model's version. */
  NoVersion,
  /** Each such server ended or may have ended under it. */
  NoOtherServer,
  /** The store doesn't hold yet that the batch may use the server. */
  NotListed,
  /** Each such server has as many suspects as it may. */
  SuspectsApart,
  /** Each such server failed or rejected a run a moment ago, or is silent. */
  ServerPaused,
  /** Each such server is full. */
  NoRoom,
  /** The chosen server is asked whether it runs. */
  ServerAsked,
  /** A server failed or rejected the item's reward call a moment ago. */
  RewardRetryDelay,
  /** No route of the configuration takes the reward call. */
  RewardNoRoute,
  /** No server of the reward call's pool accepts work and has a closed breaker.
   */
  RewardNoServer,
  /** Each such server ended or may have ended under the item. */
  RewardNoOtherServer,
  /** The store doesn't hold yet that the batch may use the server. */
  RewardNotListed,
  /** Each such server is silent. */
  RewardServerSilent,
  /** The pool has as many reward calls of this entry as it may. */
  RewardNoRoom
};

const char*
ToString(wait_reason aReason);

/** The reason of an item whose reward call waits; none if the call waits for
 * what keeps items without one back as well. */
std::optional<wait_reason>
ReasonOf(rewards::call_wait aWait);

/** For how long an item has waited, and what was logged of it. */
struct item_wait
{
  time_point mSince;
  std::optional<wait_reason> mLoggedReason;
  time_point mLoggedAt;
};

/** Waits shorter than this are usual; they are neither logged nor counted. */
constexpr milliseconds kLoggedWait{ 2000 };
/** An item that goes on waiting for one reason is logged again after this time.
 */
constexpr milliseconds kLogInterval{ 5000 };
/** Interval at which the reasons are collected. */
constexpr milliseconds kWaitReportInterval{ 1000 };
/** Most lines of one report; the gauges count all items that wait for long. */
constexpr int kMaximumWaitLines = 10;

milliseconds
TimeSince(time_point aSince, time_point aNow);

bool
HasWaitedLong(const item_wait& aWait, time_point aNow);

/** Whether the item's wait is worth a line. */
bool
IsWorthLogging(const item_wait& aWait, wait_reason aReason, time_point aNow);

/** Waiting items of one reason. */
struct wait_count
{
  std::size_t mItems = 0;
  milliseconds mLongest{ 0 };
};

using wait_counts = std::map<wait_reason, wait_count>;

void
CountWait(wait_counts& aCounts,
          const item_wait& aWait,
          wait_reason aReason,
          time_point aNow);

} // namespace lavender::batches
