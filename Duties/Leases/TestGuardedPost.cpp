#include "Duties/Leases/GuardedPost.h"

#include <arpa/inet.h>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <map>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace lavender;
using namespace std::chrono_literals;

namespace {

/** Bytes that wait in the buffers of both ends. */
constexpr std::size_t kKernelBytes = 12 << 20;

/** Answers one request with bytes of the test's own. */
class byte_platform
{
public:
  /** @param aRepeated sent again and again until the caller closes; empty to
   * close after aFirst */
  explicit byte_platform(std::string aFirst,
                         std::string aRepeated = {},
                         milliseconds aPause = 0ms)
    : mFirst(std::move(aFirst))
    , mRepeated(std::move(aRepeated))
    , mPause(aPause)
    , mSocket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    bind(mSocket, reinterpret_cast<sockaddr*>(&address), sizeof address);
    listen(mSocket, 1);
    socklen_t size = sizeof address;
    getsockname(mSocket, reinterpret_cast<sockaddr*>(&address), &size);
    mEndpoint.mPort = ntohs(address.sin_port);
    mThread = std::thread([this] { Serve(); });
  }
  ~byte_platform()
  {
    mThread.join();
    close(mSocket);
  }
  byte_platform(const byte_platform&) = delete;
  byte_platform& operator=(const byte_platform&) = delete;

  http::endpoint mEndpoint{ "127.0.0.1", 0 };
  std::atomic<std::size_t> mTaken{ 0 };

private:
  void Serve()
  {
    const int peer = accept(mSocket, nullptr, nullptr);
    char request[4096];
    recv(peer, request, sizeof request, 0);
    send(peer, mFirst.data(), mFirst.size(), MSG_NOSIGNAL);
    for (ssize_t sent = 1; sent > 0 && mTaken < 2 * kKernelBytes;) {
      sent = send(peer, mRepeated.data(), mRepeated.size(), MSG_NOSIGNAL);
      mTaken += static_cast<std::size_t>(std::max<ssize_t>(0, sent));
      std::this_thread::sleep_for(mPause);
    }
    close(peer);
  }

  const std::string mFirst;
  const std::string mRepeated;
  const milliseconds mPause;
  const int mSocket;
  std::thread mThread;
};

http::call_result
PostTo(const byte_platform& aPlatform)
{
  platform::client client;
  client.mEndpoint = aPlatform.mEndpoint;
  client.mTimeout = 1s;
  leases::held_lease lease;
  lease.mExpiresAt = boot_clock::now() + 600ms;
  return leases::PostUnderLease(client, "/usage", json::object{}, lease);
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestGuardedPost)

// Guards against a report whose answer is read for as long as the platform
// sends.
BOOST_AUTO_TEST_CASE(AnAnswerWithoutEndEndsTheCall)
{
  const std::string plain(65536, 'a');
  const std::string head = "HTTP/1.1 200 OK\r\n";
  struct endless_answer
  {
    std::string mFirst;
    std::string mRepeated;
    milliseconds mPause{ 0 };
  };
  const std::map<std::string, endless_answer> answers{
    { "no HTTP", { "", plain } },
    { "value in the head", { head + "X-Padding: ", plain } },
    { "body with a length",
      { head + "Content-Length: 1000000000000\r\n\r\n", plain } },
    { "body until close", { head + "\r\n", plain } },
    { "slow head", { head, "a", 20ms } },
    { "slow body", { head + "Content-Length: 60000\r\n\r\n", "a", 20ms } },
  };
  for (const auto& [name, answer] : answers) {
    BOOST_TEST_CONTEXT(name)
    {
      byte_platform platform(answer.mFirst, answer.mRepeated, answer.mPause);
      const auto outcome = PostTo(platform);
      BOOST_TEST((outcome.mState == http::call_state::Unknown));
      BOOST_TEST(!outcome.mLastReason.empty());
      BOOST_TEST(platform.mTaken < kKernelBytes);
    }
  }
}

// Guards against an order, or a report, that counts as answered by bytes which
// are no answer.
BOOST_AUTO_TEST_CASE(ABrokenAnswerLeavesTheOutcomeUnknown)
{
  const std::string line = "HTTP/1.1 200 OK\r\n";
  const std::string length = "Content-Length: 2\r\n";
  const std::string body = "\r\n{}";
  for (const std::string status :
       { "000", "099", "100", "600", "700", "999", "20", "2000", "+20", "x" }) {
    const byte_platform platform("HTTP/1.1 " + status + " OK\r\n" + length +
                                 body);
    BOOST_TEST((PostTo(platform).mState == http::call_state::Unknown), status);
  }
  for (const auto& head : { length + " folded\r\n",
                            "X Note: 1\r\n" + length,
                            "X\x01Note: 1\r\n" + length,
                            length + "Content-Length: 1\r\n",
                            length + "Transfer-Encoding: chunked\r\n",
                            std::string("Content-Length : 2\r\n"),
                            std::string("Content-Length: +2\r\n"),
                            std::string("Content-Length: 2x\r\n"),
                            std::string("Content-Length: x\r\n"),
                            std::string("Content-Length: 3\r\n"),
                            std::string("Content-Length: 1\r\n"),
                            std::string() }) {
    const byte_platform platform(line + head + body);
    BOOST_TEST((PostTo(platform).mState == http::call_state::Unknown), head);
  }
}

// Guards against a sound answer that is taken for a broken one.
BOOST_AUTO_TEST_CASE(ASoundAnswerIsRead)
{
  for (const std::string head :
       { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n",
         "HTTP/1.1 409 Conflict\r\nX-Empty:\r\ncontent-length: 2\r\n",
         "HTTP/1.0 503 x\r\nContent-Length: 2\r\nContent-Length: 2\r\n" }) {
    const byte_platform platform(head + "\r\n{}");
    const auto outcome = PostTo(platform);
    BOOST_TEST((outcome.mState == http::call_state::Answered), head);
    BOOST_TEST(outcome.mResponse.mStatus == std::stoi(head.substr(9)));
    BOOST_TEST(outcome.mResponse.mBody == "{}");
  }
}

BOOST_AUTO_TEST_SUITE_END()
