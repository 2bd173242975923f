#include "Tests/Support/DelayingRelay.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace lavender::test {
namespace {

using namespace std::chrono_literals;

constexpr int kPollMilliseconds = 20;

sockaddr_in
Loopback(std::uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(aPort);
  return address;
}

} // namespace

delaying_relay::delaying_relay(std::uint16_t aTarget)
  : mTarget(aTarget)
  , mListener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
  auto address = Loopback(0);
  auto* plain = reinterpret_cast<sockaddr*>(&address);
  socklen_t length = sizeof(address);
  if (bind(mListener, plain, length) != 0 || listen(mListener, 128) != 0 ||
      getsockname(mListener, plain, &length) != 0) {
    throw std::runtime_error("delaying relay can't listen on a loopback port");
  }
  mPort = ntohs(address.sin_port);
  mThread = std::thread([this] { Accept(); });
}

delaying_relay::~delaying_relay()
{
  mIsStopping = true;
  mThread.join();
  for (auto& connection : mConnections) {
    connection.mThread.join();
  }
  close(mListener);
}

void
delaying_relay::Delay(const std::string& aStart,
                      std::chrono::milliseconds aDelay)
{
  std::lock_guard lock(mMutex);
  mDelayStart = aStart;
  mDelay = aDelay;
}

std::chrono::milliseconds
delaying_relay::DelayFor(const std::string& aStart)
{
  std::lock_guard lock(mMutex);
  return aStart.rfind(mDelayStart, 0) == 0 ? mDelay : 0ms;
}

void
delaying_relay::Accept()
{
  while (!mIsStopping) {
    pollfd waiting{ mListener, POLLIN, 0 };
    if (poll(&waiting, 1, kPollMilliseconds) <= 0) {
      continue;
    }
    mConnections.emplace_back();
    auto& made = mConnections.back();
    made.mClient = accept4(mListener, nullptr, nullptr, SOCK_CLOEXEC);
    made.mThread = std::thread([this, &made] { Run(made); });
  }
}

void
delaying_relay::Run(connection& aConnection)
{
  aConnection.mServer = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const auto address = Loopback(mTarget);
  const auto cuts = mCuts.load();
  bool isOpen = connect(aConnection.mServer,
                        reinterpret_cast<const sockaddr*>(&address),
                        sizeof(address)) == 0;
  std::string start;
  std::string answer = "-";
  while (isOpen && !mIsStopping && mCuts == cuts) {
    pollfd waiting[2] = { { aConnection.mClient, POLLIN, 0 },
                          { aConnection.mServer, POLLIN, 0 } };
    if (mIsStalled) {
      std::this_thread::sleep_for(5ms);
      continue;
    }
    if (poll(waiting, 2, kPollMilliseconds) <= 0) {
      continue;
    }
    if (waiting[0].revents != 0) {
      isOpen = Forward(aConnection.mClient, aConnection.mServer, start);
    }
    if (isOpen && waiting[1].revents != 0) {
      isOpen = Forward(aConnection.mServer, aConnection.mClient, answer);
    }
  }
  close(aConnection.mClient);
  close(aConnection.mServer);
}

std::string
delaying_relay::ForwardedBytes()
{
  std::lock_guard lock(mMutex);
  return mForwarded;
}

bool
delaying_relay::Forward(int aFrom, int aTo, std::string& aStart)
{
  char buffer[16384];
  const auto got = read(aFrom, buffer, sizeof(buffer));
  if (got <= 0) {
    return false;
  }
  {
    std::lock_guard lock(mMutex);
    mForwarded.append(buffer, static_cast<std::size_t>(got));
  }
  if (aStart.empty()) {
    aStart.assign(buffer, std::min<std::size_t>(64, got));
  }
  if (const auto delay = DelayFor(aStart); delay > 0ms) {
    ++mDelayed;
    std::this_thread::sleep_for(delay);
  }
  for (ssize_t sent = 0; sent < got;) {
    const auto part = send(
      aTo, buffer + sent, static_cast<std::size_t>(got - sent), MSG_NOSIGNAL);
    if (part <= 0) {
      return false;
    }
    sent += part;
  }
  return true;
}

} // namespace lavender::test
