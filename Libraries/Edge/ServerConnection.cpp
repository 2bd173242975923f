#include "Libraries/Edge/ServerConnection.h"

#include <boost/asio/write.hpp>

namespace lavender::edge {

namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

/** One read; larger bodies take several. */
constexpr std::size_t kReadBytes = 16384;
/** Bytes of a following request that are kept while one is answered; the rest
 * stays in the kernel and holds the sender back. */
constexpr std::size_t kReadAheadBytes = 65536;
/** How long and how far a closing connection is read on, so that unread bytes
 * don't reset it before the caller has its answer. */
constexpr milliseconds kLinger{ 1000 };
constexpr std::size_t kLingerBytes = 4 << 20;
/** A draining listener keeps an idle connection this long, so that a request
 * which crosses the close is still answered. */
constexpr milliseconds kDrainIdle{ 1500 };

/** Seconds after which room for another body is likely. */
constexpr char kComeBackAfter[] = "0.5";

std::string
WriteHead(unsigned aStatus,
          const header_list& aHeaders,
          std::optional<std::size_t> aLength,
          bool aIsClosing)
{
  std::string head = "HTTP/1.1 " + std::to_string(aStatus) + " " +
                     std::string(ReasonPhrase(aStatus)) + "\r\n";
  for (const auto& [name, value] : aHeaders.mFields) {
    head += name + ": " + value + "\r\n";
  }
  head += aLength ? "Content-Length: " + std::to_string(*aLength) + "\r\n"
                  : std::string("Transfer-Encoding: chunked\r\n");
  if (aIsClosing) {
    head += "Connection: close\r\n";
  }
  return head + "\r\n";
}

std::string
WriteChunk(std::string_view aPiece)
{
  char size[20];
  const int length = std::snprintf(size, sizeof size, "%zx\r\n", aPiece.size());
  std::string chunk(size, static_cast<std::size_t>(length));
  chunk.append(aPiece);
  return chunk + "\r\n";
}

} // namespace

exchange::exchange(std::shared_ptr<server_connection> aConnection,
                   request aRequest)
  : mRequest(std::move(aRequest))
  , mConnection(aConnection)
{
}

exchange::~exchange()
{
  // A handler that forgets its request would leave the caller waiting.
  if (!mIsEnded) {
    Abort();
  }
}

void
exchange::Answer(response aResponse)
{
  auto connection = mConnection.lock();
  if (mIsEnded || mHasBegun || !connection) {
    return;
  }
  mHasBegun = mIsEnded = true;
  auto bytes = WriteHead(aResponse.mStatus,
                         aResponse.mHeaders,
                         aResponse.mBody.size(),
                         connection->IsClosing());
  connection->Send(bytes + aResponse.mBody, true);
}

void
exchange::Begin(unsigned aStatus, const header_list& aHeaders)
{
  auto connection = mConnection.lock();
  if (mIsEnded || mHasBegun || !connection) {
    return;
  }
  mHasBegun = true;
  connection->Send(
    WriteHead(aStatus, aHeaders, std::nullopt, connection->IsClosing()), false);
}

void
exchange::Write(std::string_view aPiece)
{
  auto connection = mConnection.lock();
  if (!mIsEnded && connection && !aPiece.empty()) {
    connection->Send(WriteChunk(aPiece), false);
  }
}

void
exchange::Finish()
{
  auto connection = mConnection.lock();
  if (!mIsEnded && connection) {
    mIsEnded = true;
    connection->Send("0\r\n\r\n", true);
  }
}

void
exchange::Abort()
{
  mIsEnded = true;
  if (auto connection = mConnection.lock()) {
    connection->Reset();
  }
}

std::size_t
exchange::Unsent() const
{
  const auto connection = mConnection.lock();
  return connection ? connection->Unsent() : 0;
}

void
exchange::OnCallerLeft(std::function<void()> aHandler)
{
  mCallerLeft = std::move(aHandler);
}

server_connection::server_connection(boost::asio::ip::tcp::socket aSocket,
                                     std::shared_ptr<listener_state> aShared)
  : mSocket(std::move(aSocket))
  , mTimer(mSocket.get_executor())
  , mShared(std::move(aShared))
{
  mShared->mConnections.insert(this);
}

server_connection::~server_connection()
{
  CountBody(0);
  mShared->mConnections.erase(this);
}

bool
server_connection::IsClosing() const
{
  return !mKeepsConnection || mShared->mIsDraining;
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
  mParser.emplace();
  mParser->header_limit(static_cast<std::uint32_t>(limits.mMaximumHeaderBytes));
  mParser->body_limit(limits.mMaximumBodyBytes);
  mParser->eager(true);
  mHasRequestBegun = false;
  Arm(limits.mIdleTimeout, &server_connection::TimeOutIdle);
  if (mBuffer.size() > 0) {
    Parse();
  }
}

void
server_connection::Arm(milliseconds aTimeout,
                       void (server_connection::*aAction)())
{
  mTimer.expires_after(aTimeout);
  mTimer.async_wait([self = weak_from_this(), aAction](error_code aError) {
    // A wait that ended just before it was set anew still calls back.
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
  if (mIsReading || mIsClosed ||
      (mHasRequest && mBuffer.size() >= kReadAheadBytes)) {
    return;
  }
  mIsReading = true;
  mSocket.async_read_some(
    mBuffer.prepare(kReadBytes),
    [self = shared_from_this()](error_code aError, std::size_t aSize) {
      self->mIsReading = false;
      self->TakeBytes(aError, aSize);
    });
}

void
server_connection::TakeBytes(const error_code& aError, std::size_t aSize)
{
  if (mIsClosed) {
    return;
  }
  if (aError) {
    TellCallerLeft();
    Close();
    return;
  }
  mBuffer.commit(aSize);
  if (mIsLingering) {
    mBuffer.consume(mBuffer.size());
    mLingered += aSize;
    if (mLingered > kLingerBytes) {
      Close();
      return;
    }
  } else if (!mHasRequest) {
    Parse();
  }
  Read();
}

void
server_connection::Parse()
{
  if (!mHasRequestBegun) {
    mHasRequestBegun = true;
    Arm(mShared->mLimits->mHeaderTimeout, &server_connection::TimeOutHeader);
  }
  error_code error;
  while (mBuffer.size() > 0 && !mParser->is_done()) {
    const auto used = mParser->put(mBuffer.data(), error);
    mBuffer.consume(used);
    if (error) {
      break;
    }
  }
  if (error == http::error::need_more) {
    error = {};
  }
  CountBody(BodyBytes());
  const auto& limits = *mShared->mLimits;
  if (error == http::error::header_limit) {
    Refuse(431);
  } else if (error == http::error::body_limit) {
    Refuse(413);
  } else if (error) {
    Refuse(400);
  } else if (mShared->mBodyBytes > limits.mMaximumBufferedBytes) {
    Refuse(503);
  } else if (mParser->is_done()) {
    HandOn();
  } else if (mParser->is_header_done()) {
    // The bound on headers doesn't concern a long body under way.
    Arm(mShared->mLimits->mIdleTimeout, &server_connection::TimeOutHeader);
  }
}

void
server_connection::CountBody(std::size_t aBytes)
{
  mShared->mBodyBytes += aBytes - mCountedBytes;
  mCountedBytes = aBytes;
}

std::size_t
server_connection::BodyBytes() const
{
  if (!mParser->is_header_done()) {
    return 0;
  }
  const auto announced = mParser->content_length();
  return std::max<std::size_t>(announced ? *announced : 0,
                               mParser->get().body().size());
}

void
server_connection::HandOn()
{
  mTimer.cancel();
  auto message = mParser->release();
  request taken;
  taken.mMethod = std::string(message.method_string());
  taken.mTarget = std::string(message.target());
  taken.mKeepsConnection = message.keep_alive();
  for (const auto& field : message) {
    taken.mHeaders.Add(std::string(field.name_string()),
                       std::string(field.value()));
  }
  taken.mBody = std::move(message.body());
  mKeepsConnection = taken.mKeepsConnection;
  ++mShared->mRequests;
  mHasRequest = true;
  const auto current =
    std::make_shared<exchange>(shared_from_this(), std::move(taken));
  mExchange = current;
  mShared->mHandler(current);
}

void
server_connection::Refuse(unsigned aStatus)
{
  mKeepsConnection = false;
  header_list headers;
  if (aStatus == 503) {
    headers.Add("Retry-After", kComeBackAfter);
  }
  CountBody(0);
  Send(WriteHead(aStatus, headers, std::size_t{ 0 }, true), true);
}

void
server_connection::Send(std::string aBytes, bool aIsLast)
{
  if (mIsClosed) {
    return;
  }
  mUnsent += aBytes.size();
  mQueued += aBytes;
  mIsLastQueued = mIsLastQueued || aIsLast;
  if (!mIsWriting) {
    Flush();
  }
}

void
server_connection::Flush()
{
  mIsWriting = true;
  mWriting.swap(mQueued);
  mQueued.clear();
  boost::asio::async_write(
    mSocket,
    boost::asio::buffer(mWriting),
    [self = shared_from_this()](error_code aError, std::size_t) {
      self->AfterWrite(aError);
    });
}

void
server_connection::AfterWrite(const error_code& aError)
{
  mIsWriting = false;
  if (mIsClosed) {
    return;
  }
  if (aError) {
    TellCallerLeft();
    Close();
    return;
  }
  mUnsent -= mWriting.size();
  mWriting.clear();
  if (!mQueued.empty()) {
    Flush();
  } else if (mIsLastQueued) {
    mIsLastQueued = false;
    EndRequest();
  }
}

void
server_connection::EndRequest()
{
  const bool closes = IsClosing();
  CountBody(0);
  if (mHasRequest) {
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
server_connection::TellCallerLeft()
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
  Arm(kLinger, &server_connection::Close);
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
    Arm(kDrainIdle, &server_connection::TimeOutIdle);
  }
}

void
server_connection::Close()
{
  if (mIsClosed) {
    return;
  }
  mIsClosed = true;
  if (mHasRequest) {
    --mShared->mRequests;
    mHasRequest = false;
    mExchange.reset();
  }
  mTimer.cancel();
  error_code ignored;
  mSocket.close(ignored);
}

} // namespace lavender::edge
