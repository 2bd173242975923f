#pragma once

#include "Libraries/Edge/Listener.h"

#include <boost/asio/io_context.hpp>
#include <map>
#include <random>
#include <string>

namespace lavender::soak {

/** Stand-in of a service that scores samples. A call whose item's number is a
 * multiple of seven fails each time, as a few always do. */
class reward_server
{
public:
  explicit reward_server(boost::asio::io_context& aLoop);

  unsigned short Port() const { return mListener.Port(); }
  static bool AlwaysFails(const std::string& aCall);

  /** Answers with 500 by call. */
  std::map<std::string, int> mErrors;
  /** Calls that were answered with success. */
  std::map<std::string, int> mScored;
  /** Share of the calls that meet one of the faults: the connection is cut,
   * the call turned away, nothing answered for a while, or another call's
   * answer given. */
  double mFaulty = 0;

private:
  void Serve(const edge::exchange_ptr& aExchange);
  void ServeBadly(const edge::exchange_ptr& aExchange);

  boost::asio::io_context& mLoop;
  std::mt19937 mRandom{ 1 };
  edge::listener mListener;
};

} // namespace lavender::soak
