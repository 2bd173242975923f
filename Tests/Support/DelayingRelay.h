#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>

namespace lavender::test {

/** A TCP relay on loopback that stands for the network between two processes:
 * it delays, stalls or cuts connections. Bytes that the relay has read count as
 * delivered for the sender's kernel, like bytes in the network. */
class delaying_relay
{
public:
  /** Forwards connections to that port on loopback. */
  explicit delaying_relay(std::uint16_t aTarget);
  ~delaying_relay();
  delaying_relay(const delaying_relay&) = delete;
  delaying_relay& operator=(const delaying_relay&) = delete;

  std::uint16_t Port() const { return mPort; }
  /** From now on delays the bytes of connections whose first bytes begin
   * with aStart; an empty aStart matches all connections. */
  void Delay(const std::string& aStart, std::chrono::milliseconds aDelay);
  /** Keeps connections open but forwards nothing. */
  void Stall(bool aIsStalled) { mIsStalled = aIsStalled; }
  /** Closes all connections; new ones work. */
  void Cut() { ++mCuts; }
  /** All bytes forwarded so far, in both directions. */
  std::string ForwardedBytes();
  /** Number of chunks that were delayed. */
  std::int64_t Delayed() const { return mDelayed; }

private:
  struct connection
  {
    int mClient = -1;
    int mServer = -1;
    std::thread mThread;
  };

  void Accept();
  void Run(connection& aConnection);
  bool Forward(int aFrom, int aTo, std::string& aStart);
  std::chrono::milliseconds DelayFor(const std::string& aStart);

  const std::uint16_t mTarget;
  int mListener = -1;
  std::uint16_t mPort = 0;
  std::atomic<bool> mIsStopping{ false };
  std::atomic<bool> mIsStalled{ false };
  std::atomic<std::int64_t> mCuts{ 0 };
  std::atomic<std::int64_t> mDelayed{ 0 };
  std::mutex mMutex;
  std::string mForwarded;
  std::string mDelayStart;
  std::chrono::milliseconds mDelay{ 0 };
  std::list<connection> mConnections;
  std::thread mThread;
};

} // namespace lavender::test
