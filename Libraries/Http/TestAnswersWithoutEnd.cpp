#include "Libraries/Http/Client.h"
#include "Libraries/Http/Server.h"

#include <arpa/inet.h>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <map>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace lavender;
using namespace std::chrono_literals;

namespace {

/** Bytes that wait in the buffers of both ends. */
constexpr std::size_t kKernelBytes = 12 << 20;

/** Answers each request with bytes that don't end until the caller closes. */
class endless_listener
{
public:
  endless_listener(std::string aFirst,
                   const std::string& aRepeated,
                   std::chrono::milliseconds aPause = 0ms)
    : mFirst(std::move(aFirst))
    , mPause(aPause)
    , mSocket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  {
    do {
      mRepeated += aRepeated;
    } while (aPause == 0ms && mRepeated.size() < 65536);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    bind(mSocket, reinterpret_cast<sockaddr*>(&address), sizeof address);
    listen(mSocket, 64);
    socklen_t size = sizeof address;
    getsockname(mSocket, reinterpret_cast<sockaddr*>(&address), &size);
    mPort = ntohs(address.sin_port);
    mThread = std::thread([this] { Accept(); });
  }
  ~endless_listener()
  {
    mIsStopping = true;
    shutdown(mSocket, SHUT_RDWR);
    mThread.join();
    for (auto& thread : mThreads) {
      thread.join();
    }
    close(mSocket);
  }
  endless_listener(const endless_listener&) = delete;
  endless_listener& operator=(const endless_listener&) = delete;

  std::uint16_t Port() const { return mPort; }
  std::size_t BytesTaken() const { return mTaken; }

private:
  void Accept()
  {
    for (int peer = accept(mSocket, nullptr, nullptr); peer >= 0;
         peer = accept(mSocket, nullptr, nullptr)) {
      mThreads.emplace_back([this, peer] { Serve(peer); });
    }
  }

  void Serve(int aPeer)
  {
    // A caller that keeps the connection without reading must not hold the
    // thread for ever.
    const timeval limit{ 5, 0 };
    setsockopt(aPeer, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    char request[4096];
    if (read(aPeer, request, sizeof request) > 0) {
      send(aPeer, mFirst.data(), mFirst.size(), MSG_NOSIGNAL);
      for (ssize_t sent = 1; sent > 0 && !mIsStopping;) {
        sent = send(aPeer, mRepeated.data(), mRepeated.size(), MSG_NOSIGNAL);
        mTaken += static_cast<std::size_t>(std::max<ssize_t>(0, sent));
        std::this_thread::sleep_for(mPause);
      }
    }
    close(aPeer);
  }

  const std::string mFirst;
  const std::chrono::milliseconds mPause;
  std::string mRepeated;
  const int mSocket;
  std::uint16_t mPort = 0;
  std::atomic<std::size_t> mTaken{ 0 };
  std::atomic<bool> mIsStopping{ false };
  std::thread mThread;
  std::vector<std::thread> mThreads;
};

struct endless_answer
{
  std::string mFirst;
  std::string mRepeated;
};

std::map<std::string, endless_answer>
EndlessAnswers()
{
  const std::string plain(1000, 'a');
  const std::string head = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  return {
    { "no HTTP", { "", plain } },
    { "status line", { "HTTP/1.1 200 ", plain } },
    { "name in the head", { head, plain } },
    { "value in the head", { head + "X-Padding: ", plain } },
    { "fields in the head", { head, "X-Padding: " + plain + "\r\n" } },
    { "body with a length",
      { head + "Content-Length: 1000000000000\r\n\r\n", plain } },
    { "body until close", { head + "\r\n", plain } },
    { "body in chunks", { chunked, "3e8\r\n" + plain + "\r\n" } },
    { "chunk size", { chunked, "0" } },
    { "chunk extension", { chunked + "4;x=", plain } },
    { "trailer", { chunked + "0\r\n", "X-Padding: " + plain + "\r\n" } },
  };
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestAnswersWithoutEnd)

// Guards against a call that keeps, or goes on taking until its timeout, what a
// faulty server sends without end.
BOOST_AUTO_TEST_CASE(AnAnswerWithoutEndEndsTheCall)
{
  for (const auto& [name, answer] : EndlessAnswers()) {
    BOOST_TEST_CONTEXT(name)
    {
      endless_listener server(answer.mFirst, answer.mRepeated);
      const auto outcome = http::Call({ "127.0.0.1", server.Port() }, {}, 4s);
      BOOST_TEST((outcome.mState == http::call_state::Unknown));
      BOOST_TEST(!outcome.mLastReason.empty());
      BOOST_TEST(server.BytesTaken() <
                 http::kMaximumResponseBytes + kKernelBytes);
    }
  }
}

// Guards against many answers that each keep their bound and use up the memory
// together.
BOOST_AUTO_TEST_CASE(AllAnswersTogetherAreBounded)
{
  constexpr int kCalls = 8;
  const std::string head =
    "HTTP/1.1 200 OK\r\nContent-Length: 16000000\r\n\r\n";
  endless_listener server(head + std::string(15 << 20, 'a'), "a", 50ms);
  std::atomic<int> overBudget{ 0 };
  std::vector<std::thread> threads;
  for (int i = 0; i < kCalls; ++i) {
    threads.emplace_back([&] {
      const auto outcome = http::Call({ "127.0.0.1", server.Port() }, {}, 3s);
      const bool isOver =
        outcome.mLastReason == "all answers hold too much memory";
      overBudget += isOver ? 1 : 0;
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  // Four of them fit.
  BOOST_TEST(overBudget >= kCalls - 4);
  // What they held is given back.
  http::server sound({}, [](const http::request&) {
    return http::response{ 200, "text/plain", {}, std::string(15 << 20, 'a') };
  });
  BOOST_TEST((http::Call({ "127.0.0.1", sound.Port() }, {}, 10s).mState ==
              http::call_state::Answered));
}

BOOST_AUTO_TEST_SUITE_END()
