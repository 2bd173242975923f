#include "Libraries/Edge/HeadSyntax.h"

#include <boost/test/unit_test.hpp>

using namespace lavender::edge;

BOOST_AUTO_TEST_SUITE(TestHeadSyntax)

// Guards against a head made of two that passes for one, wherever the first one
// stopped.
BOOST_AUTO_TEST_CASE(AStatusLineIsFoundAnywhereInAText)
{
  for (const auto* text : { "HTTP/1.1 200 OK",
                            "HTTP/1.0 503",
                            "HTTP/1.1 200 ",
                            "abcHTTP/1.1 404 Not Found",
                            "HTTP/HTTP/1.1 200 OK",
                            "HTTP/1.1 2HTTP/1.1 200 OK" }) {
    BOOST_TEST(HoldsStatusLine(text), text);
  }
}

// Guards against a sound response that is refused for a field that names HTTP.
BOOST_AUTO_TEST_CASE(OtherMentionsOfHttpAreNoStatusLine)
{
  for (const auto* text : { "",
                            "HTTP/",
                            "HTTP/1.1",
                            "HTTP/1.1 20",
                            "HTTP/1.1 2000",
                            "HTTP/1.1 gateway (vendor)",
                            "HTTP/2 200",
                            "http/1.1 200 OK",
                            "1.1 proxy" }) {
    BOOST_TEST(!HoldsStatusLine(text), text);
  }
}

// Guards against a folded line that is missed, and a sound line that is taken
// for one.
BOOST_AUTO_TEST_CASE(AFoldedLineBeginsWithABlank)
{
  for (const auto* lines :
       { " a\r\n", "\ta\r\n", "A: 1\r\n a\r\n", "A:\r\n\t\r\nB: 1\r\n" }) {
    BOOST_TEST(HoldsFoldedLine(lines), lines);
  }
  for (const auto* lines : { "", "\r\n", "A:  1 \r\nB: 1\r\n\r\n", "A:\t1" }) {
    BOOST_TEST(!HoldsFoldedLine(lines), lines);
  }
}

BOOST_AUTO_TEST_SUITE_END()
