#include "Libraries/Http/Client.h"
#include "Libraries/Http/Server.h"

#include <boost/test/unit_test.hpp>
#include <thread>

using namespace lavender;
using namespace std::chrono_literals;

namespace {

http::response
EchoBody(const http::request& aRequest)
{
  http::response echoed;
  echoed.mBody = aRequest.mMethod + " " + aRequest.mPath + " " +
                 aRequest.mQuery + " " + aRequest.mBody;
  return echoed;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestHttpServer)

BOOST_AUTO_TEST_CASE(ServesOnTheChosenPort)
{
  http::server server({}, EchoBody);
  BOOST_REQUIRE(server.Port() != 0);
  auto outcome = http::Call(
    { "127.0.0.1", server.Port() }, { "POST", "/a", "b=1", {}, "hello" }, 5s);
  BOOST_REQUIRE_MESSAGE(outcome.mState == http::call_state::Answered,
                        outcome.mLastReason);
  BOOST_TEST(outcome.mResponse.mBody == "POST /a b=1 hello");
}

BOOST_AUTO_TEST_CASE(RefusesTooLargeABody)
{
  http::server_options options;
  options.mMaximumBodyBytes = 1000;
  http::server server(options, EchoBody);
  auto outcome = http::Call({ "127.0.0.1", server.Port() },
                            { "POST", "/", "", {}, std::string(1001, 'x') },
                            5s);
  BOOST_REQUIRE_MESSAGE(outcome.mState == http::call_state::Answered,
                        outcome.mLastReason);
  BOOST_TEST(outcome.mResponse.mStatus == 413);
}

BOOST_AUTO_TEST_CASE(DistinguishesNotSentFromUnknown)
{
  std::uint16_t port = 0;
  {
    http::server server({}, EchoBody);
    port = server.Port();
  }
  BOOST_TEST((http::Call({ "127.0.0.1", port }, {}, 1s).mState ==
              http::call_state::NotSent));
  http::server slow({}, [](const http::request&) {
    std::this_thread::sleep_for(600ms);
    return http::response{};
  });
  BOOST_TEST((http::Call({ "127.0.0.1", slow.Port() }, {}, 100ms).mState ==
              http::call_state::Unknown));
}

BOOST_AUTO_TEST_SUITE_END()
