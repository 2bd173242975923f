#include "Libraries/Edge/ClientConnection.h"

#include "Libraries/Edge/HeadSyntax.h"
#include "Libraries/Edge/ResponseBounds.h"
#include "Libraries/EventLog/EventLog.h"

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <netinet/tcp.h>
#include <utility>
#include <variant>

namespace lavender::edge {

using boost::system::error_code;

namespace {

/** How long an idle connection is assumed to stay open when the server doesn't
 * state a time. */
constexpr milliseconds kDefaultKeepAlive{ 4000 };
/** An idle connection is no longer used this long before the server closes it:
 * a request sent while the server closes the connection has an unknown outcome.
 */
constexpr milliseconds kKeepAliveMargin{ 700 };
/** TCP closes the connection when sent bytes stay unacknowledged for this long.
 * Without this limit, a call to a peer that lost power would last until its
 * timeout. */
constexpr unsigned kUserTimeoutMilliseconds = 3000;
/** TCP keep-alive: idle time before the first probe, interval between probes,
 * and number of unacknowledged probes that close the connection. */
constexpr int kProbeIdleSeconds = 1;
constexpr int kProbeIntervalSeconds = 1;
constexpr int kMaximumProbes = 2;

std::size_t
BodySizeOf(const request& aRequest)
{
  return aRequest.mBody.size() +
         (aRequest.mSharedBody ? aRequest.mSharedBody->size() : 0);
}

/** The bytes of a request but its shared body, or why there are none. */
std::variant<std::string, head_fault>
WriteRequest(const request& aRequest, const endpoint& aServer)
{
  if (const auto fault = FindFault(aRequest)) {
    return *fault;
  }
  std::string bytes =
    aRequest.mMethod + " " + aRequest.mTarget + " HTTP/1.1\r\n";
  if (!aRequest.mHeaders.Find("Host")) {
    bytes += "Host: " + aServer.Text() + "\r\n";
  }
  for (const auto& [name, value] : aRequest.mHeaders.mFields) {
    bytes += name + ": " + value + "\r\n";
  }
  const auto size = BodySizeOf(aRequest);
  if (size > 0 || aRequest.mMethod == "POST" || aRequest.mMethod == "PUT") {
    bytes += "Content-Length: " + std::to_string(size) + "\r\n";
  }
  return bytes + "\r\n" + aRequest.mBody;
}

/** The timeout in the Keep-Alive field; none when the field or the timeout is
 * missing. */
std::optional<milliseconds>
ReadKeepAlive(const header_list& aHeaders)
{
  const auto* field = aHeaders.Find("Keep-Alive");
  if (!field) {
    return std::nullopt;
  }
  const auto start = field->find("timeout=");
  if (start == std::string::npos) {
    return std::nullopt;
  }
  const auto first = start + 8;
  const auto end = field->find_first_not_of("0123456789", first);
  const auto seconds =
    ParseInteger(std::string_view(*field).substr(first, end - first));
  return seconds ? std::optional<milliseconds>(std::chrono::seconds(*seconds))
                 : std::nullopt;
}

/** 0 for an empty id. */
std::size_t
HashOf(const std::string& aRequestId)
{
  return aRequestId.empty() ? 0 : std::hash<std::string>()(aRequestId);
}

} // namespace

client_connection::client_connection(boost::asio::io_context& aLoop,
                                     std::weak_ptr<client_pool> aPool,
                                     endpoint aServer,
                                     answer_number aNumber)
  : mSocket(aLoop)
  , mTimer(aLoop)
  , mPool(std::move(aPool))
  , mServer(std::move(aServer))
  , mNumber(aNumber)
  , mPause(aLoop)
{
}

bool
client_connection::IsUsable(time_point aNow) const
{
  return !mIsClosed && mIsConnected && !mIsBusy && aNow < mUsableUntil;
}

bool
client_connection::HasJustServed(const std::string& aRequestId) const
{
  return mLastRequest != 0 && mLastRequest == HashOf(aRequestId);
}

std::uint64_t
client_connection::Start(const request& aRequest,
                         const call_options& aOptions,
                         call_events aEvents)
{
  const auto number = ++mCalls;
  mIsBusy = true;
  mIsSent = false;
  mLastRequest = HashOf(aOptions.mRequestId);
  mHasReportedHead = false;
  mHeldByReader = 0;
  mOptions = aOptions;
  mEndsAt = aOptions.mTotalTimeout
              ? std::chrono::steady_clock::now() + *aOptions.mTotalTimeout
              : steady_time::max();
  mEvents = std::move(aEvents);
  mReader.emplace();
  auto written = WriteRequest(aRequest, mServer);
  if (std::holds_alternative<head_fault>(written)) {
    RefuseToSend();
    return number;
  }
  mOutgoing = std::move(std::get<std::string>(written));
  mOutgoingShared = aRequest.mSharedBody;
  if (mIsConnected) {
    Send();
  } else {
    Connect();
  }
  return number;
}

void
client_connection::RefuseToSend()
{
  boost::asio::post(mSocket.get_executor(), [self = shared_from_this()] {
    self->End(call_end::Unsendable);
  });
}

void
client_connection::Connect()
{
  SetTimer(mOptions.mConnectTimeout);
  error_code error;
  const boost::asio::ip::tcp::endpoint address(
    boost::asio::ip::make_address_v4(mServer.mAddress, error), mServer.mPort);
  mSocket.async_connect(address,
                        [self = shared_from_this()](error_code aError) {
                          if (self->mIsClosed) {
                            return;
                          }
                          if (aError) {
                            self->End(call_end::NotSent);
                            return;
                          }
                          self->mIsConnected = true;
                          self->SetSocketOptions();
                          self->Send();
                        });
}

void
client_connection::SetSocketOptions()
{
  error_code ignored;
  mSocket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  const int handle = mSocket.native_handle();
  const unsigned timeout = kUserTimeoutMilliseconds;
  setsockopt(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof timeout);
  if (mOptions.mProbesConnection) {
    mSocket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    setsockopt(handle,
               IPPROTO_TCP,
               TCP_KEEPIDLE,
               &kProbeIdleSeconds,
               sizeof kProbeIdleSeconds);
    setsockopt(handle,
               IPPROTO_TCP,
               TCP_KEEPINTVL,
               &kProbeIntervalSeconds,
               sizeof kProbeIntervalSeconds);
    setsockopt(
      handle, IPPROTO_TCP, TCP_KEEPCNT, &kMaximumProbes, sizeof kMaximumProbes);
  }
}

void
client_connection::Send()
{
  mIsSent = true;
  mRequest = request_progress::Writing;
  SetTimer(mOptions.mSilenceTimeout);
  const std::array<boost::asio::const_buffer, 2> bytes{
    boost::asio::buffer(mOutgoing),
    mOutgoingShared ? boost::asio::buffer(*mOutgoingShared)
                    : boost::asio::const_buffer()
  };
  boost::asio::async_write(
    mSocket,
    bytes,
    [self = shared_from_this()](error_code aError, std::size_t) {
      self->HandleWritten(aError);
    });
  Read();
}

void
client_connection::HandleWritten(const error_code& aError)
{
  mRequest = aError ? request_progress::Failed : request_progress::Written;
  std::string().swap(mOutgoing);
  mOutgoingShared.reset();
  if (!mIsBusy) {
    return;
  }
  // After a failed write the connection is read to its end: the server may have
  // sent its response before.
  if (mHasInputEnded) {
    HandleEndOfInput(false);
  } else {
    CompleteWhenDone();
  }
}

void
client_connection::Read()
{
  if (mIsReading || mIsClosed || mPause.IsOn()) {
    return;
  }
  mIsReading = true;
  mSocket.async_read_some(
    PrepareRead(mBuffer, mReadSize),
    [self = shared_from_this()](error_code aError, std::size_t aSize) {
      self->mIsReading = false;
      self->HandleBytes(aError, aSize);
    });
}

void
client_connection::HandleBytes(const error_code& aError, std::size_t aSize)
{
  if (mIsClosed) {
    return;
  }
  if (!mIsBusy) {
    // Bytes, a close or an error on an idle connection belong to no call.
    Close();
    return;
  }
  if (aError) {
    HandleEndOfInput(aError != boost::asio::error::eof);
    return;
  }
  mBuffer.commit(aSize);
  mReadSize = NextReadSize(mReadSize, aSize);
  if (mOptions.mBytesAreProgress) {
    SetTimer(mOptions.mSilenceTimeout);
  }
  Parse();
  if (!mIsClosed) {
    ReportHeld();
    Read();
  }
}

void
client_connection::ReportHeld()
{
  const auto pool = mPool.lock();
  if (!pool) {
    return;
  }
  // What fits into the first read is no more than an idle connection has.
  const auto unparsed = mBuffer.size() > kIdleReadBytes ? mBuffer.size() : 0;
  pool->RecordHeld(shared_from_this(), mIsBusy ? unparsed + mHeldByReader : 0);
}

void
client_connection::HandleEndOfInput(bool aIsError)
{
  mHasInputEnded = true;
  if (const auto end = DecideEnd({ aIsError, ResponseProgress(), mRequest })) {
    End(*end == call_end::Complete ? EndOfWhole() : *end);
  }
}

response_progress
client_connection::ResponseProgress() const
{
  if (mReader->IsWhole()) {
    return response_progress::Whole;
  }
  return mReader->EndsWithConnection() ? response_progress::EndsWithConnection
                                       : response_progress::Partial;
}

void
client_connection::Parse()
{
  const auto self = shared_from_this();
  mBuffer.consume(mReader->Read(mBuffer.data()));
  const bool isTooLong = mBuffer.size() > kMaximumUnparsedBytes;
  if (isTooLong || !mReader->Fault().empty()) {
    events::line("answer_malformed")
      .With("server", mServer.Text())
      .With("reason", isTooLong ? "a part is too long" : mReader->Fault());
    End(call_end::Malformed);
    return;
  }
  if (mReader->HasHead()) {
    ReportHead();
    ReportBody();
    CompleteWhenDone();
  }
}

void
client_connection::ReportHead()
{
  if (mHasReportedHead || !mIsBusy) {
    return;
  }
  mHasReportedHead = true;
  const auto& head = mReader->Head();
  if (mEvents.mIsOwn && !mEvents.mIsOwn(head)) {
    // The own response may still follow, so the connection can't be kept.
    End(call_end::Foreign);
    return;
  }
  if (!mOptions.mBytesAreProgress) {
    SetTimer(mOptions.mSilenceTimeout);
  }
  mKeepAliveTimeout = ReadKeepAlive(head.mHeaders).value_or(kDefaultKeepAlive);
  if (mEvents.mOnHead) {
    mEvents.mOnHead(head);
  }
}

void
client_connection::ReportBody()
{
  if (!mIsBusy) {
    return;
  }
  const auto piece = mReader->TakeBody();
  if (!piece.empty() && mEvents.mOnBody) {
    mEvents.mOnBody(piece);
  }
}

void
client_connection::CompleteWhenDone()
{
  // A server may respond before it has read the whole request body. The rest of
  // the body must be sent before the connection is used again.
  if (!mIsBusy || !mReader->IsWhole() ||
      mRequest == request_progress::Writing) {
    return;
  }
  End(EndOfWhole());
}

call_end
client_connection::EndOfWhole() const
{
  return mBuffer.size() > 0 ? call_end::Malformed : call_end::Complete;
}

void
client_connection::End(call_end aEnd)
{
  if (!mIsBusy) {
    return;
  }
  const auto self = shared_from_this();
  mIsBusy = false;
  ReportHeld();
  StopWait();
  const auto events = std::move(mEvents);
  mEvents = {};
  const bool isReusable = aEnd == call_end::Complete && !mHasInputEnded &&
                          mRequest == request_progress::Written &&
                          mReader->KeepsConnection();
  const auto pool = mPool.lock();
  if (isReusable && pool) {
    // The server's idle time begins at the end of its response, which may be a
    // long stream.
    mUsableUntil = boot_clock::now() + mKeepAliveTimeout - kKeepAliveMargin;
    mReader.reset();
    mReadSize = kIdleReadBytes;
    pool->Keep(self);
    Read();
  } else {
    Close();
  }
  if (events.mOnEnd) {
    events.mOnEnd(aEnd);
  }
}

void
client_connection::Cancel(std::uint64_t aCall)
{
  if (!mIsBusy || aCall != mCalls) {
    return;
  }
  // Cancel may be called from within one of these callbacks, which must not be
  // destroyed before it returns.
  boost::asio::post(mSocket.get_executor(), [events = std::move(mEvents)] {});
  mEvents = {};
  mIsBusy = false;
  ReportHeld();
  Close();
}

void
client_connection::RecordProgress(std::uint64_t aCall)
{
  if (mIsBusy && aCall == mCalls) {
    SetTimer(mOptions.mSilenceTimeout);
  }
}

void
client_connection::RecordHeld(std::uint64_t aCall, std::size_t aBytes)
{
  if (mIsBusy && aCall == mCalls) {
    mHeldByReader = aBytes;
  }
}

void
client_connection::Discard(std::uint64_t aCall)
{
  if (mIsBusy && aCall == mCalls) {
    End(call_end::Malformed);
  }
}

void
client_connection::Pause(std::uint64_t aCall)
{
  if (mIsBusy && aCall == mCalls) {
    mPause.Begin(shared_from_this());
  }
}

void
client_connection::Resume(std::uint64_t aCall)
{
  if (mIsBusy && aCall == mCalls && mPause.IsOn()) {
    mPause.End();
    Read();
  }
}

void
client_connection::Close()
{
  if (mIsClosed) {
    return;
  }
  mIsClosed = true;
  mPause.End();
  StopWait();
  error_code ignored;
  mSocket.close(ignored);
  if (const auto pool = mPool.lock()) {
    pool->Drop(this);
  }
}

void
client_connection::SetTimer(milliseconds aTimeout)
{
  mTimesOutAt = std::min(std::chrono::steady_clock::now() + aTimeout, mEndsAt);
  // A wait that ends earlier looks at the new time then, which costs less than
  // a new wait for each event.
  if (mTimesOutAt < mWaitsUntil) {
    StartWait();
  }
}

void
client_connection::StartWait()
{
  mWaitsUntil = mTimesOutAt;
  mTimer.expires_at(mWaitsUntil);
  mTimer.async_wait([self = weak_from_this()](error_code aError) {
    const auto connection = self.lock();
    // A wait that ended just before the next one was started still calls its
    // handler.
    if (connection && !aError && connection->mIsBusy &&
        connection->mTimer.expiry() <= std::chrono::steady_clock::now()) {
      connection->HandleWaitEnd();
    }
  });
}

void
client_connection::StopWait()
{
  mTimer.cancel();
  mWaitsUntil = steady_time::max();
}

void
client_connection::HandleWaitEnd()
{
  if (mTimesOutAt > std::chrono::steady_clock::now()) {
    StartWait();
    return;
  }
  End(mIsSent ? call_end::TimedOut : call_end::NotSent);
}

} // namespace lavender::edge
