#include "Tests/Site/Support/EarlyServer.h"
#include "Tests/Site/Support/ForwardingSite.h"

#include <boost/test/unit_test.hpp>

using namespace lavender;
using namespace lavender::tests;

namespace {

/** More than the buffers of both ends of a connection take. */
constexpr std::size_t kUploadBytes = 24 << 20;
const std::string kBody(20000, 'b');
const std::string kHalf = kBody.substr(kBody.size() / 2);

std::string
HeadOf(const std::string& aVersion,
       const std::string& aStatus,
       const std::string& aId,
       const std::string& aFields)
{
  return aVersion + " " + aStatus + " x\r\nX-Attempt-Id: " + aId +
         "\r\nX-Server-Seal: seal-" + aId + "\r\n" + aFields + "\r\n";
}

std::string
LengthOf(const std::string& aBody)
{
  return "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
}

/** An entry that passes uploads on to servers which answer early. */
struct upload_site : forwarding_site
{
  upload_site(site::retry_policy aRepetition,
              after_answer aAfter,
              const early_server::answer_maker& aMakeAnswer)
    : forwarding_site(aRepetition)
    , mFirst(mLoop, aAfter, aMakeAnswer)
    , mSecond(mLoop, aAfter, aMakeAnswer)
  {
    Add("s1", mFirst);
    Add("s2", mSecond);
  }

  using forwarding_site::Add;
  void Add(const std::string& aId, const early_server& aServer)
  {
    site::ApplyServer(mDirectory, aServer.Entry(aId), boot_clock::now());
    mRouter.SyncServers(boot_clock::now());
  }

  call_result Upload(std::size_t aBytes = kUploadBytes)
  {
    auto request = Request();
    request.mHeaders.Set("X-Deadline-Ms", "10000");
    request.mBody.assign(aBytes, 'u');
    return Call(mLoop, *mClients, mListener.Port(), request);
  }

  int Requests() const { return mFirst.mRequests + mSecond.mRequests; }

  early_server mFirst;
  early_server mSecond;
};

/** Checks that an answer of which the connection's end cuts off a part is
 * none. */
void
CheckIsNoAnswer(after_answer aAfter,
                const early_server::answer_maker& aMakeAnswer)
{
  for (const auto repetition :
       { site::retry_policy::AtMostOnce, site::retry_policy::Idempotent }) {
    upload_site site(repetition, aAfter, aMakeAnswer);
    const auto result = site.Upload();
    BOOST_TEST(result.mAnswer.mStatus == 502u);
    BOOST_TEST(result.mAnswer.mBody.empty());
    BOOST_TEST(!result.mAnswer.mHeaders.Find("X-Server-Seal"));
    const bool isOnce = repetition == site::retry_policy::AtMostOnce;
    BOOST_TEST(site.Requests() == (isOnce ? 1 : 2));
  }
}

/** Checks that a whole answer is delivered, to a request that may run once. */
void
CheckIsAnswer(unsigned aStatus,
              after_answer aAfter,
              const early_server::answer_maker& aMakeAnswer)
{
  upload_site site(site::retry_policy::AtMostOnce, aAfter, aMakeAnswer);
  const auto result = site.Upload();
  BOOST_TEST(result.mAnswer.mStatus == aStatus);
  BOOST_TEST((result.mAnswer.mBody == kBody));
  BOOST_TEST(result.mAnswer.mHeaders.ValueOr("X-Server-Seal", "") == "seal-a1");
  BOOST_TEST(site.Requests() == 1);
}

/** How a call ends whose server resets the connection once what it sent has
 * been read, while the upload is still being written.
 * @param aBodyBytes size of the body that the server sends */
edge::call_end
EndOfResetUpload(const early_server::answer_maker& aMakeAnswer,
                 std::size_t aBodyBytes)
{
  test_loop loop;
  const auto clients = std::make_shared<edge::client_pool>(loop.mLoop);
  early_server server(loop, after_answer::Wait, aMakeAnswer);
  std::size_t read = 0;
  std::optional<edge::call_end> ended;
  edge::call_events events;
  events.mOnBody = [&](auto aPiece) {
    read += aPiece.size();
    if (read == aBodyBytes) {
      server.Reset();
    }
  };
  events.mOnEnd = [&](edge::call_end aEnd) { ended = aEnd; };
  edge::request request;
  request.mMethod = "POST";
  request.mTarget = "/";
  request.mHeaders.Add("X-Attempt-Id", "a1");
  request.mBody.assign(kUploadBytes, 'u');
  clients->Start(server.Entry("s1").mAddress, request, {}, std::move(events));
  BOOST_TEST(loop.RunUntil([&] { return ended.has_value(); }));
  BOOST_TEST(read == aBodyBytes);
  return ended.value_or(edge::call_end::TimedOut);
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestAnswersToUploads)

// Guards against a part of an answer without a length that its caller takes for
// the whole: the server reset the connection while the upload was being
// written, and the write took the error that the read would have got.
BOOST_AUTO_TEST_CASE(ABodyWithoutALengthThatIsResetIsNoAnswer)
{
  for (const std::string version : { "HTTP/1.1", "HTTP/1.0" }) {
    for (const std::string status : { "200", "413", "500" }) {
      for (const std::string fields : { "", "Connection: close\r\n" }) {
        BOOST_TEST_CONTEXT(version << " " << status << " " << fields)
        {
          CheckIsNoAnswer(after_answer::Reset, [&](const auto& aId) {
            return HeadOf(version, status, aId, fields) + kHalf;
          });
        }
      }
    }
  }
}

// Guards against a part of an answer without a length that passes for the whole
// where the reset comes after the request was written.
BOOST_AUTO_TEST_CASE(ABodyThatIsResetAfterASmallRequestIsNoAnswer)
{
  for (const std::size_t bytes : { 0, 100 }) {
    upload_site site(
      site::retry_policy::AtMostOnce, after_answer::Reset, [](const auto& aId) {
        return HeadOf("HTTP/1.1", "200", aId, "") + kHalf;
      });
    BOOST_TEST(site.Upload(bytes).mAnswer.mStatus == 502u);
    BOOST_TEST(site.Requests() == 1);
  }
}

// Guards against the same where nothing of the body has arrived: a caller would
// get an empty answer.
BOOST_AUTO_TEST_CASE(AHeadWithoutALengthBeforeAResetIsNoAnswer)
{
  CheckIsNoAnswer(after_answer::Reset, [](const auto& aId) {
    return HeadOf("HTTP/1.1", "200", aId, "");
  });
}

// Guards against a request that may have run and is refused as one that didn't.
BOOST_AUTO_TEST_CASE(ARefusalThatIsResetNeverSaysThatNothingRan)
{
  CheckIsNoAnswer(after_answer::Reset, [](const auto& aId) {
    return HeadOf("HTTP/1.1", "503", aId, "X-Not-Executed: 1\r\n") + kHalf;
  });
}

// Guards against a stream that ends as whole although its server reset it.
BOOST_AUTO_TEST_CASE(AStreamThatIsResetDuringAnUploadIsCut)
{
  upload_site site(
    site::retry_policy::AtMostOnce, after_answer::Reset, [](const auto& aId) {
      return HeadOf(
               "HTTP/1.1", "200", aId, "Content-Type: text/event-stream\r\n") +
             EventBytes(aId, 0, 2);
    });
  site.mRoute->mIsStream = true;
  const auto result = site.Upload();
  BOOST_TEST((result.mEnd == edge::call_end::Broken));
  BOOST_TEST(site.Requests() == 1);
}

// Guards against a part of an answer whose length is known, or that comes in
// chunks, which its caller takes for the whole.
BOOST_AUTO_TEST_CASE(ABodyThatIsShorterThanItSaysIsNoAnswer)
{
  for (const auto after :
       { after_answer::Reset, after_answer::CloseAndReadOn }) {
    CheckIsNoAnswer(after, [](const auto& aId) {
      return HeadOf("HTTP/1.1", "200", aId, LengthOf(kBody)) + kHalf;
    });
    CheckIsNoAnswer(after, [](const auto& aId) {
      return HeadOf("HTTP/1.1", "200", aId, "Transfer-Encoding: chunked\r\n") +
             ChunkBytes(kHalf);
    });
  }
}

// Guards against a sound answer without a length that is taken for a broken one
// because the upload was still being written when it ended.
BOOST_AUTO_TEST_CASE(ABodyWithoutALengthIsWholeOnceTheUploadIsWritten)
{
  for (const std::string version : { "HTTP/1.1", "HTTP/1.0" }) {
    CheckIsAnswer(413, after_answer::CloseAndReadOn, [&](const auto& aId) {
      return HeadOf(version, "413", aId, "") + kBody;
    });
  }
}

// Guards against a sound answer with a length that is refused because it came
// before the upload was written.
BOOST_AUTO_TEST_CASE(AnEarlyAnswerWithItsLengthIsDelivered)
{
  CheckIsAnswer(413, after_answer::ReadOn, [](const auto& aId) {
    return HeadOf("HTTP/1.1", "413", aId, LengthOf(kBody)) + kBody;
  });
}

// Guards against a whole answer that is thrown away because its server didn't
// read the upload to its end.
BOOST_AUTO_TEST_CASE(AWholeAnswerIsDeliveredThoughItsConnectionEnded)
{
  for (const auto after :
       { after_answer::Reset, after_answer::CloseAndReadOn }) {
    for (const std::string fields : { "", "Connection: close\r\n" }) {
      CheckIsAnswer(413, after, [&](const auto& aId) {
        return HeadOf("HTTP/1.1", "413", aId, LengthOf(kBody) + fields) + kBody;
      });
    }
    CheckIsAnswer(413, after, [](const auto& aId) {
      return HeadOf("HTTP/1.1", "413", aId, "Transfer-Encoding: chunked\r\n") +
             ChunkBytes(kBody) + "0\r\n\r\n";
    });
  }
}

// Guards against the same, and against a part that passes for the whole, where
// the reset comes once all that the server sent has been read.
BOOST_AUTO_TEST_CASE(ALaterResetEndsWhatHasArrivedAsItIs)
{
  BOOST_TEST((EndOfResetUpload(
                [](const auto& aId) {
                  return HeadOf("HTTP/1.1", "413", aId, LengthOf(kBody)) +
                         kBody;
                },
                kBody.size()) == edge::call_end::Complete));
  BOOST_TEST((EndOfResetUpload(
                [](const auto& aId) {
                  return HeadOf("HTTP/1.1", "200", aId, "") + kHalf;
                },
                kHalf.size()) == edge::call_end::Broken));
}

BOOST_AUTO_TEST_SUITE_END()
