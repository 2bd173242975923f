#pragma once

#include "Libraries/Edge/Caller.h"
#include "Libraries/Edge/EndOfInput.h"
#include "Libraries/Edge/ReadPause.h"
#include "Libraries/Edge/ReadSize.h"
#include "Libraries/Edge/ResponseReader.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <optional>

namespace lavender::edge {

/** A connection to a server, which runs one call at a time. */
class client_connection : public std::enable_shared_from_this<client_connection>
{
public:
  client_connection(boost::asio::io_context& aLoop,
                    std::weak_ptr<client_pool> aPool,
                    endpoint aServer,
                    answer_number aNumber);

  const endpoint& Server() const { return mServer; }
  /** Number of the connection in its pool. */
  answer_number Number() const { return mNumber; }
  bool IsUsable(time_point aNow) const;
  /** Whether the last request bore that id; false for an empty one. */
  bool HasJustServed(const std::string& aRequestId) const;
  /** Memory of the connection's buffers, in bytes. */
  std::size_t HeldBytes() const
  {
    return mBuffer.capacity() + mOutgoing.capacity();
  }
  /** @return the call's number on this connection */
  std::uint64_t Start(const request& aRequest,
                      const call_options& aOptions,
                      call_events aEvents);
  /** Cancels the call with that number, unless it has ended. */
  void Cancel(std::uint64_t aCall);
  /** Starts the call's silence anew, unless the call has ended. */
  void RecordProgress(std::uint64_t aCall);
  /** Replaces the bytes that the reader keeps, unless the call has ended. */
  void RecordHeld(std::uint64_t aCall, std::size_t aBytes);
  /** Number of the current or last call. */
  std::uint64_t CurrentCall() const { return mCalls; }
  /** Ends the call with that number as Malformed, unless it has ended. */
  void Discard(std::uint64_t aCall);
  /** Stops reading, unless the call has ended. */
  void Pause(std::uint64_t aCall);
  void Resume(std::uint64_t aCall);
  void Close();

private:
  using steady_time = std::chrono::steady_clock::time_point;

  /** Ends a call whose request can't be written, after Start has returned. */
  void RefuseToSend();
  void Connect();
  void Send();
  void HandleWritten(const boost::system::error_code& aError);
  void Read();
  void HandleBytes(const boost::system::error_code& aError, std::size_t aSize);
  /** Ends the call, or waits until it is known whether the request can be
   * written.
   * @param aIsError the read failed; otherwise the server closed its side */
  void HandleEndOfInput(bool aIsError);
  response_progress ResponseProgress() const;
  void Parse();
  /** Tells the pool what is held of the current response. */
  void ReportHeld();
  void ReportHead();
  void ReportBody();
  void CompleteWhenDone();
  /** How the call with a whole response ends: no bytes may follow it. */
  call_end EndOfWhole() const;
  void End(call_end aEnd);
  /** The call times out after this time, or at the end of the whole call if
   * that is sooner. Replaces an earlier time. */
  void SetTimer(milliseconds aTimeout);
  void StartWait();
  void StopWait();
  void HandleWaitEnd();
  void SetSocketOptions();

  boost::asio::ip::tcp::socket mSocket;
  boost::asio::steady_timer mTimer;
  std::weak_ptr<client_pool> mPool;
  const endpoint mServer;
  const answer_number mNumber;
  boost::beast::flat_buffer mBuffer;
  std::size_t mReadSize = kIdleReadBytes;
  std::optional<response_reader> mReader;
  call_options mOptions;
  call_events mEvents;
  std::string mOutgoing;
  /** End of the request, sent after mOutgoing. */
  std::shared_ptr<const std::string> mOutgoingShared;
  /** How long the server keeps an idle connection open, according to its last
   * response. */
  milliseconds mKeepAliveTimeout{ 0 };
  read_pause mPause;
  /** When the current call ends at the latest. */
  steady_time mEndsAt = steady_time::max();
  /** When the current call times out. */
  steady_time mTimesOutAt = steady_time::max();
  /** End of the wait in progress; max if there is none. It may come before
   * mTimesOutAt. */
  steady_time mWaitsUntil = steady_time::max();
  /** Time from which the idle connection isn't used any more, shortly before
   * the server closes it. */
  time_point mUsableUntil;
  request_progress mRequest = request_progress::Written;
  std::uint64_t mCalls = 0;
  std::size_t mHeldByReader = 0;
  /** Hash of the last request's id, which takes less memory than the id: there
   * are many idle connections. 0 if it bore none. */
  std::size_t mLastRequest = 0;
  bool mIsConnected = false;
  bool mIsBusy = false;
  bool mIsReading = false;
  bool mIsSent = false;
  /** The server sends nothing more. */
  bool mHasInputEnded = false;
  bool mHasReportedHead = false;
  bool mIsClosed = false;
};

} // namespace lavender::edge
