#include "Tests/Crowd/Crowd.h"
#include "Tests/Crowd/CrowdSite.h"

#include <boost/test/unit_test.hpp>

using namespace lavender;
using namespace lavender::tests;
using namespace std::chrono_literals;

namespace {

constexpr int kClients = 300;
constexpr std::size_t kHeadBytes = 15'000;
constexpr int kTrailerLines = 15'000;

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

// Guards against the same while a body stops short.
BOOST_AUTO_TEST_CASE(HeadsOfOddLinesBeforeALength)
{
  CheckCallers(Open(OddHead(LengthLine(2)) + "\r\na"));
}

BOOST_AUTO_TEST_SUITE_END()
