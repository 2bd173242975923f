#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace lavender::test {

/** A TCP connection on loopback for bytes that no library would send. */
class raw_connection
{
public:
  explicit raw_connection(std::uint16_t aPort);
  ~raw_connection();
  raw_connection(const raw_connection&) = delete;
  raw_connection& operator=(const raw_connection&) = delete;

  /** False when the peer has closed. */
  bool Send(const std::string& aBytes);
  /** No more bytes will follow; reading goes on. */
  void FinishSending();
  /** All bytes until the peer closes or stays silent that long.
   * @param aHasClosed set to whether the peer closed */
  std::string ReceiveAll(std::chrono::milliseconds aSilence, bool& aHasClosed);

private:
  int mSocket = -1;
};

} // namespace lavender::test
