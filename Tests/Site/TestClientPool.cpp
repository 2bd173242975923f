#include "Libraries/Edge/RunAfter.h"
#include "Tests/Site/Support/ByteServer.h"

#include <boost/test/unit_test.hpp>

using namespace lavender;
using namespace lavender::tests;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(TestClientPool)

// Guards against a crash, or a request on a closed connection, when the only
// idle connection to a server has expired: closing the connection removed the
// list that was being searched.
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

// Guards against connections that are never reused: a request that has ended
// cancels its call handle, and that cancel closed the connection, which had
// just become idle.
BOOST_AUTO_TEST_CASE(ACancelAfterTheEndLeavesTheConnectionOpen)
{
  test_loop loop;
  auto clients = std::make_shared<edge::client_pool>(loop.mLoop);
  edge::listener listener(loop.mLoop,
                          std::make_shared<edge::listener_limits>(),
                          [](const auto& aExchange) {
                            aExchange->Answer({ 200, {}, "x" });
                          });
  listener.Open({ "127.0.0.1", 0 });
  edge::request request;
  request.mMethod = "GET";
  request.mTarget = "/";
  for (int i = 0; i < 3; ++i) {
    edge::call_handle handle;
    bool isDone = false;
    edge::call_events events;
    events.mOnEnd = [&](edge::call_end) {
      handle.Cancel();
      isDone = true;
    };
    handle = clients->Start(
      { "127.0.0.1", listener.Port() }, request, {}, std::move(events));
    BOOST_TEST(loop.RunUntil([&] { return isDone; }));
  }
  BOOST_TEST(clients->Counts().mOpened == 1u);
  BOOST_TEST(clients->Counts().mReused == 2u);
}

// Guards against a request in flight that is broken by the late cancel of an
// earlier request, which has ended and used the same connection.
BOOST_AUTO_TEST_CASE(ALateCancelSparesTheNextCallOnTheConnection)
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
  request.mMethod = "GET";
  request.mTarget = "/";
  std::vector<edge::call_end> ends;
  const auto start = [&] {
    edge::call_events events;
    events.mOnEnd = [&](edge::call_end aEnd) { ends.push_back(aEnd); };
    return clients->Start(
      { "127.0.0.1", listener.Port() }, request, {}, std::move(events));
  };
  auto first = start();
  BOOST_TEST(loop.RunUntil([&] { return held.size() == 1; }));
  held[0]->Answer({ 200, {}, "x" });
  BOOST_TEST(loop.RunUntil([&] { return ends.size() == 1; }));
  auto second = start();
  BOOST_TEST(loop.RunUntil([&] { return held.size() == 2; }));
  first.Cancel();
  held[1]->Answer({ 200, {}, "x" });
  BOOST_TEST(loop.RunUntil([&] { return ends.size() == 2; }));
  BOOST_TEST((ends.back() == edge::call_end::Complete));
  BOOST_TEST(clients->Counts().mReused == 1u);
}

// Guards against a sound answer with a length that is refused because its head
// arrived by itself.
BOOST_AUTO_TEST_CASE(ABodyMayArriveAfterItsHead)
{
  test_loop loop;
  auto clients = std::make_shared<edge::client_pool>(loop.mLoop);
  byte_channel_ptr channel;
  byte_server server(loop, [&](const auto& aChannel, const auto&) {
    channel = aChannel;
    channel->Write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n");
  });
  std::string body;
  std::optional<edge::call_end> ended;
  edge::call_events events;
  events.mOnHead = [&](const auto&) { channel->Write("body"); };
  events.mOnBody = [&](auto aPiece) { body += aPiece; };
  events.mOnEnd = [&](edge::call_end aEnd) { ended = aEnd; };
  edge::request request;
  request.mMethod = "GET";
  request.mTarget = "/";
  clients->Start(server.Entry("s1").mAddress, request, {}, std::move(events));
  BOOST_TEST(loop.RunUntil([&] { return ended.has_value(); }));
  BOOST_TEST((ended == edge::call_end::Complete));
  BOOST_TEST(body == "body");
}

// Guards against a request whose text from others ends a line: a part of it
// would be a field, or a request, that nobody sent.
BOOST_AUTO_TEST_CASE(ARequestThatHttpDoesntAllowSendsNothing)
{
  test_loop loop;
  auto clients = std::make_shared<edge::client_pool>(loop.mLoop);
  byte_server server(loop, [](const auto& aChannel, const auto&) {
    aChannel->Write(ResponseBytes(200, "", "", "x"));
  });
  const auto end = [&](const edge::request& aRequest) {
    std::optional<edge::call_end> ended;
    edge::call_events events;
    events.mOnEnd = [&](edge::call_end aEnd) { ended = aEnd; };
    clients->Start(
      server.Entry("s1").mAddress, aRequest, {}, std::move(events));
    BOOST_TEST(loop.RunUntil([&] { return ended.has_value(); }));
    return ended.value_or(edge::call_end::TimedOut);
  };
  edge::request sound;
  sound.mMethod = "GET";
  sound.mTarget = "/a?b=\xc3\xa4";
  sound.mHeaders.Add("X-Counts", "5, 5\t\xc3\xa4");
  BOOST_TEST((end(sound) == edge::call_end::Complete));
  const std::string lineBreak = "x\r\nX-Tenant: other";
  for (int i = 0; i < 4; ++i) {
    auto bad = sound;
    if (i == 0) {
      bad.mTarget += lineBreak;
    } else if (i == 1) {
      bad.mMethod += lineBreak;
    } else if (i == 2) {
      bad.mHeaders.Add(lineBreak, "5");
    } else {
      bad.mHeaders.Add("X-Counts", lineBreak);
    }
    BOOST_TEST((end(bad) == edge::call_end::Unsendable));
  }
  BOOST_TEST(server.mRequests == 1);
}

// Guards against a response of the entry's own that holds a field, or a whole
// response, that another party wrote.
BOOST_AUTO_TEST_CASE(AResponseThatHttpDoesntAllowIsAFailureInstead)
{
  test_loop loop;
  auto clients = std::make_shared<edge::client_pool>(loop.mLoop);
  bool isStream = false;
  edge::listener listener(loop.mLoop,
                          std::make_shared<edge::listener_limits>(),
                          [&](const auto& aExchange) {
                            edge::header_list headers;
                            headers.Add("X-Reason", "x\r\n\r\nHTTP/1.1 200 OK");
                            if (isStream) {
                              aExchange->Begin(200, headers);
                              aExchange->Finish();
                            } else {
                              aExchange->Answer({ 200, headers, "x" });
                            }
                          });
  listener.Open({ "127.0.0.1", 0 });
  edge::request request;
  request.mMethod = "GET";
  request.mTarget = "/";
  for (const bool isStreamNow : { false, true }) {
    isStream = isStreamNow;
    const auto result = Call(loop, *clients, listener.Port(), request);
    BOOST_TEST((result.mEnd == edge::call_end::Complete));
    BOOST_TEST(result.mAnswer.mStatus == 500u);
    BOOST_TEST(result.mAnswer.mBody ==
               "HTTP doesn't allow the value of the field X-Reason");
  }
}

// Guards against a call that lasts for as long as the server sends something,
// whether its bytes count as progress or not.
BOOST_AUTO_TEST_CASE(BytesWithoutEndDontKeepACallOpen)
{
  for (const bool isProgress : { true, false }) {
    test_loop loop;
    auto clients = std::make_shared<edge::client_pool>(loop.mLoop);
    byte_server server(loop, [](const auto& aChannel, const auto&) {
      aChannel->Write(ChunkedHead("a1"));
      aChannel->WriteWithoutEnd(ChunkBytes("a"), 10ms);
    });
    edge::request request;
    request.mMethod = "GET";
    request.mTarget = "/";
    edge::call_options options;
    options.mBytesAreProgress = isProgress;
    if (isProgress) {
      options.mTotalTimeout = 200ms;
    } else {
      options.mSilenceTimeout = 200ms;
    }
    std::optional<edge::call_end> end;
    edge::call_events events;
    events.mOnEnd = [&](edge::call_end aEnd) { end = aEnd; };
    clients->Start(
      server.Entry("s1").mAddress, request, options, std::move(events));
    BOOST_TEST(loop.RunUntil([&] { return end.has_value(); }));
    BOOST_TEST((end == edge::call_end::TimedOut));
  }
}

// Guards against a call that ends at its first time limit though bytes came
// since: a connection waits once for many of them.
BOOST_AUTO_TEST_CASE(EachByteMovesTheEndOfTheSilence)
{
  test_loop loop;
  auto clients = std::make_shared<edge::client_pool>(loop.mLoop);
  constexpr int kPieces = 12;
  byte_server server(loop, [&](const auto& aChannel, const auto&) {
    aChannel->Write(ChunkedHead("a1"));
    for (int i = 1; i <= kPieces; ++i) {
      edge::RunAfter(loop.mLoop, 50ms * i, [aChannel, isLast = i == kPieces] {
        aChannel->Write(ChunkBytes("a") + (isLast ? "0\r\n\r\n" : ""));
      });
    }
  });
  edge::request request;
  request.mMethod = "GET";
  request.mTarget = "/";
  edge::call_options options;
  options.mSilenceTimeout = 300ms;
  std::optional<edge::call_end> end;
  edge::call_events events;
  events.mOnEnd = [&](edge::call_end aEnd) { end = aEnd; };
  clients->Start(
    server.Entry("s1").mAddress, request, options, std::move(events));
  BOOST_TEST(loop.RunUntil([&] { return end.has_value(); }));
  BOOST_TEST((end == edge::call_end::Complete));
}

// Guards against a process that ends because a faulty server announced a body
// of any length: memory was reserved for all of it.
BOOST_AUTO_TEST_CASE(AnAnnouncedLengthReservesNoMemory)
{
  for (const auto* length :
       { "1000000000000", "9000000000000000000", "18446744073709551614" }) {
    test_loop loop;
    auto clients = std::make_shared<edge::client_pool>(loop.mLoop);
    byte_server faulty(loop, [&](const auto& aChannel, const auto&) {
      aChannel->WriteAndClose(
        std::string("HTTP/1.1 200 OK\r\nContent-Length: ") + length +
        "\r\n\r\nabc");
    });
    edge::request request;
    request.mMethod = "GET";
    request.mTarget = "/";
    const auto result =
      Call(loop, *clients, faulty.Entry("s1").mAddress.mPort, request);
    BOOST_TEST(result.mIsDone);
    BOOST_TEST((result.mEnd == edge::call_end::Broken));
    BOOST_TEST(faulty.mRequests == 1);
  }
}

BOOST_AUTO_TEST_SUITE_END()
