#include "Libraries/Core/Base64.h"

#include <boost/test/unit_test.hpp>

using namespace lavender;

BOOST_AUTO_TEST_SUITE(TestBase64)

BOOST_AUTO_TEST_CASE(DecodesPaddedText)
{
  BOOST_TEST(*DecodeBase64("") == "");
  BOOST_TEST(*DecodeBase64("aGVsbG8=") == "hello");
  BOOST_TEST(*DecodeBase64("aGVsbA==") == "hell");
  BOOST_TEST(*DecodeBase64("aGVs") == "hel");
}

// Guards against padding in the middle being decoded as zero bits, which gives
// a server other bytes than its caller encoded.
BOOST_AUTO_TEST_CASE(RefusesAnythingElse)
{
  for (const auto* bad :
       { "aGVsbG8", "====", "a===", "aG=s", "aGVsbG8=aGVs", "a*Vs", "aGV " }) {
    BOOST_TEST(!DecodeBase64(bad), bad);
  }
}

BOOST_AUTO_TEST_SUITE_END()
