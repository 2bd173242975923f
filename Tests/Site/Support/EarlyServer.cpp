#include "Tests/Site/Support/EarlyServer.h"

#include <array>
#include <boost/asio/write.hpp>

namespace lavender::tests {

using boost::asio::ip::tcp;
using boost::system::error_code;

struct early_server::channel
{
  explicit channel(tcp::socket aSocket)
    : mSocket(std::move(aSocket))
  {
  }

  tcp::socket mSocket;
  std::string mHead;
  std::array<char, 1024> mPiece{};
};

namespace {

void
ResetConnection(tcp::socket& aSocket)
{
  error_code ignored;
  aSocket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  aSocket.close(ignored);
}

} // namespace

early_server::early_server(test_loop& aLoop,
                           after_answer aAfter,
                           answer_maker aMakeAnswer)
  : mAfter(aAfter)
  , mMakeAnswer(std::move(aMakeAnswer))
  , mAcceptor(aLoop.mLoop,
              tcp::endpoint(boost::asio::ip::make_address_v4("127.0.0.1"), 0))
{
  Accept();
}

site::backend_server
early_server::Entry(const std::string& aId) const
{
  site::backend_server entry;
  entry.mId = aId;
  entry.mPool = "pool";
  entry.mAddress = { "127.0.0.1", mAcceptor.local_endpoint().port() };
  entry.mAvailabilityZone = "zone";
  entry.mSlots = 4;
  return entry;
}

void
early_server::Accept()
{
  mAcceptor.async_accept([this](error_code aError, tcp::socket aSocket) {
    if (aError) {
      return;
    }
    ReadHead(std::make_shared<channel>(std::move(aSocket)));
    Accept();
  });
}

void
early_server::ReadHead(const std::shared_ptr<channel>& aChannel)
{
  aChannel->mSocket.async_read_some(
    boost::asio::buffer(aChannel->mPiece),
    [this, aChannel](error_code aError, std::size_t aSize) {
      if (aError) {
        return;
      }
      aChannel->mHead.append(aChannel->mPiece.data(), aSize);
      if (aChannel->mHead.find("\r\n\r\n") == std::string::npos) {
        ReadHead(aChannel);
        return;
      }
      Answer(aChannel);
    });
}

void
early_server::Answer(const std::shared_ptr<channel>& aChannel)
{
  ++mRequests;
  const std::string name = "X-Attempt-Id: ";
  const auto& head = aChannel->mHead;
  const auto begin = head.find(name) + name.size();
  const auto id = head.substr(begin, head.find("\r\n", begin) - begin);
  auto& socket = aChannel->mSocket;
  error_code ignored;
  boost::asio::write(socket, boost::asio::buffer(mMakeAnswer(id)), ignored);
  switch (mAfter) {
    case after_answer::Reset:
      ResetConnection(socket);
      return;
    case after_answer::CloseAndReadOn:
      socket.shutdown(boost::asio::socket_base::shutdown_send, ignored);
      ReadRest(aChannel);
      return;
    case after_answer::ReadOn:
      ReadRest(aChannel);
      return;
    case after_answer::Wait:
      mWaiting.push_back(aChannel);
      return;
  }
}

void
early_server::Reset()
{
  for (const auto& waiting : mWaiting) {
    ResetConnection(waiting->mSocket);
  }
  mWaiting.clear();
}

void
early_server::ReadRest(const std::shared_ptr<channel>& aChannel)
{
  aChannel->mSocket.async_read_some(
    boost::asio::buffer(aChannel->mPiece),
    [this, aChannel](error_code aError, std::size_t) {
      if (!aError) {
        ReadRest(aChannel);
      }
    });
}

} // namespace lavender::tests
