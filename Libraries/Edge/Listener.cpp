#include "Libraries/Edge/Listener.h"

#include "Libraries/Edge/ListenerRoom.h"
#include "Libraries/Edge/ServerConnection.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace lavender::edge {

using boost::asio::ip::tcp;

namespace {
/** Maximum number of connections that wait in the kernel to be accepted. Peers
 * of dropped connections retry a second later, so the queue has room for a
 * burst. */
constexpr int kBacklog = 512;
/** Delay before the next accept after one that failed, for example for lack of
 * file descriptors: an immediate retry would loop without pause. */
constexpr milliseconds kAcceptRetryDelay{ 50 };
} // namespace

struct listener::implementation
  : std::enable_shared_from_this<listener::implementation>
{
  implementation(boost::asio::io_context& aLoop,
                 std::shared_ptr<const listener_limits> aLimits,
                 request_handler aHandler,
                 listener_options aOptions)
    : mAcceptor(aLoop)
    , mRetryTimer(aLoop)
    , mShared(std::make_shared<listener_state>())
  {
    mShared->mLimits = std::move(aLimits);
    mShared->mHandler = std::move(aHandler);
    mShared->mOptions = std::move(aOptions);
  }

  void Accept()
  {
    mAcceptor.async_accept(
      [self = shared_from_this()](auto aError, tcp::socket aSocket) {
        self->HandleAccepted(aError, std::move(aSocket));
      });
  }

  void HandleAccepted(const boost::system::error_code& aError,
                      tcp::socket aSocket)
  {
    if (aError == boost::asio::error::operation_aborted ||
        !mAcceptor.is_open()) {
      return;
    }
    if (aError) {
      mRetryTimer.expires_after(kAcceptRetryDelay);
      mRetryTimer.async_wait([self = shared_from_this()](auto aStopped) {
        if (!aStopped) {
          self->Accept();
        }
      });
      return;
    }
    if (MakeRoomForConnection(*mShared)) {
      std::make_shared<server_connection>(std::move(aSocket), mShared)->Start();
    }
    Accept();
  }

  tcp::acceptor mAcceptor;
  boost::asio::steady_timer mRetryTimer;
  std::shared_ptr<listener_state> mShared;
};

listener::listener(boost::asio::io_context& aLoop,
                   std::shared_ptr<const listener_limits> aLimits,
                   request_handler aHandler,
                   listener_options aOptions)
  : mImplementation(std::make_shared<implementation>(aLoop,
                                                     std::move(aLimits),
                                                     std::move(aHandler),
                                                     std::move(aOptions)))
{
}

listener::~listener()
{
  StopAccepting();
}

std::string
listener::Open(const endpoint& aAddress)
{
  boost::system::error_code error;
  const tcp::endpoint address(
    boost::asio::ip::make_address(aAddress.mAddress, error), aAddress.mPort);
  auto& acceptor = mImplementation->mAcceptor;
  if (!error) {
    acceptor.open(address.protocol(), error);
  }
  if (!error) {
    acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    acceptor.bind(address, error);
  }
  if (!error) {
    acceptor.listen(kBacklog, error);
  }
  if (error) {
    return aAddress.Text() + ": " + error.message();
  }
  mImplementation->Accept();
  return {};
}

unsigned short
listener::Port() const
{
  boost::system::error_code error;
  return mImplementation->mAcceptor.local_endpoint(error).port();
}

const std::string&
listener::Name() const
{
  return mImplementation->mShared->mOptions.mName;
}

void
listener::StartDraining()
{
  AskCallersToClose();
  mImplementation->mShared->mClosesIdle = true;
  for (auto* connection : mImplementation->mShared->mConnections) {
    connection->Drain();
  }
}

void
listener::AskCallersToClose()
{
  mImplementation->mShared->mIsDraining = true;
}

void
listener::StopAccepting()
{
  boost::system::error_code ignored;
  mImplementation->mAcceptor.close(ignored);
}

void
listener::CloseIdle()
{
  mImplementation->mShared->mIsEnding = true;
  // A connection that is closed may leave the set.
  const auto connections = mImplementation->mShared->mConnections;
  for (auto* connection : connections) {
    connection->CloseIfIdle();
  }
}

void
listener::CloseAll()
{
  const auto connections = mImplementation->mShared->mConnections;
  for (auto* connection : connections) {
    connection->Close();
  }
}

std::size_t
listener::Connections() const
{
  return mImplementation->mShared->mConnections.size();
}

std::size_t
listener::Requests() const
{
  return mImplementation->mShared->mRequests;
}

std::vector<exchange_ptr>
listener::Unanswered() const
{
  std::vector<exchange_ptr> unanswered;
  for (const auto* connection : mImplementation->mShared->mConnections) {
    if (auto current = connection->Unanswered()) {
      unanswered.push_back(std::move(current));
    }
  }
  return unanswered;
}

const drain_counts&
listener::DrainCounts() const
{
  return mImplementation->mShared->mDrainCounts;
}

const listener_counts&
listener::Counts() const
{
  return mImplementation->mShared->mCounts;
}

std::size_t
listener::BufferBytes() const
{
  std::size_t bytes = 0;
  for (const auto* connection : mImplementation->mShared->mConnections) {
    bytes += connection->BufferBytes();
  }
  return bytes;
}

std::size_t
listener::HeldBytes() const
{
  return *mImplementation->mShared->mHeldBytes;
}

} // namespace lavender::edge
