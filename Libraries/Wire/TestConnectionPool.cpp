#include "Libraries/Wire/ConnectionPool.h"
#include "Libraries/Wire/Generated/agent_service.h"
#include "Libraries/Wire/WireServer.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <thread>

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

BOOST_AUTO_TEST_SUITE_END()
