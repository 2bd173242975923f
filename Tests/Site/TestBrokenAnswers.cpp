#include "Tests/Site/Support/ByteCaller.h"
#include "Tests/Site/Support/EndlessSite.h"
#include "Tests/Site/Support/ForwardingSite.h"

#include <boost/test/unit_test.hpp>

using namespace lavender;
using namespace lavender::tests;

namespace {

/** Makes the bytes of an answer to the request with that id. */
using answer_maker = std::function<std::string(const std::string& aId)>;

/** What a caller gets that reads bytes, from an entry whose servers all answer
 * in the same way.
 * @param aRequests set to the number of requests that the servers got */
std::string
BytesFromEntry(site::retry_policy aRepetition,
               const answer_maker& aMakeAnswer,
               int& aRequests)
{
  forwarding_site site(aRepetition);
  const auto answer = [&](const auto& aChannel, const auto& aRequest) {
    aChannel->Write(aMakeAnswer(IdOf(aRequest)));
  };
  byte_server first(site.mLoop, answer);
  byte_server second(site.mLoop, answer);
  site.Add("s1", first);
  site.Add("s2", second);
  const auto caller =
    byte_caller::Start(site.mLoop,
                       site.mListener.Port(),
                       "POST /x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a1\r\n"
                       "X-Deadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n",
                       "");
  BOOST_TEST(site.mLoop.RunUntil([&] {
    return caller->mIsClosed ||
           caller->mReceived.find("\r\n\r\n") != std::string::npos;
  }));
  aRequests = first.mRequests + second.mRequests;
  return caller->mReceived;
}

/** Checks that an answer is none: a request that may run once gets 502 and
 * isn't repeated, and one that may be repeated is served by another server. */
void
CheckIsNoAnswer(const answer_maker& aMakeAnswer)
{
  int requests = 0;
  auto bytes =
    BytesFromEntry(site::retry_policy::AtMostOnce, aMakeAnswer, requests);
  BOOST_TEST(bytes.rfind("HTTP/1.1 502 ", 0) == 0u);
  BOOST_TEST(bytes.find("X-Server-Seal") == std::string::npos);
  BOOST_TEST(requests == 1);
  bytes = BytesFromEntry(site::retry_policy::Idempotent, aMakeAnswer, requests);
  BOOST_TEST(bytes.rfind("HTTP/1.1 502 ", 0) == 0u);
  BOOST_TEST(requests == 2);

  // The sound server is there once the faulty one has the request.
  forwarding_site site(site::retry_policy::Idempotent);
  plain_server sound(site.mLoop);
  byte_server faulty(site.mLoop,
                     [&](const auto& aChannel, const auto& aRequest) {
                       site.Add("s2", sound);
                       aChannel->Write(aMakeAnswer(IdOf(aRequest)));
                     });
  site.Add("s1", faulty);
  const auto answer = site.Send().mAnswer;
  BOOST_TEST(answer.mStatus == 200u);
  BOOST_TEST(answer.mBody == "whole answer");
  BOOST_TEST(answer.mHeaders.ValueOr("X-Server-Seal", "") == "seal-a1");
  BOOST_TEST(faulty.mRequests == 1);
}

/** Checks that no part of an entry or agent takes an answer for one: each of
 * them closes the connection on which it came. */
void
CheckNoReaderTakes(const answer_maker& aMakeAnswer)
{
  endless_site site([&](const auto& aChannel, const auto& aId) {
    aChannel->Write(aMakeAnswer(aId));
  });
  AddStoreReaders(site);
  AddHelpReaders(site);
  AddFeedReader(site);
  AddOrderReaders(site);
  AddServerCheck(site);
  AddUpkeepPing(site);
  AddControllerPing(site);
  AddUsageReader(site);
  site.Check();
}

/** An answer that is whole but for its status line. */
std::string
WithStatus(const std::string& aStatus,
           const std::string& aId,
           const std::string& aFields = {})
{
  return "HTTP/1.1 " + aStatus + " x\r\nX-Attempt-Id: " + aId + "\r\n" +
         aFields + "X-Server-Seal: seal\r\nContent-Length: 2\r\n\r\n{}";
}

/** An answer that is whole but for a line of its head. */
std::string
WithLine(const std::string& aLine, const std::string& aId)
{
  return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + aId +
         "\r\nX-Server-Seal: seal\r\n" + aLine +
         "\r\nContent-Length: 2\r\n\r\n{}";
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestBrokenAnswers)

// Guards against a caller that gets a status which HTTP doesn't know, with the
// body of a server in trouble.
BOOST_AUTO_TEST_CASE(AStatusOutsideOfHttpIsNoAnswer)
{
  for (const std::string status :
       { "000", "001", "099", "600", "700", "999" }) {
    BOOST_TEST_CONTEXT(status)
    {
      CheckIsNoAnswer([&](const auto& aId) { return WithStatus(status, aId); });
    }
  }
}

// Guards against a request that may have run and is refused as one that didn't.
BOOST_AUTO_TEST_CASE(ABrokenAnswerNeverSaysThatNothingRan)
{
  CheckIsNoAnswer([](const auto& aId) {
    return WithStatus("000", aId, "X-Not-Executed: 1\r\n");
  });
}

// Guards against an order, a report, a page or a question that is taken as
// answered by such a status.
BOOST_AUTO_TEST_CASE(NoReaderTakesAStatusOutsideOfHttp)
{
  for (const std::string status : { "000", "700" }) {
    BOOST_TEST_CONTEXT(status)
    {
      CheckNoReaderTakes(
        [&](const auto& aId) { return WithStatus(status, aId); });
    }
  }
}

// Guards against a caller that gets an interim response for the answer, and
// then waits for the answer.
BOOST_AUTO_TEST_CASE(AnInterimResponseIsNoAnswer)
{
  for (const std::string status : { "100", "102", "103", "199" }) {
    BOOST_TEST_CONTEXT(status)
    {
      CheckIsNoAnswer([&](const auto& aId) {
        return "HTTP/1.1 " + status + " x\r\nX-Attempt-Id: " + aId +
               "\r\nX-Server-Seal: seal\r\n\r\n";
      });
      CheckIsNoAnswer([&](const auto& aId) { return WithStatus(status, aId); });
    }
  }
}

// Guards against a caller that gets a status line which is no number of three
// digits.
BOOST_AUTO_TEST_CASE(AStatusThatIsNoNumberOfThreeDigitsIsNoAnswer)
{
  for (const std::string status : { "20", "2000", "+20", "2x0", "" }) {
    BOOST_TEST_CONTEXT(status)
    {
      CheckIsNoAnswer([&](const auto& aId) { return WithStatus(status, aId); });
    }
  }
}

// Guards against a caller that gets a field of the trailer as one of the head,
// whenever both arrive in one read.
BOOST_AUTO_TEST_CASE(AFieldOfTheTrailerIsntPassedOn)
{
  forwarding_site site(site::retry_policy::AtMostOnce);
  byte_server server(
    site.mLoop, [](const auto& aChannel, const auto& aRequest) {
      aChannel->Write(ChunkedHead(IdOf(aRequest)) + ChunkBytes("whole answer") +
                      "0\r\nX-Server-Seal: seal-other\r\n\r\n");
    });
  site.Add("s1", server);
  const auto answer = site.Send().mAnswer;
  BOOST_TEST(answer.mStatus == 200u);
  BOOST_TEST(answer.mBody == "whole answer");
  BOOST_TEST(!answer.mHeaders.Find("X-Server-Seal"));
}

// Guards against a caller that gets a seal to which the line after it was
// added.
BOOST_AUTO_TEST_CASE(ALineThatBeginsWithABlankIsNoAnswer)
{
  for (const std::string line : { " folded", "\tfolded", " X-Note: 1", " " }) {
    BOOST_TEST_CONTEXT("'" << line << "'")
    {
      CheckIsNoAnswer([&](const auto& aId) { return WithLine(line, aId); });
    }
  }
}

// Guards against a report, a page or a question that is taken as answered by
// such a head.
BOOST_AUTO_TEST_CASE(NoReaderTakesALineThatBeginsWithABlank)
{
  CheckNoReaderTakes([](const auto& aId) { return WithLine(" folded", aId); });
}

// Guards against a caller that gets a field whose name HTTP doesn't allow, or a
// body that ends where such a field says.
BOOST_AUTO_TEST_CASE(ANameOfAFieldThatHttpDoesntAllowIsNoAnswer)
{
  for (const auto& line : { std::string("X Note: 1"),
                            std::string("X-Note : 1"),
                            std::string("X-Note\t: 1"),
                            std::string("X\x01Note: 1"),
                            std::string("X\0Note: 1", 9),
                            std::string("X\x7fNote: 1"),
                            std::string("X\rNote: 1"),
                            std::string("X\nNote: 1"),
                            std::string("X\x80Note: 1"),
                            std::string(": 1"),
                            std::string("Content-Length : 1"),
                            std::string("Transfer-Encoding : chunked"),
                            std::string("Content Length: 1") }) {
    BOOST_TEST_CONTEXT(line)
    {
      CheckIsNoAnswer([&](const auto& aId) { return WithLine(line, aId); });
    }
  }
}

// Guards against a caller that gets a body of which two lengths are known.
BOOST_AUTO_TEST_CASE(TwoWaysToEndABodyAreNoAnswer)
{
  for (const std::string line : { "Transfer-Encoding: chunked",
                                  "Content-Length: 1",
                                  "Content-Length: +2",
                                  "Content-Length: 0x2" }) {
    BOOST_TEST_CONTEXT(line)
    {
      CheckIsNoAnswer([&](const auto& aId) { return WithLine(line, aId); });
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
