#include "Tests/Site/Support/Loop.h"

#include <boost/test/unit_test.hpp>

using namespace lavender;
using namespace lavender::tests;

BOOST_AUTO_TEST_SUITE(TestClientPool)

// An entry ends by itself, or sends a request on a connection that is no more:
// the only idle connection to a server has expired, and closing it took the
// list away that was being searched.
BOOST_AUTO_TEST_CASE(AnExpiredIdleConnectionIsReplaced)
{
  test_loop loop;
  auto clients = std::make_shared<edge::client_pool>(loop.mLoop);
  edge::listener listener(loop.mLoop,
                          std::make_shared<edge::listener_limits>(),
                          [](const auto& aExchange) {
                            edge::response answer{ 200, {}, "x" };
                            // Expires before it can be used again.
                            answer.mHeaders.Add("Keep-Alive", "timeout=0");
                            aExchange->Answer(std::move(answer));
                          });
  listener.Open({ "127.0.0.1", 0 });
  edge::request request;
  request.mMethod = "GET";
  request.mTarget = "/";
  for (int i = 0; i < 5; ++i) {
    const auto result = Call(loop, *clients, listener.Port(), request);
    BOOST_TEST(result.mAnswer.mStatus == 200u);
  }
  BOOST_TEST(clients->Counts().mOpened == 5u);
  BOOST_TEST(clients->Counts().mReused == 0u);
}

BOOST_AUTO_TEST_SUITE_END()
