#pragma once

#include "Libraries/Core/Clock.h"

#include <functional>
#include <optional>
#include <string>

/** Calls that score finished samples: once the text of an item is whole, a
 * request that came with the item goes to a plain service, and the signature of
 * its answer is the item's score. */
namespace lavender::rewards {

/** The call as the trainer gave it. It is idempotent under its id. */
struct reward_call
{
  std::string mId;
  std::string mHost;
  std::string mPath;
  /** As submitted: decoded only when it is sent. */
  std::string mBodyBase64;
};

/** Order of calls that wait for a place: the less comes first. */
struct reward_rank
{
  /** When the item's batch is due. */
  time_point mDueAt;
  /** Items of its group that have no result; a trainer needs whole groups, so
   * the call that ends one is worth most. */
  int mOpenInGroup = 0;

  bool operator<(const reward_rank& aOther) const
  {
    return mDueAt != aOther.mDueAt ? mDueAt < aOther.mDueAt
                                   : mOpenInGroup < aOther.mOpenInGroup;
  }
};

/** What the runner of an item asks for. */
struct reward_request
{
  reward_call mCall;
  std::string mItemId;
  /** Customer of the batch. */
  std::string mCustomer;
  /** When the item may be given up. */
  time_point mGiveUpAt;
  std::function<reward_rank()> mRank;
  /** Called once with the score, or with none when the service failed the call
   * for good; never after the call was cancelled. */
  std::function<void(std::optional<std::string>)> mOnEnd;
};

} // namespace lavender::rewards
