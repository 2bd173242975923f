#include "Tests/Site/Support/ByteCaller.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>

using namespace lavender;
using namespace lavender::tests;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kMaximumBody = 1 << 20;
/** Most bytes that a faulty caller gets rid of. Those that no one has read wait
 * in the buffers of both ends, and a refused caller is read on for a while. */
constexpr std::size_t kMaximumTaken = 24 << 20;
/** Most bytes that the listener holds for one connection. */
constexpr std::size_t kMaximumHeld = 512 << 10;

const std::string kPlain(1000, 'a');
const std::string kChunkedHead =
  "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";

struct endless_request
{
  std::string mFirst;
  std::string mRepeated;
};

/** Requests that don't end, by what doesn't end. */
std::map<std::string, endless_request>
EndlessRequests()
{
  return {
    { "method", { "", kPlain } },
    { "target", { "GET /", kPlain } },
    { "value in the head", { "GET / HTTP/1.1\r\nX-Padding: ", kPlain } },
    { "fields in the head",
      { "GET / HTTP/1.1\r\n", "X-Padding: " + kPlain + "\r\n" } },
    { "body with a length",
      { "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: "
        "1000000000000\r\n\r\n",
        kPlain } },
    { "body in chunks", { kChunkedHead, "3e8\r\n" + kPlain + "\r\n" } },
    { "chunk size", { kChunkedHead, "0" } },
    { "chunk extension", { kChunkedHead + "4;x=", kPlain } },
    { "trailer", { kChunkedHead + "0\r\n", "X-Padding: " + kPlain + "\r\n" } },
    { "value in the trailer", { kChunkedHead + "0\r\nX-Padding: ", kPlain } },
  };
}

/** A listener that answers each request with "sound". */
struct listening_site
{
  listening_site()
  {
    mLimits->mMaximumBodyBytes = kMaximumBody;
    mListener.Open({ "127.0.0.1", 0 });
  }

  bool ServesOthers()
  {
    edge::request request;
    request.mMethod = "GET";
    request.mTarget = "/sound";
    return Call(mLoop, *mClients, mListener.Port(), request).mAnswer.mBody ==
           "sound";
  }

  test_loop mLoop;
  std::shared_ptr<edge::client_pool> mClients =
    std::make_shared<edge::client_pool>(mLoop.mLoop);
  std::shared_ptr<edge::listener_limits> mLimits =
    std::make_shared<edge::listener_limits>();
  edge::listener mListener{ mLoop.mLoop,
                            mLimits,
                            [this](const auto& aExchange) {
                              if (aExchange->mRequest.mTarget == "/held") {
                                mHeld.push_back(aExchange);
                                return;
                              }
                              aExchange->Answer({ 200, {}, "sound" });
                            } };
  std::vector<edge::exchange_ptr> mHeld;
};

} // namespace

BOOST_AUTO_TEST_SUITE(TestRequestsWithoutEnd)

// Guards against memory that grows for as long as a caller, or another entry,
// goes on with a request that has no end.
BOOST_AUTO_TEST_CASE(ACallerWhoseRequestDoesntEndIsRefused)
{
  for (const auto& [name, request] : EndlessRequests()) {
    BOOST_TEST_CONTEXT(name)
    {
      listening_site site;
      const auto caller = byte_caller::Start(
        site.mLoop, site.mListener.Port(), request.mFirst, request.mRepeated);
      std::size_t held = 0;
      site.mLoop.RunUntil([&] {
        held = std::max(held, site.mListener.BufferBytes());
        return caller->mIsClosed || caller->mBytesTaken > 2 * kMaximumTaken;
      });
      BOOST_TEST(caller->mIsClosed);
      BOOST_TEST(caller->mBytesTaken < kMaximumTaken);
      BOOST_TEST(held < kMaximumHeld);
      BOOST_TEST(site.ServesOthers());
      BOOST_TEST(site.mListener.BufferBytes() < kMaximumHeld);
    }
  }
}

// Guards against a body that drips for as long as its caller likes and holds
// its share of the memory meanwhile.
BOOST_AUTO_TEST_CASE(ABodyThatDripsIsRefused)
{
  for (const auto* first :
       { "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n",
         kChunkedHead.c_str() }) {
    listening_site site;
    site.mLimits->mIdleTimeout = 200ms;
    site.mLimits->mBodyTimeout = 600ms;
    const auto caller = byte_caller::StartSlowly(
      site.mLoop, site.mListener.Port(), first, "1\r\na\r\n", 20ms);
    BOOST_TEST(site.mLoop.RunUntil([&] { return caller->mIsClosed; }));
    BOOST_TEST(caller->mReceived.find(" 408 ") != std::string::npos);
    BOOST_TEST(site.ServesOthers());
  }
}

// Guards against memory that many callers take with what they send on while
// their requests are under way.
BOOST_AUTO_TEST_CASE(WhatFollowsARequestUnderWayIsNotReadAhead)
{
  listening_site site;
  std::vector<std::shared_ptr<byte_caller>> callers;
  constexpr std::size_t kCallers = 50;
  for (std::size_t i = 0; i < kCallers; ++i) {
    callers.push_back(
      byte_caller::Start(site.mLoop,
                         site.mListener.Port(),
                         "GET /held HTTP/1.1\r\nHost: h\r\n\r\n",
                         "GET /sound HTTP/1.1\r\n\r\n"));
  }
  BOOST_TEST(
    site.mLoop.RunUntil([&] { return site.mHeld.size() == kCallers; }));
  // Each connection would read once more in each turn.
  for (int turn = 0; turn < 20; ++turn) {
    BOOST_TEST(site.ServesOthers());
  }
  BOOST_TEST(site.mListener.BufferBytes() < kCallers * (16 << 10));
  // Each request is still answered.
  for (const auto& exchange : site.mHeld) {
    exchange->Answer({ 200, {}, "late" });
  }
  BOOST_TEST(site.mLoop.RunUntil([&] {
    return std::all_of(callers.begin(), callers.end(), [](const auto& aCaller) {
      return aCaller->mReceived.find("late") != std::string::npos;
    });
  }));
}

// Guards against a server that works on for a caller whose connection ended for
// another one's.
BOOST_AUTO_TEST_CASE(AResponseThatNoOneTakesEndsForANewCaller)
{
  listening_site site;
  site.mLimits->mMaximumConnections = 1;
  const auto stalled =
    byte_caller::Start(site.mLoop,
                       site.mListener.Port(),
                       "GET /held HTTP/1.1\r\nHost: h\r\n\r\n",
                       "");
  BOOST_REQUIRE(site.mLoop.RunUntil([&] { return site.mHeld.size() == 1; }));
  BOOST_TEST(!site.ServesOthers());
  const auto& exchange = site.mHeld.front();
  bool hasLeft = false;
  exchange->OnCallerLeft([&] { hasLeft = true; });
  exchange->Begin(200, {});
  constexpr std::size_t kMoreThanIsBuffered = 64 << 20;
  exchange->Write(std::string(kMoreThanIsBuffered, 'a'));
  BOOST_TEST(site.ServesOthers());
  BOOST_TEST(hasLeft);
  BOOST_TEST(exchange->IsEnded());
  BOOST_TEST(site.mListener.Counts().mNotAccepted == 1u);
  BOOST_TEST(site.mListener.Counts().mReset == 1u);
}

BOOST_AUTO_TEST_SUITE_END()
