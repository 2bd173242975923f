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
} // namespace

BOOST_AUTO_TEST_SUITE(TestResponseReader)

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
