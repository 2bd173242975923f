#pragma once

#include "Duties/Site/ServerDirectory.h"
#include "Libraries/Edge/Listener.h"

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <string>

namespace lavender::tests {

/** Stand-in of a model server of the users' platform: answers an item with a
 * stream of events, each some time after the one before. */
class model_server
{
public:
  model_server(boost::asio::io_context& aLoop, std::string aId);

  site::backend_server Entry() const;

  /** Events of each run. */
  int mEvents = 4;
  milliseconds mEventPause{ 2 };
  /** The connection is reset after this many events, once per item. */
  int mBreakAfter = 0;
  /** Answers with this status instead of running. */
  unsigned mStatus = 200;
  std::int64_t mVersion = 1;
  std::map<std::string, int> mRuns;
  int mOpenRuns = 0;

private:
  struct run;

  void Serve(const edge::exchange_ptr& aExchange);
  void WriteNext(const std::shared_ptr<run>& aRun);

  boost::asio::io_context& mLoop;
  const std::string mId;
  edge::listener mListener;
};

} // namespace lavender::tests
