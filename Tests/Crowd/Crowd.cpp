#include "Tests/Crowd/Crowd.h"

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <cstdio>
#include <cstdlib>

namespace lavender::tests {

using boost::asio::ip::tcp;
using boost::system::error_code;
using namespace std::chrono_literals;

namespace {

constexpr milliseconds kSettleLimit = 60s;

/** Replaces each "%%%" by the client's number, in as many digits. */
std::string
WithNumber(std::string aBytes, int aNumber)
{
  constexpr std::string_view kPlace = "%%%";
  char number[kPlace.size() + 1];
  std::snprintf(number, sizeof number, "%03u", aNumber % 1000U);
  for (auto at = aBytes.find(kPlace); at != std::string::npos;
       at = aBytes.find(kPlace, at)) {
    aBytes.replace(at, kPlace.size(), number);
  }
  return aBytes;
}

} // namespace

class crowd_client : public std::enable_shared_from_this<crowd_client>
{
public:
  crowd_client(boost::asio::io_context& aLoop,
               const crowd_manner& aManner,
               int aNumber)
    : mSocket(aLoop)
    , mManner(aManner)
    , mBytes(WithNumber(aManner.mBytes, aNumber))
  {
  }

  void Connect(unsigned short aPort)
  {
    const tcp::endpoint address(boost::asio::ip::address_v4::loopback(), aPort);
    mSocket.async_connect(address,
                          [self = shared_from_this()](error_code aError) {
                            if (aError) {
                              self->mIsClosed = true;
                              return;
                            }
                            self->Write(self->mBytes);
                            if (self->mManner.mReads) {
                              self->Read();
                            }
                          });
  }

  bool IsSettled() const
  {
    return mIsClosed ||
           (mIsSent && (!mManner.mIsWhole || !mManner.mReads || Status() > 0));
  }

  unsigned Status() const
  {
    constexpr std::string_view kBegin = "HTTP/1.1 ";
    return mReceived.compare(0, kBegin.size(), kBegin) == 0
             ? static_cast<unsigned>(
                 std::atoi(mReceived.c_str() + kBegin.size()))
             : 0;
  }

  void Close()
  {
    error_code ignored;
    mSocket.close(ignored);
  }

private:
  void Write(const std::string& aBytes)
  {
    boost::asio::async_write(
      mSocket,
      boost::asio::buffer(aBytes),
      [self = shared_from_this()](error_code aError, std::size_t) {
        self->HandleWritten(aError);
      });
  }

  void HandleWritten(error_code aError)
  {
    if (aError) {
      mIsClosed = true;
    } else if (!mManner.mRepeated.empty()) {
      Write(mManner.mRepeated);
    } else {
      mIsSent = true;
      if (mManner.mEndsSending) {
        error_code ignored;
        mSocket.shutdown(tcp::socket::shutdown_send, ignored);
      }
    }
  }

  void Read()
  {
    mSocket.async_read_some(
      boost::asio::buffer(mPiece),
      [self = shared_from_this()](error_code aError, std::size_t aSize) {
        if (aError) {
          self->mIsClosed = true;
          return;
        }
        constexpr std::size_t kStatusLine = 64;
        if (self->mReceived.size() < kStatusLine) {
          self->mReceived.append(self->mPiece.data(), aSize);
        }
        self->Read();
      });
  }

  tcp::socket mSocket;
  const crowd_manner mManner;
  const std::string mBytes;
  std::array<char, 1024> mPiece{};
  std::string mReceived;
  bool mIsSent = false;
  bool mIsClosed = false;
};

crowd::crowd(test_loop& aLoop,
             unsigned short aPort,
             int aClients,
             const crowd_manner& aManner)
  : mLoop(aLoop)
{
  for (int i = 0; i < aClients; ++i) {
    mClients.push_back(std::make_shared<crowd_client>(aLoop.mLoop, aManner, i));
    mClients.back()->Connect(aPort);
  }
}

crowd::~crowd()
{
  for (const auto& client : mClients) {
    client->Close();
  }
}

bool
crowd::Settle()
{
  return mLoop.RunUntil(
    [this] {
      return std::all_of(
        mClients.begin(), mClients.end(), [](const auto& aClient) {
          return aClient->IsSettled();
        });
    },
    kSettleLimit);
}

std::map<unsigned, int>
crowd::Statuses() const
{
  std::map<unsigned, int> statuses;
  for (const auto& client : mClients) {
    ++statuses[client->Status()];
  }
  return statuses;
}

} // namespace lavender::tests
