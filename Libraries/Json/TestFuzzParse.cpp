#include "Libraries/Json/Value.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace lavender;

namespace {

json::value
MakeValue(int aDepth)
{
  const int kind = *rc::gen::inRange(0, aDepth > 0 ? 7 : 5);
  switch (kind) {
    case 0:
      return {};
    case 1:
      return *rc::gen::arbitrary<bool>();
    case 2:
      return *rc::gen::arbitrary<std::int64_t>();
    case 3:
      return static_cast<double>(*rc::gen::inRange(-1000, 1000)) / 8;
    case 4:
      return *rc::gen::container<std::string>(
        rc::gen::inRange<char>(' ', '\x7f'));
    case 5: {
      json::array elements;
      for (int left = *rc::gen::inRange(0, 4); left > 0; --left) {
        elements.push_back(MakeValue(aDepth - 1));
      }
      return elements;
    }
    default: {
      json::object members;
      for (int left = *rc::gen::inRange(0, 4); left > 0; --left) {
        members.emplace_back("m" + std::to_string(left), MakeValue(aDepth - 1));
      }
      return members;
    }
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestFuzzParse)

BOOST_AUTO_TEST_CASE(WrittenDocumentsAreParsedBack)
{
  BOOST_TEST(rc::check("written documents are read back", [] {
    const auto made = MakeValue(3);
    const auto text = json::Write(made);
    const auto read = json::Parse(text);
    RC_ASSERT(read.mValue.has_value());
    RC_ASSERT(json::Write(*read) == text);
  }));
}

BOOST_AUTO_TEST_CASE(DamagedDocumentsAreRefusedOrRoundTrip)
{
  // A damaged document is either refused with a reason or parsed as a value
  // that is the same after it was written and parsed again.
  BOOST_TEST(rc::check("damaged documents never slip through", [] {
    auto text = json::Write(MakeValue(3));
    for (int left = *rc::gen::inRange(1, 4); left > 0; --left) {
      const auto at = *rc::gen::inRange<std::size_t>(0, text.size() + 1);
      if (*rc::gen::arbitrary<bool>() && at < text.size()) {
        text.erase(at, 1);
      } else {
        text.insert(at, 1, *rc::gen::arbitrary<char>());
      }
    }
    RC_LOG(text);
    const auto read = json::Parse(text);
    if (!read) {
      RC_ASSERT(!read.mLastReason.empty());
      return;
    }
    const auto written = json::Write(*read);
    const auto again = json::Parse(written);
    RC_ASSERT(again.mValue.has_value());
    RC_ASSERT(json::Write(*again) == written);
  }));
}

BOOST_AUTO_TEST_SUITE_END()
