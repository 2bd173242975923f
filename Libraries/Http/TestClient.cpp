#include "Libraries/Http/Client.h"
#include "Libraries/Http/Server.h"

#include <arpa/inet.h>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace lavender;
using namespace std::chrono_literals;

namespace {

/** Reads each request on a new connection, then closes it without responding.
 */
class closing_listener
{
public:
  closing_listener()
    : mSocket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    bind(mSocket, reinterpret_cast<sockaddr*>(&address), sizeof address);
    listen(mSocket, 8);
    socklen_t size = sizeof address;
    getsockname(mSocket, reinterpret_cast<sockaddr*>(&address), &size);
    mPort = ntohs(address.sin_port);
    mThread = std::thread([this] { Serve(); });
  }
  ~closing_listener()
  {
    shutdown(mSocket, SHUT_RDWR);
    mThread.join();
    close(mSocket);
  }
  closing_listener(const closing_listener&) = delete;
  closing_listener& operator=(const closing_listener&) = delete;

  std::uint16_t Port() const { return mPort; }
  int Requests() const { return mRequests; }

private:
  void Serve()
  {
    for (int peer = accept(mSocket, nullptr, nullptr); peer >= 0;
         peer = accept(mSocket, nullptr, nullptr)) {
      char bytes[4096];
      if (read(peer, bytes, sizeof bytes) > 0) {
        ++mRequests;
      }
      close(peer);
    }
  }

  const int mSocket;
  std::uint16_t mPort = 0;
  std::atomic<int> mRequests{ 0 };
  std::thread mThread;
};

/** Responds to one request with a byte every 50 ms. */
class dripping_listener
{
public:
  static constexpr int kAllBytes = 200;

  dripping_listener()
    : mSocket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    bind(mSocket, reinterpret_cast<sockaddr*>(&address), sizeof address);
    listen(mSocket, 1);
    socklen_t size = sizeof address;
    getsockname(mSocket, reinterpret_cast<sockaddr*>(&address), &size);
    mPort = ntohs(address.sin_port);
    mThread = std::thread([this] { Drip(); });
  }
  ~dripping_listener()
  {
    mIsStopping = true;
    mThread.join();
    close(mSocket);
  }
  dripping_listener(const dripping_listener&) = delete;
  dripping_listener& operator=(const dripping_listener&) = delete;

  std::uint16_t Port() const { return mPort; }
  int BytesSent() const { return mSent; }

private:
  void Drip()
  {
    const int peer = accept(mSocket, nullptr, nullptr);
    std::string rawResponse = "HTTP/1.1 200 OK\r\nContent-Length: 150\r\n\r\n";
    rawResponse.resize(kAllBytes, 'x');
    for (const char byte : rawResponse) {
      if (mIsStopping || send(peer, &byte, 1, MSG_NOSIGNAL) != 1) {
        break;
      }
      ++mSent;
      std::this_thread::sleep_for(50ms);
    }
    close(peer);
  }

  const int mSocket;
  std::uint16_t mPort = 0;
  std::atomic<int> mSent{ 0 };
  std::atomic<bool> mIsStopping{ false };
  std::thread mThread;
};

} // namespace

BOOST_AUTO_TEST_SUITE(TestClient)

// Guards against a request being run twice. The server reads the request and
// crashes before responding; a client that retries automatically sends the same
// request again on a new connection.
BOOST_AUTO_TEST_CASE(SendsOnceWhenTheServerClosesBeforeItsAnswer)
{
  closing_listener server;
  const auto outcome =
    http::Call({ "127.0.0.1", server.Port() },
               { "POST", "/book", "", {}, "{\"receiver\":\"R8\"}" },
               2000ms);
  BOOST_TEST(server.Requests() == 1);
  BOOST_TEST((outcome.mState == http::call_state::Unknown));
}

// When no process listens at the address, nothing can have been sent, and the
// caller is told that the request wasn't run.
BOOST_AUTO_TEST_CASE(ReportsNotSentWhenNoProcessListens)
{
  std::uint16_t port = 0;
  {
    closing_listener gone;
    port = gone.Port();
  }
  const auto outcome = http::Call(
    { "127.0.0.1", port }, { "POST", "/book", "", {}, "{}" }, 2000ms);
  BOOST_TEST((outcome.mState == http::call_state::NotSent));
}

// A server sends its response byte by byte. A timeout that restarts with each
// byte would hold the calling thread indefinitely.
BOOST_AUTO_TEST_CASE(ADrippingAnswerEndsByTheTimeout)
{
  dripping_listener server;
  const auto outcome = http::Call({ "127.0.0.1", server.Port() }, {}, 600ms);
  BOOST_TEST(server.BytesSent() > 2);
  BOOST_TEST((outcome.mState == http::call_state::Unknown));
  BOOST_TEST(server.BytesSent() < dripping_listener::kAllBytes);
}

BOOST_AUTO_TEST_CASE(ReceivesALongResponseCompletely)
{
  std::string body(3 << 20, 'a');
  for (std::size_t i = 0; i < body.size(); i += 7) {
    body[i] = static_cast<char>('a' + i % 26);
  }
  http::server server({}, [&](const http::request&) {
    return http::response{ 200, "text/plain", {}, body };
  });
  const auto outcome = http::Call({ "127.0.0.1", server.Port() }, {}, 10s);
  BOOST_REQUIRE((outcome.mState == http::call_state::Answered));
  BOOST_TEST((outcome.mResponse.mBody == body));
}

BOOST_AUTO_TEST_SUITE_END()
