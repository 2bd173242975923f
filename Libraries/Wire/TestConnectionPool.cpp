#include "Libraries/Wire/ConnectionPool.h"
#include "Libraries/Wire/Generated/agent_service.h"
#include "Libraries/Wire/WireServer.h"

#include <arpa/inet.h>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace lavender;
using namespace std::chrono_literals;

namespace {

using pool = wire::connection_pool<wire::agent_serviceClient>;
using reply_result = wire::wire_result<wire::dispatch_reply>;

/** Responds late to a request with id "slow", and with another request's echo
 * to one with id "mismatched". */
class slow_service : public wire::agent_serviceNull
{
public:
  void Await(wire::dispatch_reply& aReply,
             const std::string& aId,
             const std::string&,
             const std::int32_t) override
  {
    ++mCalls;
    if (aId == "slow") {
      std::this_thread::sleep_for(300ms);
    }
    aReply.echo = aId == "mismatched" ? "another" : aId;
    aReply.reason = "response to " + aReply.echo;
  }
  std::atomic<int> mCalls{ 0 };
};

/** Answers one call with bytes that don't end until the caller closes, or for
 * ten seconds. */
class endless_peer
{
public:
  endless_peer(std::string aFirst, milliseconds aPause)
    : mFirst(std::move(aFirst))
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
    mPort = ntohs(address.sin_port);
    mThread = std::thread([this] { Serve(); });
  }
  ~endless_peer()
  {
    mThread.join();
    close(mSocket);
  }
  endless_peer(const endless_peer&) = delete;
  endless_peer& operator=(const endless_peer&) = delete;

  std::uint16_t Port() const { return mPort; }
  /** Whether the caller took bytes for the whole time. */
  bool HasGivenUp() const { return mHasGivenUp; }

private:
  void Serve()
  {
    const int peer = accept(mSocket, nullptr, nullptr);
    send(peer, mFirst.data(), mFirst.size(), MSG_NOSIGNAL);
    const auto end = boot_clock::now() + 10s;
    const std::string piece(mPause > 0ms ? 1 : 65536, 'a');
    while (send(peer, piece.data(), piece.size(), MSG_NOSIGNAL) > 0) {
      if (boot_clock::now() > end) {
        mHasGivenUp = true;
        break;
      }
      std::this_thread::sleep_for(mPause);
    }
    close(peer);
  }

  const std::string mFirst;
  const milliseconds mPause;
  const int mSocket;
  std::uint16_t mPort = 0;
  std::atomic<bool> mHasGivenUp{ false };
  std::thread mThread;
};

struct pool_fixture
{
  std::shared_ptr<slow_service> mService = std::make_shared<slow_service>();
  std::unique_ptr<wire::wire_server> mServer;
  std::unique_ptr<pool> mPool;

  pool_fixture() { Start(0); }

  void Start(std::uint16_t aPort)
  {
    mServer = std::make_unique<wire::wire_server>(
      "127.0.0.1",
      aPort,
      std::make_shared<wire::agent_serviceProcessor>(mService));
    if (!mPool) {
      mPool = std::make_unique<pool>(
        http::endpoint{ "127.0.0.1", mServer->Port() }, 1000ms);
    }
  }

  reply_result Call(const std::string& aId, std::chrono::milliseconds aTimeout)
  {
    return mPool->Run<wire::dispatch_reply>(
      aTimeout, aId, [&](auto& aClient, auto& aReply) {
        aClient.Await(aReply, aId, "", 0);
      });
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(TestConnectionPool)

// Guards against a caller receiving the response to an earlier call: if a
// connection is reused after a timeout, the late response is read first.
BOOST_FIXTURE_TEST_CASE(LateResponseIsNotReturnedToTheNextCall, pool_fixture)
{
  BOOST_TEST((Call("slow", 50ms).mState == wire::wire_state::Unknown));
  for (int i = 0; i < 10; ++i) {
    const auto id = "next " + std::to_string(i);
    const auto next = Call(id, 2000ms);
    BOOST_TEST((next.mState == wire::wire_state::Answered));
    BOOST_TEST(next.mReply.reason == "response to " + id);
    std::this_thread::sleep_for(50ms);
  }
  BOOST_TEST(mService->mCalls == 11);
}

// A response whose echo names another request is rejected.
BOOST_FIXTURE_TEST_CASE(MismatchedEchoIsRejected, pool_fixture)
{
  BOOST_TEST((Call("mismatched", 2000ms).mState == wire::wire_state::Unknown));
  BOOST_TEST((Call("next", 2000ms).mState == wire::wire_state::Answered));
}

// A restarted process has closed its connections. The next call must not fail
// on one of them, nor have an unknown outcome.
BOOST_FIXTURE_TEST_CASE(ClosedConnectionIsNotReused, pool_fixture)
{
  BOOST_TEST((Call("first", 2000ms).mState == wire::wire_state::Answered));
  const auto port = mServer->Port();
  mServer.reset();
  BOOST_TEST((Call("down", 2000ms).mState == wire::wire_state::Refused));
  Start(port);
  BOOST_TEST((Call("again", 2000ms).mState == wire::wire_state::Answered));
  BOOST_TEST(mService->mCalls == 2);
}

// Guards against a thread that a faulty peer holds for ever, and memory that it
// fills, with a response that has no end.
BOOST_AUTO_TEST_CASE(AnAnswerWithoutEndEndsTheCall)
{
  const std::string hugeFrame("\x7f\xff\xff\xff", 4);
  const std::string largeFrame("\x00\xf0\x00\x00", 4);
  for (const auto& [first, pause] :
       { std::pair{ hugeFrame, 0ms }, std::pair{ largeFrame, 20ms } }) {
    endless_peer peer(first, pause);
    pool calls({ "127.0.0.1", peer.Port() }, 1000ms);
    const auto result = calls.Run<wire::dispatch_reply>(
      400ms, "id", [&](auto& aClient, auto& aReply) {
        aClient.Await(aReply, "id", "", 0);
      });
    BOOST_TEST((result.mState == wire::wire_state::Unknown));
    BOOST_TEST(!result.mLastReason.empty());
    BOOST_TEST(!peer.HasGivenUp());
  }
}

// Guards against threads and memory that a peer holds for ever with a request
// that it begins and doesn't end; a connection without a request stays open.
BOOST_AUTO_TEST_CASE(ARequestWithoutEndEndsItsConnection)
{
  const auto service = std::make_shared<slow_service>();
  wire::wire_server server(
    "127.0.0.1",
    0,
    std::make_shared<wire::agent_serviceProcessor>(service),
    300ms);
  pool calls({ "127.0.0.1", server.Port() }, 1000ms);
  const auto call = [&](const std::string& aId) {
    return calls
      .Run<wire::dispatch_reply>(
        2000ms,
        aId,
        [&](auto& aClient, auto& aReply) { aClient.Await(aReply, aId, "", 0); })
      .mState;
  };
  BOOST_TEST((call("first") == wire::wire_state::Answered));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(server.Port());
  const int peer = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  BOOST_REQUIRE(
    connect(peer, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
  const auto end = boot_clock::now() + 10s;
  std::string piece("\x00\xf0\x00\x00", 4);
  while (send(peer, piece.data(), piece.size(), MSG_NOSIGNAL) > 0 &&
         boot_clock::now() < end) {
    piece = "a";
    std::this_thread::sleep_for(20ms);
  }
  close(peer);
  BOOST_TEST((boot_clock::now() < end));
  BOOST_TEST((call("after an idle time") == wire::wire_state::Answered));
  BOOST_TEST(service->mCalls == 2);
}

BOOST_AUTO_TEST_SUITE_END()
