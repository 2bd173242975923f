#include "Libraries/Edge/ServerConnection.h"

#include "Libraries/Edge/ListenerRoom.h"
#include "Libraries/Edge/ResponseText.h"

#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <utility>

namespace lavender::edge {

namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

/** Maximum number of bytes read ahead while a request is in flight; further
 * bytes stay in the kernel, which slows the sender down. */
constexpr std::size_t kReadAheadBytes = 4096;
/** Maximum time and bytes for which a closing connection is still read: closing
 * it with unread bytes would reset it before the caller has the response. */
constexpr milliseconds kLingerTimeout{ 1000 };
constexpr std::size_t kLingerBytes = 4 << 20;
/** Maximum number of bytes of one write. */
constexpr std::size_t kWriteBytes = 65536;
/** A draining listener keeps an idle connection open this long, so that a
 * request that is already on its way is still answered. */
constexpr milliseconds kDrainIdleTimeout{ 1500 };

/** Retry-After, in seconds, of a request refused because the listener's memory
 * is used up: there is likely to be room by then. */
constexpr char kRetryAfterSeconds[] = "0.5";

constexpr unsigned kBadRequest = 400;
constexpr unsigned kNotImplemented = 501;
/** Status of a request that didn't run. */
constexpr unsigned kNotRun = 503;

} // namespace

server_connection::server_connection(boost::asio::ip::tcp::socket aSocket,
                                     std::shared_ptr<listener_state> aShared)
  : mSocket(std::move(aSocket))
  , mTimer(mSocket.get_executor())
  , mShared(std::move(aShared))
  , mPause(mSocket.get_executor())
  , mHeld(mShared->mHeldBytes)
{
  mShared->mConnections.insert(this);
}

server_connection::~server_connection()
{
  mShared->mConnections.erase(this);
  ReturnMemory(*mShared);
}

std::shared_ptr<exchange>
server_connection::Unanswered() const
{
  auto current = mHasRequest ? mExchange.lock() : nullptr;
  return current && !current->HasBegun() && !current->IsEnded() ? current
                                                                : nullptr;
}

std::string_view
server_connection::BeginResponse(unsigned aStatus)
{
  mStatus = aStatus;
  mClosesAfterResponse = !mKeepsConnection || mShared->mIsDraining;
  if (mClosesAfterResponse) {
    return "close";
  }
  return mIsOldVersion ? "keep-alive" : "";
}

void
server_connection::Start()
{
  error_code ignored;
  mSocket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  PrepareRequest();
  Read();
}

void
server_connection::PrepareRequest()
{
  const auto& limits = *mShared->mLimits;
  mReader.emplace(
    request_bounds{ limits.mMaximumHeaderBytes, limits.mMaximumBodyBytes });
  mHasRequestBegun = false;
  mBodyEndsAt.reset();
  SetTimer(mShared->mClosesIdle
             ? std::min(limits.mIdleTimeout, kDrainIdleTimeout)
             : limits.mIdleTimeout,
           &server_connection::TimeOutIdle);
  if (mBuffer.size() > 0) {
    Parse();
  }
}

void
server_connection::SetTimer(milliseconds aTimeout,
                            void (server_connection::*aAction)())
{
  mTimer.expires_after(aTimeout);
  mTimer.async_wait([self = weak_from_this(), aAction](error_code aError) {
    // A wait that ended just before the timer was set again still calls its
    // handler.
    if (auto connection = self.lock();
        connection && !aError &&
        connection->mTimer.expiry() <= std::chrono::steady_clock::now()) {
      (connection.get()->*aAction)();
    }
  });
}

void
server_connection::TimeOutHeader()
{
  if (!mHasRequest && !mIsClosed) {
    Refuse(408);
  }
}

void
server_connection::TimeOutIdle()
{
  if (!mHasRequest && !mHasRequestBegun) {
    Close();
  }
}

void
server_connection::Read()
{
  if (mIsReading || mIsClosed) {
    return;
  }
  if (mHasInputEnded) {
    HandleEndOfInput();
    return;
  }
  if (mHasRequest && mBuffer.size() >= kReadAheadBytes) {
    mPause.Begin(shared_from_this());
    return;
  }
  mPause.End();
  mIsReading = true;
  const auto space = PrepareRead(mBuffer, mReadSize);
  CountHeld();
  mSocket.async_read_some(
    space, [self = shared_from_this()](error_code aError, std::size_t aSize) {
      self->mIsReading = false;
      self->HandleBytes(aError, aSize);
    });
}

void
server_connection::HandleBytes(const error_code& aError, std::size_t aSize)
{
  if (mIsClosed) {
    return;
  }
  if (aError == boost::asio::error::eof && mShared->mOptions.mAnswersAfterEnd) {
    HandleEndOfInput();
    return;
  }
  if (mIsRefused && aError == boost::asio::error::operation_aborted) {
    Read();
    return;
  }
  if (aError) {
    ReportCallerLeft();
    Close();
    return;
  }
  mBuffer.commit(aSize);
  if (mIsLingering || mIsRefused) {
    mBuffer.consume(mBuffer.size());
    mLingered += aSize;
    if (mLingered > kLingerBytes) {
      Close();
      return;
    }
  } else {
    mReadSize = NextReadSize(mReadSize, aSize);
    if (!mHasRequest) {
      Parse();
    }
  }
  Read();
}

void
server_connection::HandleEndOfInput()
{
  mHasInputEnded = true;
  if (mHasRequest || mIsWriting) {
    mPause.Begin(shared_from_this());
  } else {
    Close();
  }
}

unsigned
server_connection::RefusalOfHead() const
{
  if (!mReader->HasHead()) {
    return 0;
  }
  // Which host is meant would be a matter of opinion (RFC 9112, section 3.2).
  if (mReader->Hosts() > 1) {
    return kBadRequest;
  }
  if (!mShared->mOptions.mNeedsOneLength) {
    return 0;
  }
  if (mReader->HasTransferEncoding()) {
    return kNotImplemented;
  }
  const auto lengths = mReader->Lengths();
  return lengths > 1 || (lengths == 1 && !mReader->IsLengthNumber())
           ? kBadRequest
           : 0;
}

void
server_connection::Parse()
{
  if (!mHasRequestBegun) {
    mHasRequestBegun = true;
    NoteProgress();
    SetTimer(mShared->mLimits->mHeaderTimeout,
             &server_connection::TimeOutHeader);
  }
  error_code error;
  mBuffer.consume(mReader->Read(mBuffer.data(), error));
  // What is left is a part of a line, or of a trailer.
  const bool isTooLong = !mReader->IsWhole() &&
                         mBuffer.size() > mShared->mLimits->mMaximumHeaderBytes;
  if (error == http::error::header_limit || (!error && isTooLong)) {
    Refuse(431);
  } else if (const auto status = RefusalOfHead()) {
    Refuse(status);
  } else if (error == http::error::body_limit) {
    Refuse(413);
  } else if (error) {
    Refuse(400);
  } else {
    CountHeld(mReader->IsWhole() ? mReader->TakenHeadBytes() : 0);
    MakeRoomForMemory(*mShared, *this);
    if (mIsRefused || mIsClosed) {
      return;
    }
    if (mReader->IsWhole()) {
      HandleRequest();
    } else if (mReader->HasHead()) {
      LimitBodyTime();
    }
  }
}

void
server_connection::LimitBodyTime()
{
  const auto& limits = *mShared->mLimits;
  const auto now = std::chrono::steady_clock::now();
  if (!mBodyEndsAt) {
    mBodyEndsAt = now + limits.mBodyTimeout;
  }
  const auto left = std::chrono::ceil<milliseconds>(*mBodyEndsAt - now);
  SetTimer(
    std::min(limits.mBodySilenceTimeout.value_or(limits.mIdleTimeout), left),
    &server_connection::TimeOutHeader);
}

void
server_connection::CountHeld(std::size_t aMore)
{
  const auto sizeOf = [](const auto& aShared) {
    return aShared ? aShared->size() : 0;
  };
  const auto shared = sizeOf(mQueuedShared) + sizeOf(mWritingShared);
  const auto read = mReader ? mReader->HeldBytes() : 0;
  mHeld.Set(mIsClosed ? 0 : BufferBytes() + shared + read + aMore);
  mShared->mMostHeldBytes =
    std::max(mShared->mMostHeldBytes, *mShared->mHeldBytes);
}

void
server_connection::MakeRoomLater()
{
  if (HasRoomForMemory(*mShared, *this)) {
    return;
  }
  boost::asio::post(mSocket.get_executor(), [self = weak_from_this()] {
    if (const auto connection = self.lock();
        connection && !connection->mIsClosed) {
      MakeRoomForMemory(*connection->mShared, *connection);
    }
  });
}

void
server_connection::NoteProgress()
{
  mProgressAt = boot_clock::now();
}

milliseconds
server_connection::SinceProgress() const
{
  return std::chrono::duration_cast<milliseconds>(boot_clock::now() -
                                                  mProgressAt);
}

std::size_t
server_connection::BufferBytes() const
{
  return mBuffer.capacity() + mQueued.capacity() + mWriting.capacity();
}

bool
server_connection::IsEndable() const
{
  return !mIsClosed && (!mHasRequest || mUnsent > 0);
}

void
server_connection::EndForMemory()
{
  if (!mHasRequest && mHasRequestBegun && !mIsRefused) {
    ++mShared->mCounts.mRefused;
    Refuse(kNotRun);
  } else {
    EndForConnection();
  }
}

void
server_connection::EndForConnection()
{
  auto& counts = mShared->mCounts;
  if (mIsWriting) {
    ++counts.mReset;
    ReportCallerLeft();
    Reset();
  } else {
    ++counts.mClosed;
    Close();
  }
}

void
server_connection::HandleRequest()
{
  mTimer.cancel();
  mReadSize = kIdleReadBytes;
  held_bytes held(mShared->mHeldBytes);
  held.Set(mReader->TakenHeadBytes() + mReader->BodyBytes());
  auto received = mReader->Take();
  mKeepsConnection = received.mKeepsConnection;
  mIsOldVersion = mReader->IsOldVersion();
  mReader.reset();
  ++mShared->mRequests;
  mHasRequest = true;
  mStatus = 0;
  NoteProgress();
  CountHeld();
  const auto current = std::make_shared<exchange>(
    shared_from_this(), std::move(received), std::move(held));
  mExchange = current;
  mShared->mHandler(current);
}

void
server_connection::Refuse(unsigned aStatus)
{
  mClosesAfterResponse = true;
  mIsRefused = true;
  mBuffer.consume(mBuffer.size());
  mReader.reset();
  mReadSize = kIdleReadBytes;
  NoteProgress();
  // The read in progress keeps its buffer.
  error_code ignored;
  mSocket.cancel(ignored);
  const auto& describe = mShared->mOptions.mDescribeRefusal;
  auto refusal = describe ? describe(aStatus) : response{};
  if (aStatus == kNotRun) {
    refusal.mHeaders.Add("Retry-After", kRetryAfterSeconds);
  }
  Send(WriteHead(aStatus, refusal.mHeaders, refusal.mBody.size(), "close") +
         refusal.mBody,
       true);
}

void
server_connection::Send(std::string aBytes, bool aIsLast)
{
  if (mIsClosed) {
    return;
  }
  mUnsent += aBytes.size();
  if (mQueued.empty()) {
    mQueued = std::move(aBytes);
  } else {
    mQueued += aBytes;
  }
  mIsLastQueued = mIsLastQueued || aIsLast;
  CountHeld();
  MakeRoomLater();
  if (!mIsWriting) {
    Flush();
  }
}

void
server_connection::SendLast(std::string aBytes,
                            std::shared_ptr<const std::string> aSharedBytes)
{
  if (!mIsClosed && aSharedBytes) {
    mUnsent += aSharedBytes->size();
    mQueuedShared = std::move(aSharedBytes);
  }
  Send(std::move(aBytes), true);
}

void
server_connection::Flush()
{
  mIsWriting = true;
  mWriting = std::exchange(mQueued, {});
  mWritingShared = std::exchange(mQueuedShared, nullptr);
  const std::array<boost::asio::const_buffer, 2> buffers{
    boost::asio::buffer(mWriting),
    mWritingShared ? boost::asio::buffer(*mWritingShared)
                   : boost::asio::const_buffer()
  };
  boost::asio::async_write(
    mSocket,
    buffers,
    // Called before each write and after the last.
    [self = shared_from_this()](error_code aError, std::size_t) {
      self->NoteProgress();
      self->LimitWriteTime();
      return aError ? std::size_t{ 0 } : kWriteBytes;
    },
    [self = shared_from_this()](error_code aError, std::size_t) {
      self->HandleWritten(aError);
    });
}

void
server_connection::LimitWriteTime()
{
  if (const auto limit = mShared->mLimits->mUnreadTimeout;
      limit && !mIsClosed) {
    SetTimer(*limit, &server_connection::TimeOutWriting);
  }
}

void
server_connection::TimeOutWriting()
{
  if (mIsWriting && !mIsClosed) {
    ReportCallerLeft();
    Reset();
  }
}

void
server_connection::HandleWritten(const error_code& aError)
{
  mIsWriting = false;
  if (mIsClosed) {
    return;
  }
  if (aError) {
    ReportCallerLeft();
    Close();
    return;
  }
  mUnsent -= mWriting.size() + (mWritingShared ? mWritingShared->size() : 0);
  std::string().swap(mWriting);
  mWritingShared.reset();
  CountHeld();
  ReportWritten();
  if (mIsWriting || mIsClosed) {
    return;
  }
  if (!mQueued.empty()) {
    Flush();
  } else if (mIsLastQueued) {
    mIsLastQueued = false;
    EndRequest();
  }
}

void
server_connection::ReportWritten()
{
  const auto current = mExchange.lock();
  if (current && !current->mIsEnded && current->mWritten) {
    // The handler may be replaced while it runs.
    const auto handler = current->mWritten;
    handler();
  }
}

void
server_connection::EndRequest()
{
  // A caller that wasn't told of the end may have sent its next request.
  const bool closes = mClosesAfterResponse || mShared->mIsEnding;
  if (mHasRequest) {
    CountEnd(true);
    --mShared->mRequests;
    mHasRequest = false;
    mExchange.reset();
  }
  if (closes) {
    Linger();
    return;
  }
  PrepareRequest();
  Read();
}

void
server_connection::CountEnd(bool aIsWhole)
{
  if (!mShared->mIsDraining) {
    return;
  }
  auto& counts = mShared->mDrainCounts;
  counts.mAnswered += aIsWhole ? 1 : 0;
  counts.mRefused += aIsWhole && mStatus == kNotRun ? 1 : 0;
  counts.mCut += aIsWhole ? 0 : 1;
}

void
server_connection::ReportCallerLeft()
{
  if (!mHasRequest) {
    return;
  }
  --mShared->mRequests;
  mHasRequest = false;
  const auto current = mExchange.lock();
  mExchange.reset();
  if (current && !current->mIsEnded) {
    current->mIsEnded = true;
    if (auto handler = std::move(current->mCallerLeft)) {
      handler();
    }
  }
}

void
server_connection::Linger()
{
  error_code ignored;
  mSocket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
  mIsLingering = true;
  mBuffer.consume(mBuffer.size());
  mReadSize = kIdleReadBytes;
  SetTimer(kLingerTimeout, &server_connection::Close);
  Read();
}

void
server_connection::Reset()
{
  if (mIsClosed) {
    return;
  }
  error_code ignored;
  mSocket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  Close();
}

void
server_connection::Drain()
{
  if (!mHasRequest && !mHasRequestBegun) {
    SetTimer(kDrainIdleTimeout, &server_connection::TimeOutIdle);
  }
}

void
server_connection::CloseIfIdle()
{
  if (!mHasRequest && !mIsWriting && !mIsLingering) {
    Close();
  }
}

void
server_connection::Close()
{
  if (mIsClosed) {
    return;
  }
  mIsClosed = true;
  mReader.reset();
  CountHeld();
  mShared->mConnections.erase(this);
  mPause.End();
  if (mHasRequest) {
    CountEnd(false);
    --mShared->mRequests;
    mHasRequest = false;
    mExchange.reset();
  }
  mTimer.cancel();
  error_code ignored;
  mSocket.close(ignored);
}

} // namespace lavender::edge
