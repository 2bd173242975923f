#include "Libraries/Json/Split.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace lavender;

BOOST_AUTO_TEST_SUITE(TestSplit)

BOOST_AUTO_TEST_CASE(PartsAreToldApartByBracketsAndStringsAlone)
{
  const auto members =
    json::SplitObject(R"( {"a" : [1,{"b":"]}\""}] ,"c":1e999, "d":"x,y"} )");
  BOOST_REQUIRE(members);
  BOOST_REQUIRE(members->size() == 3u);
  BOOST_TEST(json::FindRaw(*members, "a") == R"([1,{"b":"]}\""}])");
  BOOST_TEST(json::FindRaw(*members, "c") == "1e999");
  BOOST_TEST(json::FindRaw(*members, "d") == R"("x,y")");
  BOOST_TEST(json::FindRaw(*members, "e").empty());
  const auto elements = json::SplitArray(json::FindRaw(*members, "a"));
  BOOST_REQUIRE(elements);
  BOOST_REQUIRE(elements->size() == 2u);
  BOOST_TEST((*elements)[1] == R"({"b":"]}\""})");
  BOOST_TEST(json::SplitObject(" { } ")->empty());
  BOOST_TEST(json::SplitArray("[]")->empty());
}

// Guards against a read beyond a text that another writer has cut off.
BOOST_AUTO_TEST_CASE(DamagedTextsAreRefusedOrTakenApart)
{
  BOOST_TEST(rc::check("damaged texts", [] {
    auto text = *rc::gen::container<std::string>(
      rc::gen::element('{', '}', '[', ']', '"', '\\', ',', ':', ' ', 'a', '1'));
    for (const auto& outer :
         { "{" + text, "[" + text, "{\"a\":" + text + "}" }) {
      if (const auto members = json::SplitObject(outer)) {
        for (const auto& member : *members) {
          RC_ASSERT(member.mValue.size() < outer.size());
        }
      }
      if (const auto elements = json::SplitArray(outer)) {
        for (const auto element : *elements) {
          RC_ASSERT(element.size() < outer.size());
        }
      }
    }
  }));
}

BOOST_AUTO_TEST_SUITE_END()
