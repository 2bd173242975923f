#include "Libraries/Json/Text.h"
#include "Libraries/Json/Value.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace lavender;

BOOST_AUTO_TEST_SUITE(TestText)

// Guards against a text that passes as UTF-8 and makes the document that holds
// it unreadable.
BOOST_AUTO_TEST_CASE(AUtf8TextIsReadBack)
{
  BOOST_TEST(rc::check("what is UTF-8 is parsed", [] {
    const auto text =
      *rc::gen::container<std::string>(rc::gen::element<char>('a',
                                                              '\x80',
                                                              '\xbf',
                                                              '\xc3',
                                                              '\xe2',
                                                              '\xed',
                                                              '\xf0',
                                                              '\xf4',
                                                              '\xff',
                                                              '\0'));
    const auto parsed = json::Parse(json::Write(json::value(text)));
    RC_ASSERT(json::IsUtf8(text) == static_cast<bool>(parsed));
  }));
  BOOST_TEST(json::IsUtf8("r\xc3\xa4kning \xe2\x82\xac \xf0\x9f\x98\x80"));
  for (const auto* text :
       { "\xff", "caf\xe9", "\xe2\x82", "\xed\xa0\x80", "\xc0\x80" }) {
    BOOST_TEST(!json::IsUtf8(text));
  }
}

// Guards against a document that is larger than it was counted.
BOOST_AUTO_TEST_CASE(TheWrittenSizeIsThatOfTheDocument)
{
  for (int character = 0; character < 256; ++character) {
    const std::string text(3, static_cast<char>(character));
    BOOST_TEST(json::WrittenSize(text) + 2 ==
               json::Write(json::value(text)).size());
  }
}

BOOST_AUTO_TEST_SUITE_END()
