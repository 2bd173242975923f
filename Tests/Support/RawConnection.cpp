#include "Tests/Support/RawConnection.h"

#include <arpa/inet.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace lavender::test {

raw_connection::raw_connection(std::uint16_t aPort)
  : mSocket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (connect(mSocket,
              reinterpret_cast<const sockaddr*>(&address),
              sizeof address) != 0) {
    close(mSocket);
    throw std::runtime_error("can't connect to the port on loopback");
  }
}

raw_connection::~raw_connection()
{
  close(mSocket);
}

bool
raw_connection::Send(const std::string& aBytes)
{
  for (std::size_t sent = 0; sent < aBytes.size();) {
    const auto step =
      send(mSocket, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (step <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(step);
  }
  return true;
}

void
raw_connection::FinishSending()
{
  shutdown(mSocket, SHUT_WR);
}

std::string
raw_connection::ReceiveAll(std::chrono::milliseconds aIdleTimeout,
                           bool& aHasClosed)
{
  std::string received;
  aHasClosed = false;
  while (true) {
    pollfd waiting{ mSocket, POLLIN, 0 };
    if (poll(&waiting, 1, static_cast<int>(aIdleTimeout.count())) <= 0) {
      return received;
    }
    char buffer[4096];
    const auto size = recv(mSocket, buffer, sizeof buffer, 0);
    if (size <= 0) {
      aHasClosed = true;
      return received;
    }
    received.append(buffer, static_cast<std::size_t>(size));
  }
}

} // namespace lavender::test
