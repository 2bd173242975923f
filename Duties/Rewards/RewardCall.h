#pragma once

#include "Duties/Rewards/ServerUse.h"
#include "Duties/Site/ServerFate.h"
#include "Libraries/Core/Clock.h"

#include <functional>
#include <optional>
#include <string>

/** Calls that score finished samples. When the text of an item is complete, the
 * request that was submitted with the item is sent to a plain service, and the
 * signature of its response is the item's score. */
namespace lavender::rewards {

/** A reward call as the trainer submitted it. The call is idempotent under its
 * id. */
struct reward_call
{
  std::string mId;
  std::string mHost;
  std::string mPath;
  /** Base64 as submitted; decoded only when the call is sent. */
  std::string mBodyBase64;
};

/** Order of waiting calls; the lesser one is sent first. */
struct reward_priority
{
  /** Time at which the item's batch is due. */
  time_point mDueAt;
  /** Number of items without a result in the item's group. A trainer needs
   * complete groups, so the call that completes a group is the most valuable.
   */
  int mOpenItemsInGroup = 0;

  bool operator<(const reward_priority& aOther) const
  {
    return mDueAt != aOther.mDueAt
             ? mDueAt < aOther.mDueAt
             : mOpenItemsInGroup < aOther.mOpenItemsInGroup;
  }
};

/** A reward call, as requested by the runner of the item. */
struct reward_request
{
  reward_call mCall;
  std::string mItemId;
  /** Customer that owns the batch. */
  std::string mCustomer;
  /** Time from which on the item may be given up. */
  time_point mGiveUpAt;
  std::function<reward_priority()> mPriority;
  /** Whether an attempt may be sent now; false while it isn't known whether
   * earlier servers ended under the call, or if too many have. */
  std::function<bool()> mMaySend;
  /** Whether an attempt may be sent to the server. */
  std::function<server_use(const site::server_start&)> mMayUse;
  /** The server for which the next attempt is stored; none if there is none. */
  std::function<std::optional<site::server_start>()> mReserved;
  /** Called when an attempt is to be sent to the server. Returns false if the
   * attempt has to be stored first; the server is reserved then, and the client
   * goes on once an attempt may be sent again. A server that was reserved
   * before is released. */
  std::function<bool(const site::server_start&)> mReserve;
  /** Whether two servers may process the call at a time. */
  std::function<bool()> mMayHedge;
  /** Called when the connection to a server broke or the server was silent. */
  std::function<void(const site::backend_server&)> mOnCutOff;
  /** Called when the server responded to an attempt or never got it. */
  std::function<void(const site::server_start&)> mOnSurvived;
  /** Called once with the score, or with none if the service has failed the
   * call as often as its route allows. Not called after a cancellation. */
  std::function<void(std::optional<std::string>)> mOnEnd;
};

} // namespace lavender::rewards
