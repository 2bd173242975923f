#pragma once

#include "Duties/Site/ServerDirectory.h"
#include "Libraries/Edge/Listener.h"

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <string>
#include <vector>

namespace lavender::tests {

/** Stand-in of a model server of the users' platform: answers an item with a
 * stream of events, each some time after the one before. */
class model_server
{
public:
  model_server(boost::asio::io_context& aLoop, std::string aId);

  site::backend_server Entry() const;
  unsigned short Port() const { return mListener.Port(); }
  const std::string& Id() const { return mId; }

  /** Events of each run. */
  int mEvents = 4;
  milliseconds mEventPause{ 2 };
  /** The connection is reset after this many events, once per item. */
  int mBreakAfter = 0;
  /** Answers with this status instead of running. */
  unsigned mStatus = 200;
  std::int64_t mVersion = 1;
  /** A version order takes this long; new runs are turned away meanwhile. */
  milliseconds mLoadTime{ 60 };
  /** Epoch and holder of each order, as it came. */
  std::vector<std::pair<std::int64_t, std::string>> mOrders;
  std::map<std::string, int> mRuns;
  /** Event after which each run of an item was asked to go on; 0 for none. */
  std::map<std::string, std::vector<std::int64_t>> mAfterEvents;
  int mOpenRuns = 0;
  /** Turns new runs away as not executed. */
  bool mIsFull = false;
  int mTurnedAway = 0;

private:
  struct run;

  void Serve(const edge::exchange_ptr& aExchange);
  void ServeReport(const edge::exchange_ptr& aExchange);
  void ServeOrder(const edge::exchange_ptr& aExchange);
  void WriteNext(const std::shared_ptr<run>& aRun);

  boost::asio::io_context& mLoop;
  const std::string mId;
  edge::listener mListener;
  boost::asio::steady_timer mLoadTimer;
  bool mIsLoading = false;
  std::int64_t mAcceptedOrders = 0;
};

} // namespace lavender::tests
