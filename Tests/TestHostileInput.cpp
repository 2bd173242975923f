#include "Tests/Support/Fleet.h"
#include "Tests/Support/RawConnection.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <random>
#include <thread>

using namespace lavender;
using namespace lavender::test;

namespace {

constexpr auto kIdleTimeout = 3000ms;

/** One entry with one engine, and a well-behaved client that sends requests all
 * the time. */
struct site
{
  fleet mFleet;
  std::string mKey;
  std::uint16_t mPort = 0;
  std::atomic<bool> mIsStopping{ false };
  std::atomic<int> mServed{ 0 };
  std::atomic<int> mFailed{ 0 };
  std::thread mGoodClient;

  site()
  {
    mFleet.AddBackend("engine-1", "bogota", "model-pool", "engine");
    mFleet.AddEntry("entry-1", "bogota", { "--maximum-body", "65536" });
    mFleet.PublishInstances();
    json::value pool;
    pool.Set("model", "partes");
    mFleet.Put("BackendPool", "model-pool", pool);
    mKey = mFleet.AddCustomer("geoandina");
    BOOST_REQUIRE(mFleet.WaitUntilServing(mKey, "partes"));
    mPort = mFleet.Entries().at("entry-1").Callers();
    mGoodClient = std::thread([this] {
      while (!mIsStopping) {
        Complete(mPort, mKey, "partes", "equipo R8", 1).mStatus == 200
          ? ++mServed
          : ++mFailed;
      }
    });
  }

  ~site()
  {
    mIsStopping = true;
    mGoodClient.join();
  }

  std::string Head(const std::string& aLengthLines) const
  {
    return "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: "
           "Bearer " +
           mKey + "\r\n" + aLengthLines + "\r\n";
  }

  /** Checks that the well-behaved client is served after this call and that the
   * entry still runs. */
  void RequireStillServing()
  {
    const int before = mServed;
    BOOST_TEST(WaitFor([&] { return mServed > before; }));
    BOOST_TEST(mFleet.Entries().at("entry-1").mProcess->IsRunning());
  }
};

/** Sends raw bytes and returns the raw response; empty when the connection
 * closes without one. */
std::string
Exchange(std::uint16_t aPort, const std::string& aBytes, bool& aHasClosed)
{
  raw_connection connection(aPort);
  connection.Send(aBytes);
  connection.FinishSending();
  return connection.ReceiveAll(kIdleTimeout, aHasClosed);
}

int
StatusOf(const std::string& aResponse)
{
  return aResponse.rfind("HTTP/1.1 ", 0) == 0
           ? std::stoi(aResponse.substr(9, 3))
           : 0;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(TestHostileInput, site)

BOOST_AUTO_TEST_CASE(BadBodiesGetAnErrorThatNamesThePlace)
{
  const auto exchange = [&](const std::string& aBody) {
    bool hasClosed = false;
    return Exchange(mPort,
                    Head("Content-Length: " + std::to_string(aBody.size()) +
                         "\r\nConnection: close\r\n") +
                      aBody,
                    hasClosed);
  };
  for (const std::string& body : { std::string("{\"prompt\":\"\xff\xfe\"}"),
                                   std::string("{\"prompt\":1}"),
                                   std::string("{\"prompt\":\"a\""),
                                   std::string("[]"),
                                   std::string("{} trailing"),
                                   std::string(60000, '['),
                                   std::string("") }) {
    const auto response = exchange(body);
    BOOST_TEST(StatusOf(response) == 400);
    BOOST_TEST(response.find("\"not_run\"") != std::string::npos);
    BOOST_TEST(response.find("\"message\"") != std::string::npos);
  }
  RequireStillServing();
}

BOOST_AUTO_TEST_CASE(WrongLengthsAreRefusedAndTheConnectionCloses)
{
  // The bytes after such a header could be parsed as another request (request
  // smuggling), so the refusal has to close the connection.
  const std::string smuggled = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";
  for (const char* lines : { "Content-Length: 5\r\nContent-Length: 50\r\n",
                             "Content-Length: -1\r\n",
                             "Content-Length: abc\r\n",
                             "Content-Length: 99999999999999999999\r\n",
                             "Content-Length: 70000\r\n",
                             "Transfer-Encoding: chunked\r\n" }) {
    bool hasClosed = false;
    const auto response =
      Exchange(mPort, Head(lines) + "0\r\n\r\n" + smuggled, hasClosed);
    BOOST_TEST(hasClosed, lines);
    BOOST_TEST(StatusOf(response) >= 400, lines);
    BOOST_TEST(response.find("HTTP/1.1", 1) == std::string::npos, lines);
  }
  RequireStillServing();
}

BOOST_AUTO_TEST_CASE(PipelinedRequestsAreAnsweredInOrder)
{
  const std::string unknown = "GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n";
  const std::string body = "{\"model\":\"partes\",\"prompt\":\"uno dos\"}";
  bool hasClosed = false;
  const auto response = Exchange(
    mPort,
    unknown + Head("Content-Length: " + std::to_string(body.size()) + "\r\n") +
      body,
    hasClosed);
  BOOST_TEST(StatusOf(response) == 404);
  const auto second = response.find("HTTP/1.1", 1);
  // The second request is either answered after the first or not at all.
  if (second != std::string::npos) {
    BOOST_TEST(StatusOf(response.substr(second)) == 200);
  } else {
    BOOST_TEST(hasClosed);
  }
  RequireStillServing();
}

BOOST_AUTO_TEST_CASE(TruncatedAndSlowRequestsHoldNobodyUp)
{
  bool hasClosed = false;
  const auto cut =
    Exchange(mPort, Head("Content-Length: 500\r\n") + "{\"model\"", hasClosed);
  BOOST_TEST((hasClosed || StatusOf(cut) >= 400));
  std::vector<std::unique_ptr<raw_connection>> slow;
  for (int i = 0; i < 40; ++i) {
    slow.push_back(std::make_unique<raw_connection>(mPort));
    slow.back()->Send(Head("Content-Length: 500\r\n"));
  }
  for (int second = 0; second < 3; ++second) {
    for (auto& connection : slow) {
      connection->Send("x");
    }
    RequireStillServing();
    std::this_thread::sleep_for(1s);
  }
  const std::string huge(1 << 20, 'h');
  const auto oversized =
    Exchange(mPort, "GET /" + huge + " HTTP/1.1\r\nHost: x\r\n\r\n", hasClosed);
  BOOST_TEST((hasClosed || StatusOf(oversized) >= 400));
  RequireStillServing();
}

BOOST_AUTO_TEST_CASE(TenThousandRandomByteStringsNeverCrashIt)
{
  std::mt19937_64 random(20261203);
  std::uniform_int_distribution<int> byte(0, 255);
  std::uniform_int_distribution<std::size_t> length(1, 300);
  int answered = 0;
  for (int i = 0; i < 10000; ++i) {
    std::string bytes = i % 2 ? "POST /v1/completions HTTP/1.1\r\n" : "";
    for (auto left = length(random); left > 0; --left) {
      bytes.push_back(static_cast<char>(byte(random)));
    }
    raw_connection connection(mPort);
    connection.Send(bytes + "\r\n\r\n");
    connection.FinishSending();
    if (i % 100 == 0) {
      bool hasClosed = false;
      const auto response = connection.ReceiveAll(kIdleTimeout, hasClosed);
      BOOST_TEST((hasClosed || !response.empty()));
      BOOST_TEST((response.empty() || StatusOf(response) >= 400));
      ++answered;
    }
  }
  BOOST_TEST(answered == 100);
  RequireStillServing();
  BOOST_TEST(mFailed == 0);
}

BOOST_AUTO_TEST_SUITE_END()
