#pragma once

#include "Duties/Site/ServerDirectory.h"
#include "Libraries/Edge/Listener.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace lavender::tests {

/** A stand-in for a model server. It answers an item with a stream of events
 * at a fixed interval. */
class model_server
{
public:
  model_server(boost::asio::io_context& aLoop, std::string aId);

  site::backend_server Entry() const;
  unsigned short Port() const { return mListener.Port(); }
  const std::string& Id() const { return mId; }

  /** Number of events in the stream of an item. */
  int mEvents = 4;
  milliseconds mEventPause{ 2 };
  /** Number of events by item; null if each item has mEvents. */
  std::function<int(const std::string&)> mEventsOf;
  /** Factor by which events take longer than mEventPause at the moment. */
  double mSlowdown = 1;
  /** Fourth figure of the load that responses tell; empty to tell no load. */
  std::string mToldSlowdown;
  /** The first run of each item resets its connection after this many events;
   * 0 for never. */
  int mBreakAfter = 0;
  /** Whether the server ends under an item; null for none. */
  std::function<bool(const std::string&)> mEndsUnder;
  /** Number of events that a run of such an item sends before. */
  int mEndsAfter = 1;
  /** Called when the server has ended. */
  std::function<void()> mOnEnd;
  /** Time after which the server starts again, under the id that it had; 0 for
   * never. */
  milliseconds mRestartsAfter{ 0 };
  /** Number of first runs of each item whose connection is reset after one
   * event. */
  int mResets = 0;
  /** Items are run if this is 200, and refused with this status otherwise. */
  unsigned mStatus = 200;
  std::int64_t mVersion = 1;
  /** Duration of a load order. New runs are refused as not executed during the
   * load. */
  milliseconds mLoadTime{ 60 };
  /** Fencing token and holder of each load order, in order of arrival. */
  std::vector<std::pair<std::int64_t, std::string>> mOrders;
  std::map<std::string, int> mRuns;
  /** Last-Event-Id with which each run of an item was requested; 0 if it had
   * none. */
  std::map<std::string, std::vector<std::int64_t>> mAfterEvents;
  int mOpenRuns = 0;
  /** Whether new runs are refused as not executed. */
  bool mIsFull = false;
  int mTurnedAway = 0;
  /** Load that the response to a run tells; empty if it tells none. */
  std::string mLoad;
  int mSlots = 64;
  std::int64_t mStartedAt = 0;

  /** Ends the server as a crash does: all its connections break. */
  void End();
  bool HasEnded() const { return mHasEnded; }
  /** Items whose runs broke off when the server ended, of all its ends. */
  const std::vector<std::string>& ItemsAtEnd() const { return mItemsAtEnd; }

private:
  struct run;

  void Serve(const edge::exchange_ptr& aExchange);
  void ServeReport(const edge::exchange_ptr& aExchange);
  void ServeOrder(const edge::exchange_ptr& aExchange);
  void AddLoad(edge::header_list& aHeaders) const;
  void WriteNext(const std::shared_ptr<run>& aRun);
  void StartAgain();

  boost::asio::io_context& mLoop;
  const std::string mId;
  edge::listener mListener;
  boost::asio::steady_timer mLoadTimer;
  bool mIsLoading = false;
  std::int64_t mAcceptedOrders = 0;
  std::vector<std::weak_ptr<run>> mStarted;
  std::vector<std::string> mItemsAtEnd;
  bool mHasEnded = false;
};

} // namespace lavender::tests
