#pragma once

#include "Libraries/Core/Clock.h"
#include "Libraries/Core/Result.h"
#include "Libraries/Http/Client.h"

#include <memory>
#include <string>
#include <string_view>

namespace lavender::leases {

/** A TCP connection that can't send a byte after a lease's end.
 *
 * A check before a write doesn't stop a process that is paused between the
 * two: on resume the write leaves, though a successor is in charge. So a timer
 * of the kernel is armed for the lease's end, and its signal goes to the very
 * thread that sends. However late the process resumes, the signal's handler
 * runs before the thread's next instruction and aborts the connection; a send
 * that was blocked fails.
 *
 * What the kernel already holds when the process is paused is bounded by
 * TCP_USER_TIMEOUT, set below the rest of the lease: the kernel gives an
 * unacknowledged connection up without the process. Bytes on the wire or in
 * the receiver's buffer are what a successor waits out (lease_settings'
 * mMaximumTransitTime).
 *
 * Use and destroy it in the thread that opened it: only there is the signal
 * certain to come first. */
class guarded_connection
{
public:
  /** Connects, with the timer armed before.
   * @param aTimeout longest wait for the connection, and for each byte */
  static result<std::unique_ptr<guarded_connection>>
  Open(const http::endpoint& aTo, time_point aLeaseEnd, milliseconds aTimeout);
  ~guarded_connection();
  guarded_connection(const guarded_connection&) = delete;
  guarded_connection& operator=(const guarded_connection&) = delete;

  /** False when not all left; some bytes may have. */
  bool Send(std::string_view aBytes);
  /** Adds what arrives next; false at the end, an error or a timeout. */
  bool Receive(std::string& aBytes);

private:
  guarded_connection(int aSocket, time_point aLeaseEnd);
  bool Arm();
  bool Connect(const http::endpoint& aTo, milliseconds aTimeout);

  const int mSocket;
  const time_point mLeaseEnd;
  void* mTimer = nullptr;
  bool mIsArmed = false;
};

} // namespace lavender::leases
