#include "Tests/Crowd/Crowd.h"
#include "Tests/Crowd/CrowdSite.h"
#include "Tests/Support/Fleet.h"

#include <boost/test/unit_test.hpp>

using namespace lavender;
using namespace lavender::tests;
using namespace std::chrono_literals;

namespace {

constexpr int kClients = 300;
constexpr std::size_t kHeadBytes = 15'000;
constexpr int kTrailerLines = 15'000;
constexpr std::size_t kBodyBytes = 1'000'000;
constexpr std::size_t kPieceBytes = 65'000;
constexpr int kSmallChunks = 30'000;

const std::string kChunked = "Transfer-Encoding: chunked\r\n";

std::string
LengthLine(std::size_t aBytes)
{
  return "Content-Length: " + std::to_string(aBytes) + "\r\n";
}

/** Head of a request that is served, up to its last field. */
std::string
HeadOf(const std::string& aMethod)
{
  return aMethod +
         " /safe/%%% HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Token "
         "key\r\nX-Attempt-Id: crowd-%%%\r\nX-Deadline-Ms: 3000\r\n";
}

std::string
Repeat(const std::string& aText, std::size_t aTimes)
{
  std::string repeated;
  for (std::size_t i = 0; i < aTimes; ++i) {
    repeated += aText;
  }
  return repeated;
}

/** A head up to its end, with that field, made long by such lines. */
std::string
LongHead(const std::string& aField,
         const std::string& aLine,
         std::size_t aBytes = kHeadBytes)
{
  const auto head = HeadOf("POST") + aField;
  return head + Repeat(aLine, (aBytes - head.size()) / aLine.size());
}

/** As LongHead, by distinct names and values that hardly any client sends. */
std::string
OddHead(const std::string& aField)
{
  auto head = HeadOf("POST") + aField;
  for (int i = 0; head.size() < kHeadBytes; ++i) {
    char name[16];
    std::snprintf(name, sizeof name, "%x!#", static_cast<unsigned>(i));
    head += std::string(name) + ":\t\xc3\xa9" + std::to_string(i * 7) + "\r\n";
  }
  return head;
}

std::string
Chunk(const std::string& aBytes)
{
  char size[20];
  std::snprintf(size, sizeof size, "%zx\r\n", aBytes.size());
  return size + aBytes + "\r\n";
}

std::string
ChunkedHead()
{
  return HeadOf("POST") + kChunked + "\r\n";
}

crowd_manner
Open(std::string aBytes)
{
  crowd_manner manner;
  manner.mBytes = std::move(aBytes);
  return manner;
}

crowd_manner
Whole(std::string aBytes)
{
  auto manner = Open(std::move(aBytes));
  manner.mIsWhole = true;
  return manner;
}

crowd_manner
Endless(std::string aBytes, std::string aRepeated)
{
  auto manner = Open(std::move(aBytes));
  manner.mRepeated = std::move(aRepeated);
  return manner;
}

/** Lets a crowd act at one door, and checks what must hold whoever calls. */
void
CheckCrowd(crowd_site& aSite, unsigned short aPort, const crowd_manner& aManner)
{
  {
    crowd clients(aSite.mLoop, aPort, kClients, aManner);
    BOOST_TEST(clients.Settle());
    BOOST_TEST(aSite.IsServing());
    const auto use = aSite.Use();
    BOOST_TEST(use.mPeakBytes > 0u);
    BOOST_TEST(use.mPeakBytes <= aSite.mLimits.Bytes());
    BOOST_TEST(use.mDescriptors <= aSite.mLimits.mDescriptors);
    std::string statuses;
    for (const auto& [status, count] : clients.Statuses()) {
      statuses += std::to_string(status) + " x" + std::to_string(count) + " ";
    }
    BOOST_TEST_MESSAGE(statuses << "peak " << use.mPeakBytes / 1'000'000
                                << " MB, now " << use.mMemoryBytes / 1'000'000
                                << " MB");
  }
  BOOST_TEST(aSite.ComesToRest());
  BOOST_TEST(aSite.IsServing());
  BOOST_TEST(aSite.Use().mPeakBytes <= aSite.mLimits.Bytes());
}

void
CheckCallers(const crowd_manner& aManner)
{
  crowd_site site;
  BOOST_REQUIRE(site.Start());
  CheckCrowd(site, site.Callers(), aManner);
}

/** Checks that each largest request is served by an entry that no one else
 * calls. */
void
CheckLargestRequests(std::size_t aMegabytes)
{
  constexpr std::size_t kMaximumHead = 16'384;
  constexpr std::size_t kMaximumBody = 32 << 20;
  const std::string kEnd = "\r\n";
  crowd_site site({ aMegabytes, 2000 });
  BOOST_REQUIRE(site.Start());
  const std::vector<std::pair<std::string, std::string>> requests = {
    { "short lines",
      LongHead(LengthLine(0), "a:\r\n", kMaximumHead - kEnd.size()) + kEnd },
    { "length",
      HeadOf("POST") + LengthLine(kMaximumBody) + kEnd +
        std::string(kMaximumBody, 'a') },
    { "one chunk",
      ChunkedHead() + Chunk(std::string(kMaximumBody, 'a')) + "0\r\n\r\n" },
    { "many chunks",
      ChunkedHead() + Repeat(Chunk(std::string(1 << 16, 'a')), 512) +
        "0\r\n\r\n" },
  };
  for (const auto& [name, bytes] : requests) {
    BOOST_TEST_CONTEXT(name)
    {
      crowd client(site.mLoop, site.Callers(), 1, Whole(bytes));
      BOOST_TEST(client.Settle());
      BOOST_TEST(client.Statuses().count(200) == 1u);
    }
  }
  BOOST_TEST_MESSAGE("peak " << site.Use().mPeakBytes / 1'000'000 << " MB");
  BOOST_TEST(site.Use().mPeakBytes <= site.mLimits.Bytes());
  BOOST_TEST(site.IsServing());
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestCrowds)

// Guards against fields of trailers that are held, whatever their number.
BOOST_AUTO_TEST_CASE(TrailersOfShortLines)
{
  CheckCallers(Whole(ChunkedHead() + Chunk("body") + "0\r\n" +
                     Repeat("a:\r\n", kTrailerLines) + "\r\n"));
}

// Guards against trailers that have no end.
BOOST_AUTO_TEST_CASE(TrailersWithoutEnd)
{
  CheckCallers(Endless(ChunkedHead() + "0\r\n", Repeat("a:\r\n", 4000)));
}

// Guards against trailers that stop before their end.
BOOST_AUTO_TEST_CASE(TrailersThatStop)
{
  CheckCallers(
    Open(ChunkedHead() + "0\r\n" + Repeat("a:\r\n", kTrailerLines / 5)));
}

// Guards against bodies that count until their request is refused and are kept
// beyond that.
BOOST_AUTO_TEST_CASE(LargeChunksOneByteShort)
{
  const auto chunk = Chunk(std::string(kBodyBytes, 'a'));
  CheckCallers(Open(ChunkedHead() + chunk.substr(0, chunk.size() - 3)));
}

// Guards against bodies whose memory is larger than what they hold.
BOOST_AUTO_TEST_CASE(ChunksUpToTheThird)
{
  const auto chunk = Chunk(std::string(kPieceBytes, 'a'));
  CheckCallers(
    Open(ChunkedHead() + chunk + chunk + chunk.substr(0, chunk.size() - 3)));
}

// Guards against a body that ends between the two bytes of a line's end.
BOOST_AUTO_TEST_CASE(ChunksUpToTheLastReturn)
{
  const auto chunk = Chunk(std::string(kBodyBytes / 10, 'a'));
  CheckCallers(Open(ChunkedHead() + chunk.substr(0, chunk.size() - 1)));
}

// Guards against the cost of a chunk beyond its bytes.
BOOST_AUTO_TEST_CASE(VerySmallChunks)
{
  CheckCallers(Open(ChunkedHead() + Repeat("1\r\na\r\n", kSmallChunks)));
}

// Guards against a line of a chunk's size that has no end.
BOOST_AUTO_TEST_CASE(ChunkLinesThatStop)
{
  CheckCallers(Open(ChunkedHead() + "4;x=" + std::string(kHeadBytes, 'x')));
}

// Guards against bodies with a length that stop one byte short.
BOOST_AUTO_TEST_CASE(LengthsOneByteShort)
{
  CheckCallers(Open(HeadOf("POST") + LengthLine(kBodyBytes) + "\r\n" +
                    std::string(kBodyBytes - 1, 'a')));
}

// Guards against lengths that are announced alone: nothing is held of them.
BOOST_AUTO_TEST_CASE(AnnouncedLengths)
{
  CheckCallers(Open(HeadOf("POST") + LengthLine(30'000'000) + "\r\n"));
}

// Guards against fields that are held before a head ends.
BOOST_AUTO_TEST_CASE(HeadsOfShortLinesThatStop)
{
  CheckCallers(Open(LongHead("", "a:\r\n")));
}

// Guards against fields that are held while a body with a length stops short.
BOOST_AUTO_TEST_CASE(HeadsOfShortLinesBeforeALength)
{
  CheckCallers(Open(LongHead(LengthLine(2), "a:\r\n") + "\r\na"));
}

// Guards against fields that are held while a body in chunks stops short.
BOOST_AUTO_TEST_CASE(HeadsOfShortLinesBeforeAChunk)
{
  CheckCallers(Open(LongHead(kChunked, "a:\r\n") + "\r\n2\r\na"));
}

// Guards against copies of the fields of requests under way.
BOOST_AUTO_TEST_CASE(WholeHeadsOfShortLines)
{
  CheckCallers(Whole(LongHead(LengthLine(0), "a:\r\n") + "\r\n"));
}

// Guards against names and values that take more memory than others.
BOOST_AUTO_TEST_CASE(WholeHeadsOfOddLines)
{
  CheckCallers(Whole(OddHead(LengthLine(0)) + "\r\n"));
}

// Guards against the same while a body stops short.
BOOST_AUTO_TEST_CASE(HeadsOfOddLinesBeforeALength)
{
  CheckCallers(Open(OddHead(LengthLine(2)) + "\r\na"));
}

// Guards against many fields of a name that the product knows.
BOOST_AUTO_TEST_CASE(WholeHeadsOfCookies)
{
  CheckCallers(Whole(LongHead(LengthLine(0), "Cookie:\r\n") + "\r\n"));
}

// Guards against work that grows with the square of a head.
BOOST_AUTO_TEST_CASE(WholeHeadsThatNameTheirFields)
{
  std::string names = "Connection: close";
  std::string fields;
  for (int i = 0; names.size() + fields.size() < kHeadBytes - 500; ++i) {
    const auto name = "f" + std::to_string(i);
    names += "," + name;
    fields += name + ":\r\n";
  }
  CheckCallers(
    Whole(HeadOf("POST") + LengthLine(0) + names + "\r\n" + fields + "\r\n"));
}

// Guards against requests that are read ahead while one is under way.
BOOST_AUTO_TEST_CASE(PipelinedRequests)
{
  CheckCallers(
    Open(HeadOf("GET") + "\r\n" + Repeat("GET /none HTTP/1.1\r\n\r\n", 200)));
}

// Guards against responses that are held because their callers take no byte.
BOOST_AUTO_TEST_CASE(LongAnswersThatNoOneTakes)
{
  crowd_site site;
  site.mSite.mPlain.mAnswerBytes = kBodyBytes;
  BOOST_REQUIRE(site.Start());
  auto manner = Whole(HeadOf("GET") + "\r\n");
  manner.mReads = false;
  CheckCrowd(site, site.Callers(), manner);
}

// Guards against callers that have closed their sending side in a body.
BOOST_AUTO_TEST_CASE(HalfClosedBodies)
{
  auto manner = Open(HeadOf("POST") + LengthLine(kBodyBytes) + "\r\n" +
                     std::string(kBodyBytes / 2, 'a'));
  manner.mEndsSending = true;
  CheckCallers(manner);
}

// Guards against submissions whose items are larger in memory than in a body.
BOOST_AUTO_TEST_CASE(SubmissionsOfManyHeaders)
{
  constexpr int kHeaders = 2000;
  constexpr int kItems = 20;
  std::string headers;
  for (int i = 0; i < kHeaders; ++i) {
    headers += (i > 0 ? ",\"f" : "\"f") + std::to_string(i) + "\":\"\"";
  }
  std::string items;
  for (int i = 0; i < kItems; ++i) {
    items += (i > 0 ? "," : "") + std::string(R"({"id":"i%%%-)") +
             std::to_string(i) + R"(","path":"/r/x","headers":{)" + headers +
             R"(},"body":"","tokens":1,"group":"g"})";
  }
  const auto body = R"({"step":0,"model":"model","minVersion":1,)"
                    R"("targetGroups":1,"items":[)" +
                    items + "]}";
  CheckCallers(
    Whole("POST /r/crowd-%%% HTTP/1.1\r\nHost: train.example\r\n"
          "Authorization: Token trainer-0\r\nX-Attempt-Id: crowd-%%%\r\n" +
          kChunked + "\r\n" + Chunk(body) + "0\r\n\r\n"));
}

// Guards against crowds at the doors that aren't for callers.
BOOST_AUTO_TEST_CASE(OtherDoors)
{
  const auto chunk = Chunk(std::string(kBodyBytes, 'a'));
  const std::vector<std::pair<std::string, crowd_manner>> manners = {
    { "trailer",
      Whole(ChunkedHead() + "0\r\n" + Repeat("a:\r\n", kTrailerLines) +
            "\r\n") },
    { "chunk", Open(ChunkedHead() + chunk.substr(0, chunk.size() - 3)) },
    { "head", Open(LongHead("", "a:\r\n")) },
    { "length", Open(LongHead(LengthLine(2), "a:\r\n") + "\r\na") },
  };
  for (const auto& [name, manner] : manners) {
    crowd_site site;
    BOOST_REQUIRE(site.Start());
    for (const auto& [door, port] : site.OtherDoors()) {
      BOOST_TEST_CONTEXT(name << " at " << door)
      {
        CheckCrowd(site, port, manner);
      }
    }
  }
}

// Guards against callers that can't connect because idle connections, or those
// that stop within a head, take all there are.
BOOST_AUTO_TEST_CASE(MoreConnectionsThanAreAccepted)
{
  for (const auto* bytes : { "", "POST /safe/x HTTP/1.1\r\nHost: de" }) {
    crowd_site site({ 64, 700 });
    BOOST_REQUIRE(site.Start());
    CheckCrowd(site, site.Callers(), Open(bytes));
  }
}

// Guards against crowds at the doors of the project's own interface.
BOOST_AUTO_TEST_CASE(OwnInterface)
{
  constexpr std::size_t kMaximumMemory = 64 << 20;
  constexpr std::size_t kMaximumDescriptors = 2000;
  constexpr std::size_t kMaximumBody = 1 << 20;
  const std::vector<std::pair<std::string, std::string>> requests = {
    { "head", LongHead("", "a:\r\n") },
    { "length", LongHead(LengthLine(2), "a:\r\n") + "\r\na" },
    { "body",
      HeadOf("POST") + LengthLine(kMaximumBody) + "\r\n" +
        std::string(kMaximumBody - 1, 'a') },
    { "whole", LongHead(LengthLine(0), "a:\r\n") + "\r\n" },
  };
  test::fleet fleet;
  const auto& entry =
    fleet.AddEntry("entry", "zone", { "--request-memory", "8" });
  test_loop loop;
  const auto use = [&] { return UseOf(entry.mProcess->Id()); };
  for (const auto port :
       { entry.Callers(), entry.Operators(), entry.Health() }) {
    for (const auto& [name, bytes] : requests) {
      BOOST_TEST_CONTEXT(name << " at " << port)
      {
        auto manner = Open(bytes);
        manner.mIsWhole = name == "whole";
        crowd clients(loop, port, kClients, manner);
        BOOST_TEST(clients.Settle());
        BOOST_TEST(test::WaitFor(
          [&] { return test::Send(port, "GET", "/healthz").mStatus > 0; }));
        BOOST_TEST(entry.mProcess->IsRunning());
        BOOST_TEST(use().mPeakBytes > 0u);
        BOOST_TEST(use().mPeakBytes <= kMaximumMemory);
        BOOST_TEST(use().mDescriptors <= kMaximumDescriptors);
        BOOST_TEST_MESSAGE("peak " << use().mPeakBytes / 1'000'000 << " MB");
      }
    }
  }
  BOOST_TEST(test::Send(entry.Health(), "GET", "/healthz").mStatus == 200);
}

// Guards against limits that refuse a single request inside them.
BOOST_AUTO_TEST_CASE(TheLargestRequestIsServedInCalm)
{
  CheckLargestRequests(110);
}

// Guards against copies of a large body for each server that it is sent to.
BOOST_AUTO_TEST_CASE(TheLargestRequestIsHeldOnce)
{
  CheckLargestRequests(88);
}

BOOST_AUTO_TEST_SUITE_END()
