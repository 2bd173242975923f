#include "Duties/Site/EntryOrder.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace lavender::site;

BOOST_AUTO_TEST_SUITE(TestEntryOrder)

// Guards against the smallest instances forwarding every change to sixteen
// others because their names sort first.
BOOST_AUTO_TEST_CASE(LargeInstancesWorkForTheSmallOnes)
{
  for (const int count : { 384, 768 }) {
    std::vector<listed_entry> entries;
    for (int i = 0; i < count; ++i) {
      entries.push_back(
        { "entry-" + std::to_string(1000 + i), i % 6 == 5 ? 1.0 : 0.09 });
    }
    const auto order = OrderEntries(entries);
    const auto isLarge = [](const std::string& aName) {
      return std::stoi(aName.substr(6)) % 6 == 1005 % 6;
    };
    const auto large = order.begin() + count / 6;
    BOOST_TEST(std::none_of(large, order.end(), isLarge));
    BOOST_TEST(std::is_sorted(order.begin(), large));
    BOOST_TEST(std::is_sorted(large, order.end()));
    std::reverse(entries.begin(), entries.end());
    BOOST_TEST(OrderEntries(entries) == order,
               boost::test_tools::per_element());
  }
}

BOOST_AUTO_TEST_SUITE_END()
