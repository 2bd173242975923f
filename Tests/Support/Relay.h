#pragma once

#include <atomic>
#include <cstdint>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace lavender::test {

/** A TCP relay on loopback whose connections a test can make silent: they
 * stay open and carry nothing, while new ones pass. */
class relay
{
public:
  explicit relay(std::uint16_t aTarget);
  ~relay();
  relay(const relay&) = delete;
  relay& operator=(const relay&) = delete;

  std::uint16_t Port() const { return mPort; }
  /** New connections go there from now on. */
  void SetTarget(std::uint16_t aTarget) { mTarget = aTarget; }
  /** Connections that are open now go silent. */
  void FreezeOpen();
  /** Connections opened from now on are accepted and held. */
  void HoldNew(bool aIsHeld) { mIsHoldingNew = aIsHeld; }
  /** All silent and held connections carry their bytes again. */
  void ThawAll();
  /** Closes the connections that are open now, and returns when they are. */
  void CloseOpen();
  /** Every answer from now on is cut after that many bytes; 0 cuts none. */
  void CutAnswersAfter(std::size_t aBytes) { mCutAfter = aBytes; }
  /** Answers that were cut. */
  int Cuts() const { return mCuts; }
  /** Bytes of answers that were passed on. */
  std::size_t CarriedBytes() const { return mCarried; }
  /** Bytes that silent connections were sent by clients and kept back. */
  std::size_t HeldBytes() const;
  /** Whether a text stands among the kept bytes. */
  bool IsHolding(const std::string& aText) const;

private:
  struct link;

  void Accept();
  void Carry(link& aLink);
  bool CarryRequests(link& aLink);
  bool CarryAnswers(link& aLink);

  int mListener = -1;
  std::uint16_t mPort = 0;
  std::atomic<std::uint16_t> mTarget;
  std::atomic<bool> mIsHoldingNew{ false };
  std::atomic<bool> mIsStopping{ false };
  std::atomic<std::size_t> mCutAfter{ 0 };
  std::atomic<int> mCuts{ 0 };
  std::atomic<std::size_t> mCarried{ 0 };
  mutable std::mutex mMutex;
  std::list<link> mLinks;
  std::thread mAcceptor;
};

} // namespace lavender::test
