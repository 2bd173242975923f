#pragma once

#include "Libraries/Edge/ListenerState.h"
#include "Libraries/Edge/ReadPause.h"
#include "Libraries/Edge/ReadSize.h"
#include "Libraries/Edge/RequestReader.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <optional>
#include <string_view>

namespace lavender::edge {

/** A caller's connection: reads a request, passes it to the handler and writes
 * the response. It goes on reading meanwhile to detect that the caller has
 * closed the connection. */
class server_connection : public std::enable_shared_from_this<server_connection>
{
public:
  server_connection(boost::asio::ip::tcp::socket aSocket,
                    std::shared_ptr<listener_state> aShared);
  ~server_connection();

  void Start();
  void Send(std::string aBytes, bool aIsLast);
  /** Ends a response.
   * @param aSharedBytes sent after aBytes; may be null */
  void SendLast(std::string aBytes,
                std::shared_ptr<const std::string> aSharedBytes);
  void Reset();
  /** Closes the connection after a short time unless a request begins. */
  void Drain();
  /** Closes the connection unless a response is due or being written. */
  void CloseIfIdle();
  void Close();
  std::size_t Unsent() const { return mUnsent; }
  /** Memory of the connection's buffers, in bytes. */
  std::size_t BufferBytes() const;
  /** Memory of the connection that counts with its listener, in bytes. */
  std::size_t HeldBytes() const { return mHeld.Bytes(); }
  /** Whether the connection may end for others: no whole request waits for the
   * begin of its response. */
  bool IsEndable() const;
  milliseconds SinceProgress() const;
  /** Ends an endable connection because memory is short. A request that is
   * being read is refused. */
  void EndForMemory();
  /** Ends an endable connection because there are too many. */
  void EndForConnection();
  /** Notes the status of the current response and decides whether the
   * connection closes after it.
   * @return what the Connection field of the response says; empty for none */
  std::string_view BeginResponse(unsigned aStatus);
  /** The current request if its response hasn't begun, or null. */
  std::shared_ptr<exchange> Unanswered() const;

private:
  void PrepareRequest();
  void Read();
  void HandleBytes(const boost::system::error_code& aError, std::size_t aSize);
  void HandleEndOfInput();
  void Parse();
  /** Status with which the head of the request is refused; 0 if it isn't. */
  unsigned RefusalOfHead() const;
  void HandleRequest();
  void Refuse(unsigned aStatus);
  /** Counts what the connection holds, and aMore bytes. */
  void CountHeld(std::size_t aMore = 0);
  /** Makes room for what the connection holds, once its handlers have
   * returned. */
  void MakeRoomLater();
  void NoteProgress();
  void LimitBodyTime();
  void Flush();
  void HandleWritten(const boost::system::error_code& aError);
  void ReportWritten();
  void EndRequest();
  void CountEnd(bool aIsWhole);
  void ReportCallerLeft();
  void Linger();
  void SetTimer(milliseconds aTimeout, void (server_connection::*aAction)());
  void TimeOutHeader();
  void TimeOutIdle();
  void LimitWriteTime();
  void TimeOutWriting();

  boost::asio::ip::tcp::socket mSocket;
  boost::asio::steady_timer mTimer;
  std::shared_ptr<listener_state> mShared;
  boost::beast::flat_buffer mBuffer;
  std::size_t mReadSize = kIdleReadBytes;
  std::optional<request_reader> mReader;
  /** Owned by the handler. An exchange destroyed without a response resets the
   * connection, so that the caller doesn't wait in vain. */
  std::weak_ptr<exchange> mExchange;
  /** On while reading waits for the current response, or the caller has closed
   * its sending side. */
  read_pause mPause;
  bool mHasRequest = false;
  /** Status of the current request's response, once it has begun. */
  unsigned mStatus = 0;
  std::string mQueued;
  /** End of the response, sent after mQueued. */
  std::shared_ptr<const std::string> mQueuedShared;
  std::string mWriting;
  std::shared_ptr<const std::string> mWritingShared;
  std::size_t mUnsent = 0;
  held_bytes mHeld;
  /** Of the begin of the current request, of its end, and of each part of the
   * response that the caller took. */
  time_point mProgressAt = boot_clock::now();
  std::size_t mLingered = 0;
  /** When the body of the current request must be complete; none before the end
   * of its header. */
  std::optional<std::chrono::steady_clock::time_point> mBodyEndsAt;
  bool mIsReading = false;
  /** The caller has closed its sending side. */
  bool mHasInputEnded = false;
  bool mIsWriting = false;
  bool mIsLastQueued = false;
  bool mKeepsConnection = true;
  /** The connection closes after the current response, which says so. */
  bool mClosesAfterResponse = false;
  /** The current request is of HTTP/1.0, where a connection closes unless the
   * response says that it doesn't. */
  bool mIsOldVersion = false;
  bool mHasRequestBegun = false;
  /** A refusal is on its way; what follows isn't parsed. */
  bool mIsRefused = false;
  bool mIsLingering = false;
  bool mIsClosed = false;
};

} // namespace lavender::edge
