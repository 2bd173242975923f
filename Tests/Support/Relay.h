#pragma once

#include <atomic>
#include <cstdint>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace lavender::test {

/** A TCP relay on loopback whose connections a test can freeze: they stay open
 * and forward nothing, while new ones work. */
class relay
{
public:
  explicit relay(std::uint16_t aTarget);
  ~relay();
  relay(const relay&) = delete;
  relay& operator=(const relay&) = delete;

  std::uint16_t Port() const { return mPort; }
  /** New connections go to that port from now on. */
  void SetTarget(std::uint16_t aTarget) { mTarget = aTarget; }
  /** Freezes the connections that are open now. */
  void FreezeOpen();
  /** Connections opened from now on are accepted and frozen. */
  void HoldNew(bool aIsHeld) { mIsHoldingNew = aIsHeld; }
  /** All frozen connections forward their bytes again. */
  void ThawAll();
  /** Closes the connections that are open now; returns once they are closed. */
  void CloseOpen();
  /** Cuts every response from now on after that many bytes; 0 cuts none. */
  void CutResponsesAfter(std::size_t aBytes) { mCutAfter = aBytes; }
  /** Number of responses that were cut. */
  int Cuts() const { return mCuts; }
  /** Bytes of responses that were forwarded. */
  std::size_t ForwardedBytes() const { return mForwarded; }
  /** Whether a request with that text was forwarded. */
  bool HasForwarded(const std::string& aText) const;
  /** Bytes that clients sent on frozen connections and that weren't forwarded.
   */
  std::size_t HeldBytes() const;
  /** Whether the held bytes of a connection contain the text. */
  bool IsHolding(const std::string& aText) const;

private:
  struct link;

  void Accept();
  void Run(link& aLink);
  bool ForwardRequests(link& aLink);
  bool ForwardResponses(link& aLink);

  int mListener = -1;
  std::uint16_t mPort = 0;
  std::atomic<std::uint16_t> mTarget;
  std::atomic<bool> mIsHoldingNew{ false };
  std::atomic<bool> mIsStopping{ false };
  std::atomic<std::size_t> mCutAfter{ 0 };
  std::atomic<int> mCuts{ 0 };
  std::atomic<std::size_t> mForwarded{ 0 };
  mutable std::mutex mMutex;
  std::list<link> mLinks;
  /** Requests that were forwarded, of all connections. */
  std::string mRequests;
  std::thread mAcceptor;
};

} // namespace lavender::test
