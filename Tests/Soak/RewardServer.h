#pragma once

#include "Libraries/Edge/Listener.h"

#include <boost/asio/io_context.hpp>
#include <map>
#include <random>
#include <string>

namespace lavender::soak {

/** Stand-in of a service that scores samples. About one call in seven, chosen
 * by the hash of its id, fails at every attempt. */
class reward_server
{
public:
  explicit reward_server(boost::asio::io_context& aLoop);

  unsigned short Port() const { return mListener.Port(); }
  static bool AlwaysFails(const std::string& aCall);

  /** Responses with status 500, by call. */
  std::map<std::string, int> mErrors;
  /** Successful responses, by call. */
  std::map<std::string, int> mScored;
  /** Share of the calls that meet a fault: the connection is cut, the call is
   * refused as not executed, no response comes for a while, or the response is
   * another call's. */
  double mFaultShare = 0;

private:
  void Serve(const edge::exchange_ptr& aExchange);
  void ServeWithFault(const edge::exchange_ptr& aExchange);

  boost::asio::io_context& mLoop;
  std::mt19937 mRandom{ 1 };
  edge::listener mListener;
};

} // namespace lavender::soak
