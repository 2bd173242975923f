#include "Libraries/Http/Server.h"

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <future>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace lavender;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds kLongest = 10s;

/** A caller that sends and reads bytes. */
class raw_caller
{
public:
  explicit raw_caller(std::uint16_t aPort)
    : mSocket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(aPort);
    connect(mSocket, reinterpret_cast<sockaddr*>(&address), sizeof address);
  }
  ~raw_caller() { close(mSocket); }
  raw_caller(const raw_caller&) = delete;
  raw_caller& operator=(const raw_caller&) = delete;

  bool Send(const std::string& aBytes)
  {
    return send(mSocket, aBytes.data(), aBytes.size(), MSG_NOSIGNAL) ==
           static_cast<ssize_t>(aBytes.size());
  }
  void CloseSendingSide() { shutdown(mSocket, SHUT_WR); }

  /** Reads until the condition holds for what was received, the server closes
   * or the time is over. */
  template<typename Condition>
  bool ReadUntil(Condition aCondition,
                 std::chrono::milliseconds aLongest = kLongest)
  {
    const auto end = std::chrono::steady_clock::now() + aLongest;
    while (!aCondition(mReceived)) {
      const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        end - std::chrono::steady_clock::now());
      pollfd waiting{ mSocket, POLLIN, 0 };
      if (left <= 0ms || mIsClosed ||
          poll(&waiting, 1, static_cast<int>(left.count())) <= 0) {
        return false;
      }
      char bytes[65536];
      const auto size = recv(mSocket, bytes, sizeof bytes, 0);
      mIsClosed = size <= 0;
      mReceived.append(bytes, static_cast<std::size_t>(std::max(size, 0L)));
    }
    return true;
  }
  bool ReadUntilText(const std::string& aText)
  {
    return ReadUntil([&](const std::string& aReceived) {
      return aReceived.find(aText) != std::string::npos;
    });
  }
  /** Whether the server closes the connection within the time. */
  bool IsClosedWithin(std::chrono::milliseconds aLongest)
  {
    ReadUntil([](const auto&) { return false; }, aLongest);
    return mIsClosed;
  }
  const std::string& Received() const { return mReceived; }

private:
  const int mSocket;
  std::string mReceived;
  bool mIsClosed = false;
};

std::string
Post(const std::string& aPath,
     const std::string& aBody,
     const std::string& aFields = {})
{
  return "POST " + aPath + " HTTP/1.1\r\nHost: h\r\n" + aFields +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

http::response
Echo(const http::request& aRequest)
{
  http::response echoed;
  echoed.mBody = "<" + aRequest.mPath + " " + aRequest.mBody + ">";
  return echoed;
}

http::response
EchoSlowly(const http::request& aRequest)
{
  std::this_thread::sleep_for(200ms);
  return Echo(aRequest);
}

std::size_t
CountOf(const std::string& aText, const std::string& aPart)
{
  std::size_t found = 0;
  for (auto at = aText.find(aPart); at != std::string::npos;
       at = aText.find(aPart, at + 1)) {
    ++found;
  }
  return found;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestServerConnections)

// Guards against a caller that closes its sending side after its requests, as
// many programs do, and gets no response.
BOOST_AUTO_TEST_CASE(ACallerThatClosesItsSendingSideIsAnswered)
{
  http::server server({}, EchoSlowly);
  raw_caller caller(server.Port());
  caller.Send(Post("/1", "one") + Post("/2", "two"));
  caller.CloseSendingSide();
  BOOST_TEST(caller.IsClosedWithin(kLongest));
  BOOST_TEST(caller.Received().find("</1 one>") <
             caller.Received().find("</2 two>"));
  BOOST_TEST(CountOf(caller.Received(), "HTTP/1.1 200 OK") == 2U);
}

// Guards against a refusal that is cut because its caller has closed its
// sending side.
BOOST_AUTO_TEST_CASE(ACallerThatClosesItsSendingSideGetsItsRefusal)
{
  for (int i = 0; i < 50; ++i) {
    http::server server({}, Echo);
    raw_caller caller(server.Port());
    caller.Send("no request\r\n\r\n");
    caller.CloseSendingSide();
    BOOST_TEST(caller.IsClosedWithin(kLongest));
    BOOST_TEST(caller.Received().rfind("HTTP/1.1 400 ", 0) == 0U);
    BOOST_TEST(caller.Received().find("\"not_run\"") != std::string::npos);
  }
}

// Guards against responses that overtake each other: the first request takes
// longer than those behind it.
BOOST_AUTO_TEST_CASE(RequestsSentAheadAreAnsweredInOrder)
{
  http::server server({}, [](const http::request& aRequest) {
    std::this_thread::sleep_for(aRequest.mPath == "/0" ? 200ms : 0ms);
    return Echo(aRequest);
  });
  raw_caller caller(server.Port());
  std::string requests;
  std::string expected;
  constexpr int kRequests = 100;
  for (int i = 0; i < kRequests; ++i) {
    requests += Post("/" + std::to_string(i), std::string(100, 'b'));
  }
  BOOST_TEST(caller.Send(requests));
  BOOST_TEST(caller.ReadUntilText("</99 "));
  std::size_t last = 0;
  for (int i = 0; i < kRequests; ++i) {
    const auto place =
      caller.Received().find("</" + std::to_string(i) + " ", last);
    BOOST_REQUIRE(place != std::string::npos);
    last = place;
  }
}

// Guards against a connection that isn't kept open for the next request.
BOOST_AUTO_TEST_CASE(AnOpenConnectionServesOneRequestAfterTheOther)
{
  http::server server({}, Echo);
  raw_caller caller(server.Port());
  for (int i = 0; i < 50; ++i) {
    const auto path = "/" + std::to_string(i);
    BOOST_REQUIRE(caller.Send(Post(path, "x")));
    BOOST_REQUIRE(caller.ReadUntilText("<" + path + " x>"));
  }
  BOOST_TEST(caller.Received().find("Connection: close") == std::string::npos);
}

// Guards against a connection that stays open though its caller asked for its
// end, and against a response that doesn't say so.
BOOST_AUTO_TEST_CASE(AConnectionClosesWhenItsCallerAsks)
{
  http::server server({}, Echo);
  raw_caller caller(server.Port());
  caller.Send(Post("/a", "x", "Connection: close\r\n"));
  BOOST_TEST(caller.IsClosedWithin(kLongest));
  BOOST_TEST(caller.Received().find("</a x>") != std::string::npos);
  BOOST_TEST(caller.Received().find("Connection: close\r\n") !=
             std::string::npos);
}

// Guards against clients that keep their connections to a server that is going
// to stop, and against connections that close under a request on its way.
BOOST_AUTO_TEST_CASE(ClientsAreAskedToCloseByTheNextResponse)
{
  http::server server({}, Echo);
  raw_caller caller(server.Port());
  caller.Send(Post("/a", "x"));
  BOOST_TEST(caller.ReadUntilText("</a x>"));
  server.AskClientsToClose();
  BOOST_TEST(!caller.IsClosedWithin(2500ms));
  caller.Send(Post("/b", "x"));
  BOOST_TEST(caller.IsClosedWithin(kLongest));
  BOOST_TEST(caller.Received().find("</b x>") != std::string::npos);
  BOOST_TEST(caller.Received().find("Connection: close\r\n") !=
             std::string::npos);
}

// Guards against requests that are cut, or wait for a thread for ever, when the
// server stops, and against idle connections that hold the stop up.
BOOST_AUTO_TEST_CASE(AStoppingServerAnswersWhatItHasTaken)
{
  std::atomic<int> begun{ 0 };
  http::server_options options;
  options.mMaximumThreads = 1;
  http::server server(options, [&](const http::request& aRequest) {
    ++begun;
    std::this_thread::sleep_for(300ms);
    http::response large;
    large.mBody = std::string(3 << 20, 'x') + "<" + aRequest.mPath + ">";
    return large;
  });
  raw_caller idle(server.Port());
  raw_caller running(server.Port());
  raw_caller waiting(server.Port());
  running.Send(Post("/running", "x"));
  while (begun == 0) {
    std::this_thread::sleep_for(1ms);
  }
  waiting.Send(Post("/waiting", "x"));
  std::this_thread::sleep_for(100ms);
  auto reading = std::async(std::launch::async, [&] {
    return running.IsClosedWithin(kLongest) && waiting.IsClosedWithin(kLongest);
  });
  const auto start = std::chrono::steady_clock::now();
  server.Stop();
  BOOST_TEST((std::chrono::steady_clock::now() - start < 5s));
  BOOST_TEST(reading.get());
  BOOST_TEST(running.Received().find("</running>") != std::string::npos);
  BOOST_TEST(waiting.Received().find("</waiting>") != std::string::npos);
  BOOST_TEST(idle.IsClosedWithin(kLongest));
}

// Guards against a stop that waits for a caller which doesn't read.
BOOST_AUTO_TEST_CASE(AStoppingServerLeavesACallerThatDoesntRead)
{
  std::atomic<int> answered{ 0 };
  http::server server({}, [&](const http::request&) {
    ++answered;
    return http::response{ 200, "text/plain", {}, std::string(32 << 20, 'x') };
  });
  raw_caller caller(server.Port());
  caller.Send(Post("/a", "x"));
  caller.CloseSendingSide();
  while (answered == 0) {
    std::this_thread::sleep_for(1ms);
  }
  const auto start = std::chrono::steady_clock::now();
  server.Stop();
  BOOST_TEST((std::chrono::steady_clock::now() - start < 6s));
}

// Guards against a head that drips for as long as its caller likes.
BOOST_AUTO_TEST_CASE(AHeadThatDripsIsRefused)
{
  http::server_options options;
  options.mReadTimeout = 400ms;
  http::server server(options, Echo);
  raw_caller caller(server.Port());
  caller.Send("GET / HTTP/1.1\r\nX-Slow: ");
  bool isClosed = false;
  for (int i = 0; i < 100 && !isClosed; ++i) {
    caller.Send("a");
    isClosed = caller.IsClosedWithin(50ms);
  }
  BOOST_TEST(isClosed);
  BOOST_TEST(caller.Received().rfind("HTTP/1.1 408 ", 0) == 0U);
}

// Guards against a body that drips, or stands still, for as long as its caller
// likes.
BOOST_AUTO_TEST_CASE(ABodyThatDripsIsRefused)
{
  for (const bool isMoving : { true, false }) {
    http::server_options options;
    options.mReadTimeout = 400ms;
    options.mBodyTimeout = isMoving ? 800ms : 60000ms;
    http::server server(options, Echo);
    raw_caller caller(server.Port());
    caller.Send("POST / HTTP/1.1\r\nContent-Length: 1000\r\n\r\n");
    bool isClosed = false;
    for (int i = 0; i < 100 && !isClosed; ++i) {
      if (isMoving) {
        caller.Send("a");
      }
      isClosed = caller.IsClosedWithin(50ms);
    }
    BOOST_TEST(isClosed);
    BOOST_TEST(caller.Received().rfind("HTTP/1.1 408 ", 0) == 0U);
  }
}

// Guards against a response that is held for a caller which doesn't read it.
BOOST_AUTO_TEST_CASE(ACallerThatDoesntReadIsLeft)
{
  const std::size_t size = 64 << 20;
  http::server_options options;
  options.mWriteTimeout = 300ms;
  http::server server(options, [&](const http::request&) {
    return http::response{ 200, "text/plain", {}, std::string(size, 'x') };
  });
  raw_caller caller(server.Port());
  caller.Send(Post("/a", "x"));
  std::this_thread::sleep_for(1500ms);
  BOOST_TEST(caller.IsClosedWithin(kLongest));
  BOOST_TEST(caller.Received().size() < size);
}

// Guards against a caller that is taken for one that doesn't read because it
// reads slowly.
BOOST_AUTO_TEST_CASE(ACallerThatReadsSlowlyGetsItsResponse)
{
  const std::size_t size = 32 << 20;
  http::server_options options;
  options.mWriteTimeout = 1000ms;
  http::server server(options, [&](const http::request&) {
    return http::response{ 200, "text/plain", {}, std::string(size, 'x') };
  });
  raw_caller caller(server.Port());
  caller.Send(Post("/a", "x", "Connection: close\r\n"));
  const auto start = std::chrono::steady_clock::now();
  for (std::size_t part = 1; part <= 16; ++part) {
    BOOST_REQUIRE(caller.ReadUntil([&](const std::string& aReceived) {
      return aReceived.size() >= part * (size / 16);
    }));
    std::this_thread::sleep_for(200ms);
  }
  BOOST_TEST((std::chrono::steady_clock::now() - start > 3 * 1000ms));
  BOOST_TEST(caller.IsClosedWithin(kLongest));
  BOOST_TEST(caller.Received().size() > size);
}

// Guards against connections that take all file descriptors.
BOOST_AUTO_TEST_CASE(ConnectionsAreBounded)
{
  constexpr int kConnections = 8;
  http::server_options options;
  options.mMaximumConnections = kConnections;
  std::promise<void> end;
  const auto ended = end.get_future().share();
  std::atomic<int> waiting{ 0 };
  http::server server(options, [&](const http::request& aRequest) {
    ++waiting;
    ended.wait();
    return Echo(aRequest);
  });
  std::vector<std::unique_ptr<raw_caller>> callers;
  for (int i = 0; i < kConnections; ++i) {
    callers.push_back(std::make_unique<raw_caller>(server.Port()));
    callers.back()->Send(Post("/a", "x"));
  }
  while (waiting < kConnections) {
    std::this_thread::sleep_for(1ms);
  }
  BOOST_TEST(raw_caller(server.Port()).IsClosedWithin(kLongest));
  end.set_value();
  for (auto& caller : callers) {
    BOOST_TEST(caller->ReadUntilText("</a x>"));
  }
  callers.pop_back();
  bool isServed = false;
  for (int i = 0; i < 100 && !isServed; ++i) {
    raw_caller next(server.Port());
    next.Send(Post("/b", "x"));
    isServed = next.ReadUntilText("</b x>");
  }
  BOOST_TEST(isServed);
}

// Guards against callers that find no connection because idle ones, or those
// that stop within a head, hold them all.
BOOST_AUTO_TEST_CASE(SilentConnectionsEndForNewOnes)
{
  http::server_options options;
  options.mMaximumConnections = 4;
  for (const std::string part : { "", "POST /a HTTP/1.1\r\nHo" }) {
    http::server server(options, Echo);
    std::vector<std::unique_ptr<raw_caller>> callers;
    for (int i = 0; i < 4; ++i) {
      callers.push_back(std::make_unique<raw_caller>(server.Port()));
      callers.back()->Send(Post("/a", "x"));
      BOOST_REQUIRE(callers.back()->ReadUntilText("</a x>"));
      callers.back()->Send(part);
      std::this_thread::sleep_for(20ms);
    }
    raw_caller next(server.Port());
    next.Send(Post("/b", "x"));
    BOOST_TEST(next.ReadUntilText("</b x>"));
    BOOST_TEST(callers.front()->IsClosedWithin(kLongest));
    callers.back()->Send(part.empty() ? Post("/c", "x")
                                      : "st: h\r\nContent-Length: 0\r\n\r\n");
    BOOST_TEST(
      callers.back()->ReadUntilText(part.empty() ? "</c x>" : "</a >"));
  }
}

// Guards against memory for many bodies, each of which is within its bound, and
// against those who come later being refused for those who have stopped.
BOOST_AUTO_TEST_CASE(AllBodiesTogetherAreBounded)
{
  constexpr std::size_t kBody = 1'000'000;
  http::server_options options;
  options.mMaximumBodyBytes = kBody;
  options.mMaximumHeldBytes = 5 * kBody / 2;
  http::server server(options, Echo);
  const auto beginning = Post("/a", std::string(kBody, 'x'));
  raw_caller stopped(server.Port());
  stopped.Send(beginning.substr(0, beginning.size() - 1));
  std::this_thread::sleep_for(200ms);
  raw_caller slow(server.Port());
  slow.Send(beginning.substr(0, beginning.size() - 1));
  std::this_thread::sleep_for(200ms);
  raw_caller late(server.Port());
  late.Send(Post("/c", std::string(kBody, 'y')));
  BOOST_TEST(late.ReadUntilText("y>"));
  BOOST_TEST(stopped.IsClosedWithin(kLongest));
  BOOST_TEST(stopped.Received().rfind("HTTP/1.1 503 ", 0) == 0U);
  BOOST_TEST(stopped.Received().find("Retry-After: ") != std::string::npos);
  slow.Send("x");
  BOOST_TEST(slow.ReadUntilText("x>"));
  raw_caller served(server.Port());
  served.Send(Post("/d", std::string(kBody, 'y')));
  BOOST_TEST(served.ReadUntilText("y>"));
}

// Guards against lengths that are announced alone and keep others from being
// served.
BOOST_AUTO_TEST_CASE(AnnouncedBytesTakeNoRoom)
{
  constexpr std::size_t kBody = 1'000'000;
  http::server_options options;
  options.mMaximumBodyBytes = kBody;
  options.mMaximumHeldBytes = 5 * kBody / 2;
  http::server server(options, Echo);
  std::vector<std::unique_ptr<raw_caller>> callers;
  for (int i = 0; i < 8; ++i) {
    callers.push_back(std::make_unique<raw_caller>(server.Port()));
    callers.back()->Send("POST / HTTP/1.1\r\nContent-Length: 1000000\r\n\r\nx");
  }
  std::this_thread::sleep_for(200ms);
  raw_caller served(server.Port());
  served.Send(Post("/c", std::string(kBody, 'y')));
  BOOST_TEST(served.ReadUntilText("y>"));
}

// Guards against a request that two servers would take for two hosts'.
BOOST_AUTO_TEST_CASE(TwoHostsAreRefused)
{
  http::server server({}, Echo);
  raw_caller caller(server.Port());
  caller.Send("GET /a HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n");
  BOOST_TEST(caller.IsClosedWithin(kLongest));
  BOOST_TEST(caller.Received().rfind("HTTP/1.1 400 ", 0) == 0U);
}

// Guards against callers of HTTP/1.0, such as balancers' checks, which wait for
// the end of a connection that a response doesn't say is kept.
BOOST_AUTO_TEST_CASE(CallersOfTheOldVersionAreToldWhetherTheConnectionStays)
{
  http::server server({}, Echo);
  raw_caller closing(server.Port());
  closing.Send("GET /a HTTP/1.0\r\n\r\n");
  BOOST_TEST(closing.IsClosedWithin(kLongest));
  BOOST_TEST(closing.Received().find("Connection: close\r\n") !=
             std::string::npos);
  raw_caller keeping(server.Port());
  for (const std::string path : { "/b", "/c" }) {
    keeping.Send("GET " + path + " HTTP/1.0\r\nConnection: keep-alive\r\n\r\n");
    BOOST_TEST(keeping.ReadUntilText("<" + path + " >"));
  }
  BOOST_TEST(CountOf(keeping.Received(), "Connection: keep-alive\r\n") == 2U);
}

// Guards against a target that is taken apart wrongly: as a whole URL, or with
// encoded characters that would divide it.
BOOST_AUTO_TEST_CASE(TargetsArriveAsTheyAreMeant)
{
  http::server server({}, [](const http::request& aRequest) {
    http::response split;
    split.mBody = "<" + aRequest.mPath + "|" + aRequest.mQuery + ">";
    return split;
  });
  raw_caller caller(server.Port());
  for (const auto& [target, expected] :
       std::vector<std::pair<std::string, std::string>>{
         { "/a/b?c=d&e=/f", "</a/b|c=d&e=/f>" },
         { "/a%2Fb%3Fc?d=%26", "</a%2Fb%3Fc|d=%26>" },
         { "http://host:80/a?b", "</a|b>" },
         { "http://host", "</|>" },
         { "http://host?a=b", "</|a=b>" },
         { "/a?url=http://host/b", "</a|url=http://host/b>" },
         { "*", "<*|>" } }) {
    caller.Send("GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n");
    BOOST_TEST(caller.ReadUntilText(expected), target);
  }
}

// Guards against a body whose length its caller and the server see differently:
// what follows could be taken for a request.
BOOST_AUTO_TEST_CASE(ALengthThatCanBeMistakenIsRefusedBeforeTheBody)
{
  std::atomic<int> handled{ 0 };
  http::server server({}, [&](const http::request& aRequest) {
    ++handled;
    return Echo(aRequest);
  });
  for (const auto& [field, status] :
       std::vector<std::pair<std::string, std::string>>{
         { "Transfer-Encoding: chunked\r\n", "501" },
         { "transfer-encoding: gzip\r\n", "501" },
         { "Transfer-Encoding: gzip, chunked\r\n", "501" },
         { "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", "" },
         { "Content-Length: 5\r\nContent-Length: 5\r\n", "400" },
         { "Content-Length: 5\r\nContent-Length: 7\r\n", "400" },
         { "Content-Length: 5, 5\r\n", "400" },
         { "Content-Length: +5\r\n", "400" } }) {
    raw_caller caller(server.Port());
    caller.Send("POST / HTTP/1.1\r\nHost: h\r\n" + field +
                "\r\n0\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n");
    BOOST_TEST(caller.IsClosedWithin(kLongest));
    BOOST_TEST(caller.Received().rfind("HTTP/1.1 " + status, 0) == 0U, field);
    BOOST_TEST(CountOf(caller.Received(), "HTTP/1.1 ") == 1U);
  }
  BOOST_TEST(handled == 0);
}

// Guards against handlers that wait for each other's threads.
BOOST_AUTO_TEST_CASE(HandlersThatBlockRunAtOnce)
{
  constexpr int kCallers = 40;
  std::atomic<int> inside{ 0 };
  http::server server({}, [&](const http::request& aRequest) {
    ++inside;
    for (int i = 0; i < 5000 && inside < kCallers; ++i) {
      std::this_thread::sleep_for(1ms);
    }
    auto response = Echo(aRequest);
    response.mStatus = inside == kCallers ? 200 : 500;
    return response;
  });
  std::vector<std::unique_ptr<raw_caller>> callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.push_back(std::make_unique<raw_caller>(server.Port()));
    callers.back()->Send(Post("/a", "x"));
  }
  for (auto& caller : callers) {
    BOOST_TEST(caller->ReadUntilText("</a x>"));
    BOOST_TEST(caller->Received().rfind("HTTP/1.1 200 ", 0) == 0U);
  }
}

BOOST_AUTO_TEST_SUITE_END()
