#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace lavender::test {

/** A TCP connection on loopback that sends bytes no HTTP library would send. */
class raw_connection
{
public:
  explicit raw_connection(std::uint16_t aPort);
  ~raw_connection();
  raw_connection(const raw_connection&) = delete;
  raw_connection& operator=(const raw_connection&) = delete;

  /** Returns false when the peer has closed the connection. */
  bool Send(const std::string& aBytes);
  /** Closes the sending direction; reading still works. */
  void FinishSending();
  /** Reads until the peer closes or sends nothing for that long.
   * @param aHasClosed set to whether the peer closed */
  std::string ReceiveAll(std::chrono::milliseconds aIdleTimeout,
                         bool& aHasClosed);

private:
  int mSocket = -1;
};

} // namespace lavender::test
