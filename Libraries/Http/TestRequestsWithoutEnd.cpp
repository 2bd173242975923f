#include "Libraries/Http/Client.h"
#include "Libraries/Http/Server.h"

#include <arpa/inet.h>
#include <boost/test/unit_test.hpp>
#include <map>
#include <sys/socket.h>
#include <unistd.h>

using namespace lavender;
using namespace std::chrono_literals;

namespace {

/** Most bytes that a caller gets rid of: those that no one has read wait in the
 * buffers of both ends. */
constexpr std::size_t kMaximumTaken = 12 << 20;

/** Sends bytes until the server closes the connection or has taken too many.
 * @return bytes that the server has taken */
std::size_t
SendWithoutEnd(std::uint16_t aPort,
               const std::string& aFirst,
               const std::string& aRepeated)
{
  const int peer = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(aPort);
  connect(peer, reinterpret_cast<sockaddr*>(&address), sizeof address);
  send(peer, aFirst.data(), aFirst.size(), MSG_NOSIGNAL);
  std::string piece;
  while (piece.size() < 65536) {
    piece += aRepeated;
  }
  std::size_t taken = 0;
  for (ssize_t sent = 1; sent > 0 && taken < 2 * kMaximumTaken;) {
    sent = send(peer, piece.data(), piece.size(), MSG_NOSIGNAL);
    taken += static_cast<std::size_t>(std::max<ssize_t>(0, sent));
  }
  close(peer);
  return taken;
}

using endless_requests =
  std::map<std::string, std::pair<const char*, std::string>>;

void
CheckRefused(const endless_requests& aRequests)
{
  for (const auto& [name, request] : aRequests) {
    BOOST_TEST_CONTEXT(name)
    {
      http::server server(
        {}, [](const http::request&) { return http::response{}; });
      BOOST_TEST(SendWithoutEnd(server.Port(), request.first, request.second) <
                 kMaximumTaken);
      BOOST_TEST((http::Call({ "127.0.0.1", server.Port() }, {}, 5s).mState ==
                  http::call_state::Answered));
    }
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestRequestsWithoutEnd)

// Guards against a body that is read for as long as its caller sends.
BOOST_AUTO_TEST_CASE(ACallerWhoseBodyDoesntEndIsRefused)
{
  const std::string plain(1000, 'a');
  CheckRefused(
    { { "length",
        { "POST / HTTP/1.1\r\nContent-Length: 1000000000000\r\n\r\n", plain } },
      { "chunks",
        { "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
          "3e8\r\n" + plain + "\r\n" } },
      { "fields", { "GET / HTTP/1.1\r\n", "X-Padding: " + plain + "\r\n" } } });
}

// Guards against memory that grows for as long as a caller sends one part of a
// head.
BOOST_AUTO_TEST_CASE(ACallerWhoseHeadDoesntEndIsRefused)
{
  const std::string plain(1000, 'a');
  CheckRefused({ { "method", { "", plain } },
                 { "target", { "GET /", plain } },
                 { "query", { "GET /?a=", plain } },
                 { "name", { "GET / HTTP/1.1\r\n", plain } },
                 { "value", { "GET / HTTP/1.1\r\nX-Padding: ", plain } } });
}

BOOST_AUTO_TEST_SUITE_END()
