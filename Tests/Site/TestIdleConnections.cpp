#include "Tests/Site/Support/Loop.h"

#include <boost/test/unit_test.hpp>

using namespace lavender;
using namespace lavender::tests;

namespace {

constexpr std::size_t kConnections = 100;
constexpr std::size_t kLargeMessage = 500 << 10;
/** With 1,600 connections, two for each entry of a large fleet, 6 MB of an
 * instance's 160. */
constexpr std::size_t kMaximumIdleBytes = 4096;

} // namespace

BOOST_AUTO_TEST_SUITE(TestIdleConnections)

// Guards against an entry that outgrows its instance because each connection
// between entries keeps the buffers of the largest message that it carried.
BOOST_AUTO_TEST_CASE(ConnectionsKeepNoMemoryOfLargeMessages)
{
  test_loop loop;
  auto clients = std::make_shared<edge::client_pool>(loop.mLoop);
  std::vector<edge::exchange_ptr> held;
  edge::listener listener(
    loop.mLoop,
    std::make_shared<edge::listener_limits>(),
    [&](const auto& aExchange) { held.push_back(aExchange); });
  listener.Open({ "127.0.0.1", 0 });
  edge::request request;
  request.mMethod = "POST";
  request.mTarget = "/";
  request.mBody = std::string(kLargeMessage, 'x');
  std::size_t complete = 0;
  for (std::size_t i = 0; i < kConnections; ++i) {
    edge::FetchWhole(*clients,
                     loop.mLoop,
                     { "127.0.0.1", listener.Port() },
                     request,
                     {},
                     std::chrono::seconds(20),
                     2 * kLargeMessage,
                     [&](edge::call_end aEnd, const auto& aResponse) {
                       complete += aEnd == edge::call_end::Complete &&
                                   aResponse.mBody.size() == kLargeMessage;
                     });
  }
  // All are answered at once, so that each needs a connection of its own.
  BOOST_TEST(loop.RunUntil([&] { return held.size() == kConnections; }));
  for (const auto& exchange : held) {
    exchange->Answer({ 200, {}, std::string(kLargeMessage, 'y') });
  }
  held.clear();
  BOOST_TEST(loop.RunUntil([&] { return complete == kConnections; }));
  const auto most = kConnections * kMaximumIdleBytes;
  BOOST_TEST(loop.RunUntil([&] {
    return listener.BufferBytes() <= most && clients->IdleBytes() <= most;
  }));
}

BOOST_AUTO_TEST_SUITE_END()
