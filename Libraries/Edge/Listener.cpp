#include "Libraries/Edge/Listener.h"

#include "Libraries/Edge/ServerConnection.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace lavender::edge {

using boost::asio::ip::tcp;

namespace {
/** Waiting connections that the kernel holds; more are dropped and come back
 * a second later, so a burst needs room. */
constexpr int kBacklog = 512;
/** Pause after an accept that failed for want of descriptors: trying at once
 * would spin. */
constexpr milliseconds kAcceptPause{ 50 };
} // namespace

struct listener::implementation
  : std::enable_shared_from_this<listener::implementation>
{
  implementation(boost::asio::io_context& aLoop,
                 std::shared_ptr<const listener_limits> aLimits,
                 request_handler aHandler)
    : mAcceptor(aLoop)
    , mPause(aLoop)
    , mShared(std::make_shared<listener_state>())
  {
    mShared->mLimits = std::move(aLimits);
    mShared->mHandler = std::move(aHandler);
  }

  void Accept()
  {
    mAcceptor.async_accept(
      [self = shared_from_this()](auto aError, tcp::socket aSocket) {
        self->Take(aError, std::move(aSocket));
      });
  }

  void Take(const boost::system::error_code& aError, tcp::socket aSocket)
  {
    if (aError == boost::asio::error::operation_aborted ||
        !mAcceptor.is_open()) {
      return;
    }
    if (aError) {
      mPause.expires_after(kAcceptPause);
      mPause.async_wait([self = shared_from_this()](auto aStopped) {
        if (!aStopped) {
          self->Accept();
        }
      });
      return;
    }
    if (mShared->mConnections.size() < mShared->mLimits->mMaximumConnections) {
      std::make_shared<server_connection>(std::move(aSocket), mShared)->Start();
    }
    Accept();
  }

  tcp::acceptor mAcceptor;
  boost::asio::steady_timer mPause;
  std::shared_ptr<listener_state> mShared;
};

listener::listener(boost::asio::io_context& aLoop,
                   std::shared_ptr<const listener_limits> aLimits,
                   request_handler aHandler)
  : mImplementation(std::make_shared<implementation>(aLoop,
                                                     std::move(aLimits),
                                                     std::move(aHandler)))
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
    boost::asio::ip::make_address_v4(aAddress.mAddress, error), aAddress.mPort);
  auto& acceptor = mImplementation->mAcceptor;
  if (!error) {
    acceptor.open(tcp::v4(), error);
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

void
listener::StartDraining()
{
  mImplementation->mShared->mIsDraining = true;
  for (auto* connection : mImplementation->mShared->mConnections) {
    connection->Drain();
  }
}

void
listener::StopAccepting()
{
  boost::system::error_code ignored;
  mImplementation->mAcceptor.close(ignored);
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

void
AnswerOwn(const exchange_ptr& aExchange,
          unsigned aStatus,
          std::optional<milliseconds> aRetryAfter)
{
  response answer;
  answer.mStatus = aStatus;
  if (aRetryAfter) {
    char text[32];
    std::snprintf(text,
                  sizeof text,
                  "%.2f",
                  std::chrono::duration<double>(*aRetryAfter).count());
    answer.mHeaders.Add("Retry-After", text);
  }
  aExchange->Answer(std::move(answer));
}

} // namespace lavender::edge
