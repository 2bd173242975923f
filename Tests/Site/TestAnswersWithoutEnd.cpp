#include "Tests/Site/Support/BatchEntry.h"
#include "Tests/Site/Support/ByteServer.h"

#include <boost/test/unit_test.hpp>

using namespace lavender;
using namespace lavender::tests;
using namespace std::chrono_literals;

namespace {

/** Most bytes that faulty servers get rid of in one test. Those that no entry
 * has read wait in the buffers of both ends. */
constexpr std::size_t kMaximumBytes = 64 << 20;
constexpr int kItems = 6;

/** Begins an answer that doesn't end. */
using endless_answer =
  std::function<void(const byte_channel_ptr&, const std::string& aId)>;

endless_answer
Repeat(std::function<std::string(const std::string& aId)> aFirst,
       std::string aRepeated)
{
  return [=](const byte_channel_ptr& aChannel, const std::string& aId) {
    aChannel->Write(aFirst(aId));
    aChannel->WriteWithoutEnd(aRepeated);
  };
}

endless_answer
Drip(std::function<std::string(const std::string& aId)> aFirst,
     std::string aRepeated)
{
  return [=](const byte_channel_ptr& aChannel, const std::string& aId) {
    aChannel->Write(aFirst(aId));
    aChannel->WriteWithoutEnd(aRepeated, 200ms);
  };
}

std::string
StatusHead(unsigned aStatus, const std::string& aId, const std::string& aFields)
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " x\r\nX-Attempt-Id: " + aId +
         "\r\n" + aFields + "Transfer-Encoding: chunked\r\n\r\n";
}

std::string
OpenHead(const std::string& aId)
{
  return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + aId + "\r\nX-Padding: ";
}

const std::string kPlain(1000, 'a');

/** Answers of a model server that don't end, by what doesn't end. */
std::map<std::string, endless_answer>
EndlessAnswers()
{
  return {
    { "value in the head", Repeat(OpenHead, kPlain) },
    { "fields in the head",
      Repeat(OpenHead, kPlain + "\r\nX-Padding: " + kPlain) },
    { "no HTTP", Repeat([](const auto&) { return "\x01"; }, kPlain) },
    { "line", Repeat(ChunkedHead, ChunkBytes(kPlain)) },
    { "event", Repeat(ChunkedHead, ChunkBytes("data: " + kPlain + "\n")) },
    { "empty lines", Repeat(ChunkedHead, ChunkBytes("\n\n\n\n")) },
    { "comments", Repeat(ChunkedHead, ChunkBytes(": " + kPlain + "\n\n")) },
    { "chunk extension",
      Repeat([](const auto& aId) { return ChunkedHead(aId) + "4;x="; },
             kPlain) },
    { "trailer",
      Repeat([](const auto& aId) { return ChunkedHead(aId) + "0\r\n"; },
             "X-Padding: " + kPlain + "\r\n") },
    { "body of 500",
      Repeat([](const auto& aId) { return StatusHead(500, aId, ""); },
             ChunkBytes(kPlain)) },
    { "body of not executed",
      Repeat(
        [](const auto& aId) {
          return StatusHead(503, aId, "X-Not-Executed: 1\r\n");
        },
        ChunkBytes(kPlain)) },
    { "extra responses",
      Repeat([](const auto& aId) { return ResponseBytes(500, aId, "", ""); },
             ResponseBytes(500, "b0i0", "", "")) },
    { "slow head", Drip(OpenHead, "a") },
    { "slow line", Drip(ChunkedHead, ChunkBytes("a")) },
    { "slow empty lines", Drip(ChunkedHead, ChunkBytes("\n")) },
    { "slow body of 500",
      Drip([](const auto& aId) { return StatusHead(500, aId, ""); },
           ChunkBytes("a")) },
  };
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestAnswersWithoutEnd)

// Guards against items that wait, and memory that grows, for as long as a
// server goes on with an answer that has no end.
BOOST_AUTO_TEST_CASE(ItemsOfAServerWhoseAnswersDontEndAreServedByOthers)
{
  for (const auto& [name, begin] : EndlessAnswers()) {
    BOOST_TEST_CONTEXT(name)
    {
      batch_site site;
      byte_server faulty(
        site.mLoop,
        [&begin = begin](const auto& aChannel, const auto& aRequest) {
          begin(aChannel, IdOf(aRequest));
        });
      site::ApplyServer(site.mDirectory, faulty.Entry("s1"), boot_clock::now());
      model_server sound(site.mLoop.mLoop, "s2");
      site.Add(sound);
      batch_entry entry(site, "a");
      entry.Submit("b1", kItems);
      BOOST_TEST(site.mLoop.RunUntil(
        [&] { return entry.ListedIds("b1").size() == kItems; }));
      const auto page = entry.Read("b1", 0);
      BOOST_REQUIRE(page.Find("results"));
      for (const auto& result : page.Find("results")->Elements()) {
        BOOST_TEST(json::StringAt(result, "state", "") == "completed");
      }
      BOOST_TEST(faulty.mRequests > 0);
      BOOST_TEST(faulty.mBytesTaken < kMaximumBytes);
    }
  }
}

// Guards against a text that grows without end from events that each look
// sound: it is discarded, and the item runs elsewhere from its start.
BOOST_AUTO_TEST_CASE(ATextThatNoPageCanHoldIsDiscarded)
{
  batch_site site;
  byte_server faulty(
    site.mLoop, [&](const auto& aChannel, const auto& aRequest) {
      std::string events;
      for (int i = 1; i <= 2000; ++i) {
        events += "id: " + std::to_string(i) + "\ndata: " + kPlain + "\n\n";
      }
      aChannel->Write(ChunkedHead(IdOf(aRequest)) + ChunkBytes(events));
    });
  site::ApplyServer(site.mDirectory, faulty.Entry("s1"), boot_clock::now());
  model_server sound(site.mLoop.mLoop, "s2");
  site.Add(sound);
  batch_entry entry(site, "a");
  entry.Submit("b1", kItems);
  BOOST_TEST(site.mLoop.RunUntil(
    [&] { return entry.ListedIds("b1").size() == kItems; }));
  const auto page = entry.Read("b1", 0);
  BOOST_REQUIRE(page.Find("results"));
  for (const auto& result : page.Find("results")->Elements()) {
    const auto id = json::StringAt(result, "id", "");
    BOOST_TEST(json::StringAt(result, "text", "") ==
               id + "-1\n" + id + "-2\n" + id + "-3\n" + id + "-4");
  }
  BOOST_TEST(faulty.mRequests > 0);
}

BOOST_AUTO_TEST_SUITE_END()
