#pragma once

#include "Libraries/Core/Clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <vector>

namespace lavender::soak {

enum class link_fault
{
  None,
  /** Bytes arrive late. */
  Delay,
  /** Nothing passes in either direction, and nothing is closed. */
  Silence,
  /** Nothing passes back. */
  OneWay,
  /** Open connections are reset, and new ones too. */
  Reset
};

/** A loopback relay in front of one port. A fault concerns the connections
 * that are open when it begins and those that come while it lasts; the silent
 * ones stay silent after its end, as through a device that has lost them. */
class fault_proxy
{
public:
  fault_proxy(boost::asio::io_context& aLoop, unsigned short aTarget);

  unsigned short Port() const;
  void SetFault(link_fault aFault);

private:
  struct connection;
  void Accept();

  boost::asio::io_context& mLoop;
  const unsigned short mTarget;
  boost::asio::ip::tcp::acceptor mAcceptor;
  std::vector<std::weak_ptr<connection>> mConnections;
  link_fault mFault = link_fault::None;
};

} // namespace lavender::soak
