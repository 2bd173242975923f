#include "Libraries/Edge/ResponseReader.h"

#include <boost/test/unit_test.hpp>

using namespace lavender::edge;

namespace {

/** Reads a response that comes in two pieces.
 * @param aCut size of the first piece */
void
ReadInTwo(response_reader& aReader, const std::string& aBytes, std::size_t aCut)
{
  const auto used = aReader.Read(boost::asio::buffer(aBytes.data(), aCut));
  if (aReader.Fault().empty() && !aReader.IsWhole()) {
    aReader.Read(boost::asio::buffer(aBytes) + used);
  }
}

bool
IsFaulty(const std::string& aBytes)
{
  response_reader reader;
  reader.Read(boost::asio::buffer(aBytes));
  return !reader.Fault().empty();
}

std::string
WithStatus(const std::string& aStatus)
{
  return "HTTP/1.1 " + aStatus + " x\r\nContent-Length: 1\r\n\r\nx";
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestResponseReader)

// Guards against an answer whose status is none that HTTP knows.
BOOST_AUTO_TEST_CASE(AStatusOutsideOfHttpIsAFault)
{
  for (const auto* status :
       { "000", "001", "099", "600", "601", "700", "999" }) {
    BOOST_TEST(IsFaulty(WithStatus(status)), status);
  }
}

// Guards against an answer whose status isn't a number of three digits.
BOOST_AUTO_TEST_CASE(AStatusThatIsNoNumberOfThreeDigitsIsAFault)
{
  for (const auto* status :
       { "", "2", "20", "2000", "+20", "-20", "2x0", "0x1", " 200" }) {
    BOOST_TEST(IsFaulty(WithStatus(status)), status);
  }
}

// Guards against a sound answer that is refused for its status.
BOOST_AUTO_TEST_CASE(EveryFinalStatusOfHttpIsRead)
{
  for (unsigned status = 200; status <= 599; ++status) {
    if (status == 204 || status == 304) {
      continue;
    }
    response_reader reader;
    const auto bytes = WithStatus(std::to_string(status));
    reader.Read(boost::asio::buffer(bytes));
    BOOST_TEST(reader.Fault().empty(), status);
    BOOST_TEST(reader.IsWhole(), status);
    BOOST_TEST(reader.Head().mStatus == status);
    BOOST_TEST(reader.TakeBody() == "x", status);
  }
  for (const auto* status : { "204", "304" }) {
    response_reader reader;
    const auto bytes = "HTTP/1.1 " + std::string(status) + " x\r\n\r\n";
    reader.Read(boost::asio::buffer(bytes));
    BOOST_TEST(reader.Fault().empty(), status);
    BOOST_TEST(reader.IsWhole(), status);
  }
}

// Guards against an interim response that passes for the answer.
BOOST_AUTO_TEST_CASE(AnInterimResponseIsAFault)
{
  for (const auto* status : { "100", "101", "102", "103", "199" }) {
    BOOST_TEST(IsFaulty("HTTP/1.1 " + std::string(status) + " x\r\n\r\n"),
               status);
  }
}

// Guards against a field that a folded line changes, however the bytes arrive.
BOOST_AUTO_TEST_CASE(AFoldedLineIsAFault)
{
  const std::string first = "HTTP/1.1 200 x\r\nX-Server-Seal:";
  const std::string last = "\r\nContent-Length: 1\r\n\r\nx";
  for (const std::string folded : { " a\r\n b",
                                    " a\r\n\tb",
                                    " a\r\n ",
                                    " a\r\n \t \r\n b",
                                    "\r\n b",
                                    " a\r\n b: c",
                                    " a\r\nX-Other: 1\r\n b" }) {
    const auto bytes = first + folded + last;
    for (std::size_t cut = 1; cut <= bytes.size(); ++cut) {
      BOOST_TEST_INFO(bytes << " in pieces of " << cut << " and the rest");
      response_reader reader;
      ReadInTwo(reader, bytes, cut);
      BOOST_TEST(!reader.Fault().empty());
    }
  }
}

// Guards against a line of a trailer that passes for a field of the head when
// both arrive at once.
BOOST_AUTO_TEST_CASE(ATrailerIsNoPartOfTheHead)
{
  const std::string bytes =
    "HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n"
    "1\r\nx\r\n0\r\nX-Server-Seal: a\r\n b\r\n\r\n";
  for (std::size_t cut = 1; cut <= bytes.size(); ++cut) {
    response_reader reader;
    ReadInTwo(reader, bytes, cut);
    BOOST_TEST(reader.Fault() == "");
    BOOST_TEST(reader.IsWhole());
    BOOST_TEST(!reader.Head().mHeaders.Find("X-Server-Seal"));
  }
}

// Guards against an answer in whose head the name of a field isn't a token.
BOOST_AUTO_TEST_CASE(ANameOfAFieldThatHttpDoesntAllowIsAFault)
{
  const std::string last = ": 1\r\nContent-Length: 1\r\n\r\nx";
  for (const auto& name : { std::string("X Name"),
                            std::string("X-Name "),
                            std::string("X-Name\t"),
                            std::string("X\tName"),
                            std::string(" X-Name"),
                            std::string("X\x01Name"),
                            std::string("X\0Name", 6),
                            std::string("X\x7fName"),
                            std::string("X\rName"),
                            std::string("X\nName"),
                            std::string("X\x80Name"),
                            std::string("X(Name"),
                            std::string() }) {
    BOOST_TEST_INFO(name);
    BOOST_TEST(IsFaulty("HTTP/1.1 200 x\r\n" + name + last));
  }
}

// Guards against a body that isn't the server's because it isn't known where it
// ends.
BOOST_AUTO_TEST_CASE(ALengthThatIsntCertainIsAFault)
{
  for (const auto* fields :
       { "Content-Length : 1\r\n",
         "Content Length: 1\r\nContent-Length : 1\r\n",
         "Transfer-Encoding : chunked\r\n",
         "Content-Length: 1\r\nContent-Length: 2\r\n",
         "Content-Length: 1, 2\r\n",
         "Content-Length: +1\r\n",
         "Content-Length: -1\r\n",
         "Content-Length: 0x1\r\n",
         "Content-Length:\r\n",
         "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n",
         "Transfer-Encoding: chunked\r\nContent-Length: 1\r\n" }) {
    BOOST_TEST(IsFaulty("HTTP/1.1 200 x\r\n" + std::string(fields) + "\r\nx"),
               fields);
  }
}

// Guards against a sound answer that is refused for its framing.
BOOST_AUTO_TEST_CASE(EachSoundWayToEndABodyIsRead)
{
  for (const std::string bytes :
       { "HTTP/1.1 200 x\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\nx",
         "HTTP/1.1 200 x\r\nContent-Length: 1, 1\r\n\r\nx",
         "HTTP/1.1 200 x\r\nX-Empty:\r\nContent-Length: 1\r\n\r\nx",
         "HTTP/1.1 200 \r\nContent-Length: 1\r\n\r\nx",
         "HTTP/1.0 200 x\r\nContent-Length: 1\r\n\r\nx",
         "HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n"
         "1\r\nx\r\n0\r\n\r\n" }) {
    for (std::size_t cut = 1; cut <= bytes.size(); ++cut) {
      response_reader reader;
      ReadInTwo(reader, bytes, cut);
      BOOST_TEST_INFO(bytes);
      BOOST_TEST(reader.Fault() == "");
      BOOST_TEST(reader.IsWhole());
      BOOST_TEST(!reader.EndsWithConnection());
      BOOST_TEST(reader.TakeBody() == "x");
    }
  }
  for (const std::string version : { "1.0", "1.1" }) {
    response_reader reader;
    const auto bytes = "HTTP/" + version + " 200 x\r\n\r\nx";
    reader.Read(boost::asio::buffer(bytes));
    BOOST_TEST(reader.Fault() == "");
    BOOST_TEST(!reader.IsWhole());
    BOOST_TEST(reader.EndsWithConnection());
    BOOST_TEST(reader.TakeBody() == "x");
  }
}

BOOST_AUTO_TEST_SUITE_END()
