#pragma once

#include <boost/asio/steady_timer.hpp>
#include <memory>

namespace lavender::edge {

/** Keeps a connection alive while it isn't read and no operation of its own is
 * in progress. What keeps it is a wait of the event loop, so a connection that
 * is never read again is destroyed with the loop. */
class read_pause
{
public:
  template<typename executor>
  explicit read_pause(executor&& aExecutor)
    : mWait(std::forward<executor>(aExecutor))
  {
  }

  bool IsOn() const { return mIsOn; }

  void Begin(std::shared_ptr<const void> aConnection)
  {
    mIsOn = true;
    mWait.expires_at(std::chrono::steady_clock::time_point::max());
    mWait.async_wait([kept = std::move(aConnection)](const auto&) {});
  }

  /** The connection may be destroyed once the caller's reference ends. */
  void End()
  {
    mIsOn = false;
    mWait.cancel();
  }

private:
  boost::asio::steady_timer mWait;
  bool mIsOn = false;
};

} // namespace lavender::edge
