#include "Libraries/Core/UrlEncoding.h"

#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <rapidcheck.h>

using namespace lavender;

BOOST_AUTO_TEST_SUITE(TestUrlEncoding)

BOOST_AUTO_TEST_CASE(EncodingAndDecodingAreInverse)
{
  BOOST_TEST(rc::check("any text survives a URL", [](std::string aText) {
    RC_ASSERT(DecodeUrlQuery(EncodeUrl(aText)) == aText);
    RC_ASSERT(DecodeUrlPath(EncodeUrl(aText)) == aText);
  }));
}

// Guards against a text that ends the part of a URL in which it stands.
BOOST_AUTO_TEST_CASE(OnlyUnreservedCharactersStayAsTheyAre)
{
  BOOST_TEST(EncodeUrl("aZ09-._~") == "aZ09-._~");
  BOOST_TEST(EncodeUrl("a b&c+d#e%f?g/h=i") ==
             "a%20b%26c%2Bd%23e%25f%3Fg%2Fh%3Di");
  BOOST_TEST(EncodeUrl("\r\n\xc3\xa9") == "%0D%0A%C3%A9");
}

// Guards against an encoder and a decoder that agree on a mistake.
BOOST_AUTO_TEST_CASE(EachOtherByteIsAPercentSignAndTwoDigits)
{
  const std::string unreserved =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
  for (int byte = 0; byte < 256; ++byte) {
    const std::string text(1, static_cast<char>(byte));
    char escape[4];
    std::snprintf(escape, sizeof escape, "%%%02X", static_cast<unsigned>(byte));
    const bool stays = unreserved.find(text) != std::string::npos;
    BOOST_TEST(EncodeUrl(text) == (stays ? text : escape));
    BOOST_TEST(DecodeUrlPath(escape) == text);
    BOOST_TEST(DecodeUrlQuery(escape) == text);
  }
}

BOOST_AUTO_TEST_CASE(APlusIsASpaceInAQueryAlone)
{
  BOOST_TEST(DecodeUrlPath("a+b%2Bc%20d") == "a+b+c d");
  BOOST_TEST(DecodeUrlQuery("a+b%2Bc%20d") == "a b+c d");
}

BOOST_AUTO_TEST_CASE(APercentSignWithoutTwoDigitsStaysAsItIs)
{
  for (const std::string text : { "%", "a%", "%4", "%4g", "%zz", "%%" }) {
    BOOST_TEST(DecodeUrlPath(text) == text);
    BOOST_TEST(DecodeUrlQuery(text) == text);
  }
  BOOST_TEST(DecodeUrlPath("%%41") == "%A");
}

BOOST_AUTO_TEST_SUITE_END()
