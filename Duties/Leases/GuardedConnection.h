#pragma once

#include "Libraries/Core/Clock.h"
#include "Libraries/Core/Result.h"
#include "Libraries/Http/Client.h"

#include <memory>
#include <string>
#include <string_view>

namespace lavender::leases {

/** A TCP connection that can't send a byte after a lease has expired.
 *
 * Checking the lease before a write isn't enough: a process that is paused
 * between the check and the write would send on resume, although another
 * process holds the lease by then. A kernel timer therefore signals the sending
 * thread when the lease expires. However late the process resumes, the signal
 * handler runs before the thread's next instruction and aborts the connection;
 * a blocked send fails.
 *
 * TCP_USER_TIMEOUT, set below the remaining time of the lease, bounds how long
 * the kernel retransmits data that it had accepted before the pause. The next
 * holder waits for bytes on the wire or in the receiver's buffer
 * (lease_settings::mMaximumTransitTime).
 *
 * The connection must be used and destroyed in the thread that opened it, since
 * the signal goes to that thread only. */
class guarded_connection
{
public:
  /** Arms the timer, then connects.
   * @param aTimeout limit of the connect and of each send and receive call
   * @return an error when the lease has expired or the connect failed */
  static result<std::unique_ptr<guarded_connection>>
  Open(const http::endpoint& aTo, time_point aLeaseEnd, milliseconds aTimeout);
  ~guarded_connection();
  guarded_connection(const guarded_connection&) = delete;
  guarded_connection& operator=(const guarded_connection&) = delete;

  /** Returns false when not all bytes were sent; some of them may have been. */
  bool Send(std::string_view aBytes);
  /** Appends the next bytes received. Returns false at the end of the stream,
   * on an error or after the timeout. */
  bool Receive(std::string& aBytes);

private:
  guarded_connection(int aSocket, time_point aLeaseEnd);
  bool ArmTimer();
  bool Connect(const http::endpoint& aTo, milliseconds aTimeout);

  const int mSocket;
  const time_point mLeaseEnd;
  void* mTimer = nullptr;
  bool mIsTimerArmed = false;
};

} // namespace lavender::leases
