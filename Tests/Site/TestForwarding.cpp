#include "Tests/Site/Support/ByteCaller.h"
#include "Tests/Site/Support/ForwardingSite.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

using namespace lavender;
using namespace lavender::tests;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(TestForwarding)

// A request that isn't idempotent would run twice if the entry sent it to a
// second server after the connection to the first one broke.
BOOST_AUTO_TEST_CASE(ABrokenResponseIsRetriedOnlyWhenIdempotent)
{
  for (const auto retryPolicy :
       { site::retry_policy::AtMostOnce, site::retry_policy::Idempotent }) {
    forwarding_site site(retryPolicy);
    plain_server first(site.mLoop);
    plain_server second(site.mLoop);
    const auto breaks = [](const auto& aExchange) { aExchange->Abort(); };
    first.mServe = second.mServe = breaks;
    site.Add("s1", first);
    site.Add("s2", second);
    const auto result = site.Send();
    const bool isOnce = retryPolicy == site::retry_policy::AtMostOnce;
    BOOST_TEST(first.mRequests + second.mRequests == (isOnce ? 1 : 2));
    BOOST_TEST(result.mAnswer.mStatus == 502u);
    // Billed once, however many attempts were made.
    BOOST_TEST(site.mStarts["customer"] == 1);
  }
}

// When every server is full and says that it didn't run the request, the caller
// is told so immediately, with a Retry-After.
BOOST_AUTO_TEST_CASE(ARequestThatNoServerRanIsRefusedImmediately)
{
  forwarding_site site(site::retry_policy::AtMostOnce);
  plain_server server(site.mLoop);
  server.mServe = [](const auto& aExchange) {
    aExchange->Answer(plain_server::TurnAway(aExchange));
  };
  site.Add("s1", server);
  const auto result = site.Send();
  BOOST_TEST(result.mAnswer.mStatus == 503u);
  BOOST_TEST(result.mAnswer.mHeaders.Find("Retry-After") != nullptr);
  BOOST_TEST(site.mStarts["customer"] == 0);
}

// Guards against a request that leaves the regions of its customer: it is sent
// to no server elsewhere, not even if no other one is left.
BOOST_AUTO_TEST_CASE(ARequestStaysInTheRegionsOfItsCustomer)
{
  forwarding_site site(site::retry_policy::Idempotent);
  plain_server near(site.mLoop);
  plain_server far(site.mLoop);
  for (auto* server : { &near, &far }) {
    server->mServe = [](const auto& aExchange) {
      aExchange->Answer(plain_server::Answer(aExchange, 200));
    };
  }
  site.Add("near", near);
  site.Add("far", far);
  site.mDirectory.mRows.at("near").mServer.mAvailabilityZone = "north-1";
  site.mDirectory.mRows.at("far").mServer.mAvailabilityZone = "south-1";
  site.mDirectory.mRegions = { { "north-1", "north" }, { "south-1", "south" } };
  site.mCustomer->mAllowedRegions = { "north" };
  for (int i = 0; i < 6; ++i) {
    BOOST_TEST(site.Send().mAnswer.mStatus == 200u);
  }
  BOOST_TEST(near.mRequests == 6);
  site.mDirectory.mRows.erase("near");
  site.mRouter.SyncServers(boot_clock::now());
  BOOST_TEST(site.Send().mAnswer.mStatus == 503u);
  BOOST_TEST(far.mRequests == 0);
}

// On a reused connection, a late response to an earlier request could be
// forwarded to the wrong caller.
BOOST_AUTO_TEST_CASE(AResponseToAnotherAttemptIsNeverForwarded)
{
  forwarding_site site(site::retry_policy::AtMostOnce);
  plain_server server(site.mLoop);
  server.mServe = [](const auto& aExchange) {
    edge::response answer{ 200, {}, "not yours" };
    answer.mHeaders.Add("X-Attempt-Id", "another");
    aExchange->Answer(std::move(answer));
  };
  site.Add("s1", server);
  const auto result = site.Send();
  BOOST_TEST(result.mAnswer.mStatus == 502u);
  BOOST_TEST(result.mAnswer.mBody.empty());
}

// Guards against a caller that gets a response of which nobody knows whose it
// is, or a load that is taken from it.
BOOST_AUTO_TEST_CASE(NothingOfAResponseWithoutAnIdIsUsed)
{
  for (const std::string field : { "X-Server-Seal", "X-Not-Executed" }) {
    forwarding_site site(site::retry_policy::AtMostOnce);
    plain_server server(site.mLoop);
    server.mServe = [&](const auto& aExchange) {
      edge::response answer{ 200, {}, "not yours" };
      answer.mHeaders.Add(field, "1");
      answer.mHeaders.Add("X-Server-Load", "3,0,4");
      aExchange->Answer(std::move(answer));
    };
    site.Add("s1", server);
    const auto result = site.Send();
    BOOST_TEST(result.mAnswer.mStatus == 502u);
    BOOST_TEST(result.mAnswer.mBody.empty());
    BOOST_TEST(!site.mLoads.Find("s1", boot_clock::now()));
    BOOST_TEST(site.mStarts["customer"] == 1);
  }
}

// Guards against a folded line of a request that reaches a server as a field of
// its own, or in more than one line.
BOOST_AUTO_TEST_CASE(AFoldedLineOfARequestStaysPartOfItsField)
{
  forwarding_site site(site::retry_policy::AtMostOnce);
  plain_server server(site.mLoop);
  edge::header_list fields;
  server.mServe = [&](const auto& aExchange) {
    fields = aExchange->mRequest.mHeaders;
    aExchange->Answer(plain_server::Answer(aExchange, 200));
  };
  site.Add("s1", server);
  const auto caller = byte_caller::Start(
    site.mLoop,
    site.mListener.Port(),
    "POST /x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a1\r\n"
    "X-Deadline-Ms: 3000\r\nX-Note: a\r\n X-Tenant: other\r\n"
    "\tb\r\nContent-Length: 0\r\n\r\n",
    "");
  BOOST_TEST(site.mLoop.RunUntil([&] {
    return caller->mReceived.find("whole answer") != std::string::npos;
  }));
  BOOST_TEST(fields.ValueOr("X-Note", "") == "a X-Tenant: other b");
  BOOST_TEST(fields.ValueOr("X-Tenant", "") == "customer");
}

// Guards against memory that grows with a response that says that nothing ran
// and whose body has no end.
BOOST_AUTO_TEST_CASE(ABodyWithoutEndOfARefusalIsNeitherKeptNorAwaited)
{
  for (const auto retryPolicy :
       { site::retry_policy::AtMostOnce, site::retry_policy::Idempotent }) {
    forwarding_site site(retryPolicy);
    byte_server faulty(
      site.mLoop, [](const auto& aChannel, const auto& aRequest) {
        aChannel->Write("HTTP/1.1 503 x\r\nX-Attempt-Id: " + IdOf(aRequest) +
                        "\r\nX-Not-Executed: 1\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n");
        aChannel->WriteWithoutEnd(ChunkBytes(std::string(1000, 'a')));
      });
    site.Add("s1", faulty);
    const auto result = site.Send();
    const bool isOnce = retryPolicy == site::retry_policy::AtMostOnce;
    BOOST_TEST(result.mAnswer.mStatus == 502u);
    BOOST_TEST(faulty.mRequests == 1);
    BOOST_TEST(faulty.mBytesTaken < 64u << 20);
    BOOST_TEST(site.mStarts["customer"] == 1);
    plain_server sound(site.mLoop);
    site.Add("s2", sound);
    BOOST_TEST((isOnce || site.Send().mAnswer.mStatus == 200u));
  }
}

// Guards against a success with an empty body, framed as whole, from a server
// that stopped in the middle of its answer's head.
BOOST_AUTO_TEST_CASE(ACutHeadIsNoAnswer)
{
  for (const std::size_t cut : { 0, 1, 2 }) {
    for (const bool isStream : { false, true }) {
      for (const auto retryPolicy :
           { site::retry_policy::AtMostOnce, site::retry_policy::Idempotent }) {
        forwarding_site site(retryPolicy);
        site.mRoute->mIsStream = isStream;
        const auto cutOff = [&](const auto& aChannel, const auto& aRequest) {
          aChannel->WriteAndClose(CutHeads(IdOf(aRequest))[cut]);
        };
        byte_server first(site.mLoop, cutOff);
        byte_server second(site.mLoop, cutOff);
        site.Add("s1", first);
        site.Add("s2", second);
        const auto result = site.Send();
        BOOST_TEST(result.mAnswer.mStatus == 502u);
        BOOST_TEST(!result.mAnswer.mHeaders.Find("X-Server-Seal"));
        const bool isOnce = retryPolicy == site::retry_policy::AtMostOnce;
        BOOST_TEST(first.mRequests + second.mRequests == (isOnce ? 1 : 2));
      }
    }
  }
}

// Guards against a stream that its caller takes for whole though its server
// ended inside an event: the response had no length, and its connection ended
// without an error.
BOOST_AUTO_TEST_CASE(AStreamWithoutALengthThatEndsInsideAnEventIsCut)
{
  const auto whole = EventBytes("a1", 0, 2);
  for (const auto& [body, isWhole] : { std::pair{ whole, true },
                                       { whole + "i", false },
                                       { whole + "id: 3\ndata: x\n", false },
                                       { whole + "id: 3\r\n\r\n", true },
                                       { std::string(), true } }) {
    forwarding_site site(site::retry_policy::AtMostOnce);
    site.mRoute->mIsStream = true;
    byte_server server(
      site.mLoop, [&, bytes = body](const auto& aChannel, const auto& aCall) {
        aChannel->WriteAndClose(
          "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + IdOf(aCall) +
          "\r\nContent-Type: text/event-stream\r\n\r\n" + bytes);
      });
    site.Add("s1", server);
    const auto result = site.Send();
    BOOST_TEST(result.mAnswer.mStatus == 200u);
    BOOST_TEST((result.mEnd == edge::call_end::Complete) == isWhole, body);
    BOOST_TEST(server.mRequests == 1);
  }
}

// Guards against memory that grows with a stream whose caller reads slowly or
// not at all, and against a stream that stops for ever once it was slowed down.
BOOST_AUTO_TEST_CASE(AStreamWaitsForItsCallerAndIsWhole)
{
  forwarding_site site(site::retry_policy::AtMostOnce);
  site.mRoute->mIsStream = true;
  const std::string body(32 << 20, 'a');
  byte_server server(
    site.mLoop, [&](const auto& aChannel, const auto& aRequest) {
      aChannel->Write(ResponseBytes(200, IdOf(aRequest), "", body));
    });
  site.Add("s1", server);
  boost::asio::ip::tcp::socket caller(site.mLoop.mLoop);
  caller.open(boost::asio::ip::tcp::v4());
  caller.connect(
    { boost::asio::ip::make_address_v4("127.0.0.1"), site.mListener.Port() });
  boost::asio::write(caller,
                     boost::asio::buffer(std::string(
                       "POST /x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a1\r\n"
                       "X-Deadline-Ms: 20000\r\nConnection: close\r\n"
                       "Content-Length: 0\r\n\r\n")));
  std::size_t mostHeld = 0;
  site.mLoop.RunUntil(
    [&] {
      mostHeld = std::max(mostHeld, site.mListener.HeldBytes());
      return false;
    },
    400ms);
  BOOST_TEST(server.mRequests == 1);
  BOOST_TEST(mostHeld < 2u << 20);
  std::string received;
  bool isOver = false;
  boost::asio::async_read(caller,
                          boost::asio::dynamic_buffer(received),
                          [&](auto, auto) { isOver = true; });
  BOOST_TEST(site.mLoop.RunUntil([&] { return isOver; }));
  BOOST_TEST(std::count(received.begin(), received.end(), 'a') >=
             static_cast<std::ptrdiff_t>(body.size()));
  BOOST_TEST((received.substr(received.size() - 7) == "\r\n0\r\n\r\n"));
}

// Servers would go on working for callers that have left. The server's
// connection must be closed when the caller's connection is.
BOOST_AUTO_TEST_CASE(TheServerConnectionIsClosedWithTheCallers)
{
  forwarding_site site(site::retry_policy::AtMostOnce);
  plain_server server(site.mLoop);
  server.mServe = [](const auto&) {};
  site.Add("s1", server);
  auto call = site.mClients->Start(
    { "127.0.0.1", site.mListener.Port() }, site.Request(), {}, {});
  BOOST_TEST(site.mLoop.RunUntil([&] { return server.mRequests == 1; }));
  call.Cancel();
  BOOST_TEST(site.mLoop.RunUntil([&] { return server.mCallersLeft == 1; }));
}

// When a server stops responding to an idempotent request, the request must be
// sent to the other server well before the caller's deadline.
BOOST_AUTO_TEST_CASE(AnUnresponsiveServerDoesntHoldARequestToItsDeadline)
{
  forwarding_site site(site::retry_policy::Idempotent);
  plain_server dark(site.mLoop);
  plain_server sound(site.mLoop);
  dark.mServe = [](const auto&) {};
  sound.mServe = [](const auto& aExchange) {
    auto answer = plain_server::Answer(aExchange, 200);
    // With a connection kept open to this server, the other one would get no
    // request.
    answer.mHeaders.Add("Connection", "close");
    aExchange->Answer(std::move(answer));
  };
  site.Add("s1", dark);
  site.Add("s2", sound);
  for (int i = 0; i < 6; ++i) {
    const auto result = site.Send();
    BOOST_TEST(result.mAnswer.mStatus == 200u);
    BOOST_TEST(result.mAnswer.mBody == "whole answer");
  }
  BOOST_TEST(dark.mRequests > 0);
}

// Guards against an idempotent request that is held to its deadline by a server
// that stops in the middle of its answer, beside another server.
BOOST_AUTO_TEST_CASE(AServerThatStopsInItsBodyDoesntHoldARequestToItsDeadline)
{
  forwarding_site site(site::retry_policy::Idempotent);
  byte_server stops(site.mLoop, [](const auto& aChannel, const auto& aRequest) {
    const auto whole = ResponseBytes(200, IdOf(aRequest), "", "whole answer");
    aChannel->Write(whole.substr(0, whole.size() - 6));
  });
  plain_server sound(site.mLoop);
  sound.mServe = [](const auto& aExchange) {
    auto answer = plain_server::Answer(aExchange, 200);
    answer.mHeaders.Add("Connection", "close");
    aExchange->Answer(std::move(answer));
  };
  site.Add("s1", stops);
  site.Add("s2", sound);
  for (int i = 0; i < 6; ++i) {
    const auto result = site.Send();
    BOOST_TEST(result.mAnswer.mStatus == 200u);
    BOOST_TEST(result.mAnswer.mBody == "whole answer");
  }
  BOOST_TEST(stops.mRequests > 0);
}

// Guards against callers' requests sent to a server by an old load of it, and
// against a server that tells what can't be true.
BOOST_AUTO_TEST_CASE(TheLoadThatAResponseTellsIsRecorded)
{
  forwarding_site site({});
  plain_server server(site.mLoop);
  site.Add("s1", server);
  std::string load = "3,2,4,250";
  server.mServe = [&](const edge::exchange_ptr& aExchange) {
    auto answer = plain_server::Answer(aExchange, 200);
    answer.mHeaders.Add("X-Server-Load", load);
    aExchange->Answer(std::move(answer));
  };
  const auto requests = [&] {
    BOOST_TEST(site.Send().mAnswer.mStatus == 200u);
    const auto* known = site.mLoads.Find("s1", boot_clock::now());
    return known ? known->mRequests : -1;
  };
  BOOST_TEST(requests() == 5);
  BOOST_TEST(site.mLoads.SlowdownOf("s1", boot_clock::now()) == 2.5);
  load = "4000,0,4";
  BOOST_TEST(requests() == 5);
  BOOST_TEST(site.mMetrics.Counter("lavender_server_load_ignored_total",
                                   { { "figure", "running" } }) == 1u);
  load = "1,0,4";
  BOOST_TEST(requests() == 1);
}

BOOST_AUTO_TEST_SUITE_END()
